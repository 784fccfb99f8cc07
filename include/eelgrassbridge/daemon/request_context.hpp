// What all request workers of a daemon share.
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

/// @brief Suspects of this daemon; control exchanges them by gossip.
struct PoisonState {
  std::mutex mutex;
  routing::PoisonQuarantine quarantine;
  /// Lets requests skip hashing and the lock while nothing is suspected.
  std::atomic<bool> has_suspects = false;
  /// Set at a death: control tells the others in its next tick.
  std::atomic<bool> has_unsent_deaths = false;
};

/// @brief Shares of account and entry limits; control exchanges demands.
struct AccountState {
  std::mutex mutex;
  limits::AccountLimiter limiter;
};

/// @brief Targets of one undivided service for one residency.
struct TargetChoiceTable {
  /// The view's peers that the table was made from.
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

/// @brief Counters that every request touches, looked up once.
struct RequestCounters {
  explicit RequestCounters(base::CounterRegistry& registry);

  base::Counter& answered;
  std::array<base::Counter*, base::kErrorKindCount> failed{};
  base::Counter& forwarded;
  base::Counter& retried;
  base::Counter& hedged;
  base::Counter& target_deaths;
};

/// @brief Shared by the workers of the caller HTTP server; lives as long as
/// the server.
struct RequestContext {
  explicit RequestContext(const settings::Settings& daemon_settings);

  const settings::Settings& settings;
  RoutingViewSlot routing;
  /// Outlive the answers and connections that hold shares of them.
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
  base::Latency latency;
  /// Outcomes for the burn report, recorded by the entry daemon only, so that
  /// no request is counted twice.
  report::BurnRecorder burn;
  /// Set before the server starts; null only in tests without hedging.
  Hedger* hedger = nullptr;
  /// Set at the start of a planned stop: every answer then asks its caller to
  /// close the connection.
  std::atomic<bool> draining = false;
};

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_CONTEXT_HPP
