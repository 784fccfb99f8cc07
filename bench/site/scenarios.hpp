// Site scenarios of tools/measure. Each prints its figures and returns whether
// it could be run.
#ifndef EELGRASSBRIDGE_BENCH_SITE_SCENARIOS_HPP
#define EELGRASSBRIDGE_BENCH_SITE_SCENARIOS_HPP

#include <cstdint>
#include <vector>

#include "site.hpp"

namespace eelgrassbridge::bench {

struct ScenarioOptions {
  SiteOptions site;
  /// Run with shorter outages and fewer repetitions.
  bool is_short = false;
  /// Number of daemons killed in owner_lost.
  std::uint32_t losses = 100;
  /// Fleet sizes in store_budget and control_cost.
  std::vector<std::uint32_t> sizes{5, 20, 40, 80};
};

/// @brief Throughput and latency of requests through the product, compared with
/// requests sent directly to a target.
bool MeasureThroughput(const ScenarioOptions& options);

/// @brief One key gets half of the load. Measures the time until another daemon
/// serves it, and the imbalance of the targets before and after.
bool MeasureHotKey(const ScenarioOptions& options);

/// @brief Time until the keys of a killed daemon are served again.
bool MeasureOwnerLost(const ScenarioOptions& options);

/// @brief All daemons are killed and restarted, so that owners and their
/// deputies are lost together. Measures the time until every probed key is
/// served.
bool MeasureRestartAll(const ScenarioOptions& options);

/// @brief Share of requests served while the store is down, slow or drops
/// replies.
bool MeasureStoreOutage(const ScenarioOptions& options);

/// @brief Takes a data centre out of service and back into service under load.
bool MeasureDataCentre(const ScenarioOptions& options);

/// @brief Stops each daemon in turn with SIGTERM and restarts it under load.
bool MeasureGracefulStop(const ScenarioOptions& options);

/// @brief Suspends an owner's daemon, its target and a deputy's daemon for 5 s,
/// one after the other, under load.
bool MeasureFreeze(const ScenarioOptions& options);

/// @brief Cuts the links between two regions in both directions, then in one,
/// under load from both sides.
bool MeasureRegionCut(const ScenarioOptions& options);

/// @brief Searches one region for data of requests that are restricted to the
/// other.
bool MeasureResidencySearch(const ScenarioOptions& options);

/// @brief A caller keeps resending a request that crashes its target.
bool MeasurePoison(const ScenarioOptions& options);

/// @brief Reads and writes of the table by the number of daemons.
bool MeasureStoreBudget(const ScenarioOptions& options);

/// @brief CPU time, memory and peer traffic of one daemon by the number of
/// daemons.
bool MeasureControlCost(const ScenarioOptions& options);

/// @brief Time until a catalogue change is active in all daemons.
bool MeasureCatalogue(const ScenarioOptions& options);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_SCENARIOS_HPP
