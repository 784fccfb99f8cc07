// State shared by all request workers of a daemon.
#ifndef EELGRASSBRIDGE_DAEMON_REQUEST_CONTEXT_HPP
#define EELGRASSBRIDGE_DAEMON_REQUEST_CONTEXT_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/base/latency.hpp"
#include "eelgrassbridge/daemon/body_budget.hpp"
#include "eelgrassbridge/daemon/http_exchange.hpp"
#include "eelgrassbridge/daemon/local_target.hpp"
#include "eelgrassbridge/daemon/request_id_records.hpp"
#include "eelgrassbridge/daemon/routing_view.hpp"
#include "eelgrassbridge/limits/account_limiter.hpp"
#include "eelgrassbridge/limits/retry_budget.hpp"
#include "eelgrassbridge/report/burn_recorder.hpp"
#include "eelgrassbridge/routing/cross_region_meter.hpp"
#include "eelgrassbridge/routing/poison_quarantine.hpp"
#include "eelgrassbridge/routing/target_choice.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

struct Hedger;

/// @brief Requests that are suspected of killing targets. The control thread
/// exchanges them with other daemons by gossip.
struct PoisonState {
  std::mutex mutex;
  routing::PoisonQuarantine quarantine;
  /// Lets requests skip hashing and locking while there are no suspects.
  std::atomic<bool> has_suspects = false;
  /// Set when a death is recorded; the control thread sends it to the other
  /// daemons at its next tick.
  std::atomic<bool> has_unsent_deaths = false;
};

/// @brief This daemon's shares of the account and entry limits. The control
/// thread exchanges demands with other daemons.
struct AccountState {
  std::mutex mutex;
  limits::AccountLimiter limiter;
};

/// @brief Targets of one undivided service for one residency.
struct TargetChoiceTable {
  /// Peers of the routing view that the table was built from.
  std::shared_ptr<const std::unordered_map<base::DaemonId, PeerView>> peers;
  bool draining = false;
  routing::TargetTable targets;
};

struct TargetChoiceState {
  std::mutex mutex;
  /// Key: "service/residency".
  std::map<std::string, TargetChoiceTable, std::less<>> tables;
  limits::RetryBudget retry_budget;
};

/// @brief Counters that are updated by requests, looked up once at start-up.
struct RequestCounters {
  explicit RequestCounters(base::CounterRegistry& registry);

  base::Counter& answered;
  std::array<base::Counter*, base::kErrorKindCount> failed{};
  base::Counter& forwarded;
  base::Counter& retried;
  base::Counter& hedged;
  base::Counter& target_deaths;
};

/// @brief Shared by the workers of the HTTP server; must outlive the server.
struct RequestContext {
  explicit RequestContext(const settings::Settings& daemon_settings);

  const settings::Settings& settings;
  RoutingViewSlot routing;
  /// Declared before the members that hold reservations, and so outlive them.
  BodyBudget request_body_budget{kBodyBudgetBytes};
  BodyBudget answer_body_budget{kBodyBudgetBytes};
  LocalTarget target;
  ConnectionPool peers;
  RequestIdRecords request_ids;
  PoisonState poison;
  AccountState accounts;
  TargetChoiceState target_choice;
  routing::CrossRegionMeter cross_region;
  base::CounterRegistry counters;
  RequestCounters request_counters;
  base::LatencyStats latency;
  /// Outcomes for the error-budget burn rates. Recorded by the entry daemon
  /// only, so that no request is counted twice.
  report::BurnRecorder burn;
  /// Set before the server starts; null only in tests without hedging.
  Hedger* hedger = nullptr;
  /// Set at the start of a planned stop: every response then carries
  /// "Connection: close".
  std::atomic<bool> draining = false;
};

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_CONTEXT_HPP
