// Bounds the memory used by message bodies across the whole daemon.
//
// Memory is reserved before a body is read. While a reservation waits, the
// connection is not read, which applies backpressure to the sender.
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

/// Size of the budget for request bodies and of the one for answer bodies.
/// Together they leave memory for the rest of the daemon within 128 MB.
inline constexpr std::uint64_t kBodyBudgetBytes = settings::kMaxBodyBytes;
/// Bodies up to this size need no reservation: 128 workers with one such body
/// each use at most 8 MiB, and small requests never wait for large ones.
inline constexpr std::uint64_t kUnreservedBodyBytes = 64ULL * 1024;

/// @brief A byte budget from which bodies reserve memory.
///
/// Invariants: the reservations and `available` add up to `size`. Waiting
/// reservations are granted in order of arrival, so that smaller bodies cannot
/// starve a large one.
struct BodyBudget {
  explicit BodyBudget(std::uint64_t size_bytes) : size(size_bytes) {}

  const std::uint64_t size;
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t available = size;
  std::deque<std::uint64_t> waiting_tickets;
  std::uint64_t next_ticket = 0;
};

/// @brief Bytes reserved from a budget, released on destruction. The budget
/// must outlive the reservation.
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

/// @brief Reserves memory for a body and waits for it until the deadline.
/// A body larger than the budget reserves the whole budget. Returns nullopt if
/// the deadline passes first.
std::optional<BodyReservation> ReserveBody(BodyBudget& budget,
                                           std::uint64_t bytes,
                                           base::TimePoint deadline);

/// @brief Reduces a reservation to `bytes`, the actual size of the body.
void ShrinkReservation(BodyReservation& reservation, std::uint64_t bytes);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_BODY_BUDGET_HPP
