// Waiting requests of one priority class, in turns between client accounts.
#ifndef EELGRASSBRIDGE_LIMITS_TARGET_QUEUE_HPP
#define EELGRASSBRIDGE_LIMITS_TARGET_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

/// @brief Names one admitted or queued request.
using Ticket = std::uint64_t;

namespace detail {

struct Waiting {
  Ticket ticket = 0;
  base::TimePoint deadline;
  /// The deadline is for the start of the run.
  bool to_start = false;
};

/// One client account's waiting requests: oldest first, but before those that
/// may start later. Never empty in a ClassQueue.
struct AccountQueue {
  std::string account;
  std::deque<Waiting> waiting;
};

/// Accounts take turns in list order; an account goes to the end of the list
/// after its turn. `size` is the number of waiting requests.
struct ClassQueue {
  std::deque<AccountQueue> turns;
  std::uint32_t size = 0;
};

void Push(ClassQueue& queue, std::string_view account, const Waiting& waiting);

/// The next request; the queue must not be empty.
Waiting PopNext(ClassQueue& queue);

/// Number of waiting requests of one account.
std::size_t WaitingOf(const ClassQueue& queue, std::string_view account);

/// Number of those that stand before one with the given latest start.
std::size_t WaitingBefore(const ClassQueue& queue,
                          std::string_view account,
                          base::TimePoint latest_start);

/// Takes the newest request of the account with the longest queue, if that
/// one is longer than `least`.
std::optional<Ticket> TakeFromLongest(ClassQueue& queue, std::size_t least);

/// Takes all requests whose deadline has passed and lowers `next_expiry` to
/// the earliest deadline of those that stay.
std::vector<Ticket> TakeExpired(ClassQueue& queue,
                                base::TimePoint now,
                                base::TimePoint& next_expiry);

/// Removes one request. False: it does not wait here.
bool Remove(ClassQueue& queue, Ticket ticket);

}  // namespace detail

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_TARGET_QUEUE_HPP
