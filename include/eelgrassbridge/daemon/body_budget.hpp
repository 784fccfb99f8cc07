// Memory for message bodies, bounded for the whole daemon.
//
// A body that finds no room waits, and its sender waits with it, because
// nothing more is read from the connection meanwhile.
#ifndef EELGRASSBRIDGE_DAEMON_BODY_BUDGET_HPP
#define EELGRASSBRIDGE_DAEMON_BODY_BUDGET_HPP

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// Request bodies and answer bodies each have a budget of this size; together
/// they leave room for the rest of the daemon inside 128 MB.
inline constexpr std::uint64_t kBodyBudgetBytes = settings::kMaxBodyBytes;
/// Bodies up to this size take no share: 128 workers with one each stay below
/// 8 MiB, and small requests never wait for large ones.
inline constexpr std::uint64_t kUnreservedBodyBytes = 64ULL * 1024;

/// @brief Bytes that may still be taken.
///
/// Invariants: the shares and `available` add up to the size; those who wait
/// get their shares in the order in which they came, so a large body is not
/// overtaken for ever by smaller ones.
struct BodyBudget {
  explicit BodyBudget(std::uint64_t size_bytes) : size(size_bytes) {}

  const std::uint64_t size;
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t available = size;
  std::deque<std::uint64_t> waiting_tickets;
  std::uint64_t next_ticket = 0;
};

/// @brief Bytes taken from a budget; given back when it is destroyed. The
/// budget must outlive it.
struct BodyReservation {
  BodyReservation() = default;
  BodyReservation(BodyBudget& from, std::uint64_t taken);
  BodyReservation(BodyReservation&& other) noexcept;
  BodyReservation& operator=(BodyReservation&& other) noexcept;
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;
  ~BodyReservation();

  BodyBudget* budget = nullptr;
  std::uint64_t bytes = 0;
};

/// @brief Takes room for a body, waiting until the deadline if there is none.
/// A body larger than the budget waits for all of it.
std::optional<BodyReservation> ReserveBody(BodyBudget& budget,
                                           std::uint64_t bytes,
                                           base::TimePoint deadline);

/// @brief Gives back what a body turned out not to need.
void ShrinkReservation(BodyReservation& reservation, std::uint64_t bytes);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_BODY_BUDGET_HPP
