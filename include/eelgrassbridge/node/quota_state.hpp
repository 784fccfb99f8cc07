// State of account quotas on a node: what this daemon may use, and what it
// decides for the others while it is the quota coordinator.
#ifndef EELGRASSBRIDGE_NODE_QUOTA_STATE_HPP
#define EELGRASSBRIDGE_NODE_QUOTA_STATE_HPP

#include <asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/http/event.hpp"
#include "eelgrassbridge/limits/quota_ledger.hpp"
#include "eelgrassbridge/limits/quota_share.hpp"

namespace eelgrassbridge::node {

/// @brief The quota coordinator, as its rows tell.
struct QuotaRecord {
  std::string daemon;
  /// Random id of the daemon's process.
  std::string process;
  /// Increases with each take-over. The upper half is the era of the store, so
  /// that no tenure is used twice.
  std::uint64_t tenure = 0;
  /// Expiry by the store's clock; only in the lease row.
  base::Duration expires{};
  /// Daemons that may hold shares; only in the lease row.
  std::set<std::string, std::less<>> listed;
};

/// @brief State of account quotas.
///
/// Invariant: this daemon grants shares only while `ledger` is set and the time
/// is before `right_ends`.
struct QuotaState {
  explicit QuotaState(asio::io_context& io)
      : changed(io), wanted(io), answered(io) {}
  /// Accounts with a rate, from the routes in force.
  limits::QuotaLimits limits;
  /// Routes without such an account have been in force in this process, so the
  /// limits of the present ones are new.
  bool seen_without_limits = false;
  limits::QuotaShares shares;
  /// The coordinator, as far as this daemon knows.
  QuotaRecord coordinator;
  /// When the coordinator last answered a report; zero after a failure.
  base::TimePoint answered_at{};
  /// Set on the coordinator.
  std::optional<limits::QuotaLedger> ledger;
  base::TimePoint right_ends{};
  /// Version of the lease row that this coordinator wrote.
  std::uint64_t lease_version = 0;
  /// Notified when the limits or the coordinator have changed.
  http::Event changed;
  /// Notified when a request waits for a token.
  http::Event wanted;
  /// Notified when tokens may have arrived.
  http::Event answered;
};

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_QUOTA_STATE_HPP
