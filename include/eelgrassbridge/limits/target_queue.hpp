// Queue of waiting requests of one priority class, in which client accounts
// take turns.
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

/// @brief Identifies an admitted or queued request.
using Ticket = std::uint64_t;

namespace detail {

/// A queued request.
struct QueuedRequest {
  Ticket ticket = 0;
  base::TimePoint deadline;
  /// Whether the deadline applies to the start of the run, not to its end.
  bool deadline_for_start = false;
  /// Time by which the run should start; used if `deadline_for_start`.
  base::TimePoint due;
};

/// Waiting requests of one client account, oldest first, except that a request
/// with a deadline for its start goes ahead of those that are due later. Never
/// empty in a ClassQueue.
struct AccountQueue {
  std::string account;
  std::deque<QueuedRequest> waiting;
};

/// The first account in the list has its turn. It then moves back in the list,
/// the less the more of its requests still wait, so that its share of the turns
/// is about its share of the waiting requests. Requests without an account (an
/// empty name) with deadlines for their start have no turn: one goes ahead if
/// it is due no later than the next request of the account whose turn it is.
/// Most of them are calls of targets, which have little time and whose refusal
/// wastes a run that has begun. `size` is the number of waiting requests.
struct ClassQueue {
  std::deque<AccountQueue> accounts;
  std::uint32_t size = 0;
};

void Push(ClassQueue& queue,
          std::string_view account,
          const QueuedRequest& waiting);

/// Removes and returns the next request; the queue must not be empty.
QueuedRequest PopNext(ClassQueue& queue);

/// Returns the number of waiting requests of one account.
std::size_t CountWaiting(const ClassQueue& queue, std::string_view account);

/// Returns the number of waiting requests that are not due later than `due`.
std::size_t CountDueBefore(const ClassQueue& queue, base::TimePoint due);

/// Removes the last request of the account with the longest queue, if that
/// queue is longer than `threshold`.
std::optional<Ticket> TakeFromLongest(ClassQueue& queue, std::size_t threshold);

/// Removes all requests whose deadline has passed and lowers `next_expiry` to
/// the earliest deadline of the remaining ones.
std::vector<Ticket> TakeExpired(ClassQueue& queue,
                                base::TimePoint now,
                                base::TimePoint& next_expiry);

/// Removes one request; returns false if it is not in this queue.
bool Remove(ClassQueue& queue, Ticket ticket);

}  // namespace detail

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_TARGET_QUEUE_HPP
