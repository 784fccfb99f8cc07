// Calls to the store. Each updates what the node knows of the store: whether it
// is reachable, its clock and its era. Each is counted by its purpose, because
// the store bounds the calls that all daemons may make together.
#ifndef EELGRASSBRIDGE_NODE_STORE_CALLS_HPP
#define EELGRASSBRIDGE_NODE_STORE_CALLS_HPP

#include <asio/awaitable.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// Time allowed for a poll to return a change that another daemon has already
/// reported, and age from which a poll is abandoned when another call fails;
/// slightly more than the round trip between regions. Doubled for each poll
/// that was abandoned, up to the maximum: while the link to the store is full,
/// answers are only late, and to ask again keeps it full.
constexpr base::Duration kInitialGrace = base::milliseconds{400};
constexpr base::Duration kMaxGrace = base::milliseconds{3200};
/// Pause after the first failed call; doubled for each further one up to the
/// maximum.
constexpr std::chrono::milliseconds kInitialPause{100};
constexpr std::chrono::milliseconds kMaxPause{800};

/// @brief What a call to the store is for.
enum class StorePurpose : std::uint8_t {
  /// Reads and polls of the operator's rows.
  kOperatorRows,
  /// Reads and polls of the members and range maps.
  kFleetRows,
  /// Renewals of this daemon's lease, and reads that precede its first one.
  kLease,
  /// Reads of all leases of the service, for planning.
  kLeaseRead,
  /// Commits of range maps.
  kRangeMap,
  /// Commits of this daemon's member row.
  kMember,
  /// Recovery of the ownership of keys after a restore or at the first start.
  kRecovery,
  /// Announcements of the operator's changes.
  kAnnouncement,
  /// Commits of this daemon's crash row.
  kCrashes,
  /// Reads and commits of the quota coordinator's rows.
  kQuota,
};

/// @brief Value of the label "purpose" of the store's metrics.
std::string_view PurposeName(StorePurpose purpose);

/// @brief Delays of a loop that calls the store, which grow with each failure.
struct Backoff {
  std::chrono::milliseconds next = kInitialPause;
  /// Minimum age of a poll that is abandoned.
  base::Duration grace = kInitialGrace;
};

/// @brief Waits before the next call after a failed one.
asio::awaitable<void> Pause(Node& node, Backoff& backoff);

/// @brief Reads all rows of a partition. Fails with kStoreUnavailable if the
/// store was restored meanwhile.
asio::awaitable<base::Result<RowPage>> ReadPartition(Node& node,
                                                     StorePurpose purpose,
                                                     std::string table,
                                                     std::string partition);

/// @brief Whether a daemon still has to make a poll.
using PollCondition = bool (*)(const Node& node);

/// @brief Polls for changes, and abandons the poll if the store may have lost
/// it, or if it is no longer needed. Without a condition it is needed until it
/// ends.
asio::awaitable<base::Result<RowPage>> Poll(Node& node,
                                            FeedPosition position,
                                            Backoff& backoff,
                                            PollCondition is_needed = nullptr);

/// @brief Commits a transaction. Fails as RowStore::commit does.
asio::awaitable<base::Result<CommitResult>> Commit(Node& node,
                                                   StorePurpose purpose,
                                                   RowTransaction transaction);

/// @brief Error of a call during which the store was restored.
inline auto RestoredMeanwhile(base::ErrorKind kind) {
  return base::Fail(kind, "the store was restored from an older copy");
}

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_STORE_CALLS_HPP
