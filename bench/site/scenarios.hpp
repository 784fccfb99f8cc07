// The site scenarios behind tools/measure. Each prints its figures and returns
// whether it could be run.
#ifndef EELGRASSBRIDGE_BENCH_SITE_SCENARIOS_HPP
#define EELGRASSBRIDGE_BENCH_SITE_SCENARIOS_HPP

#include <cstdint>
#include <vector>

#include "site.hpp"

namespace eelgrassbridge::bench {

struct ScenarioOptions {
  SiteOptions site;
  /// Shorter outages and fewer repeats.
  bool is_short = false;
  /// Losses in owner_lost.
  std::uint32_t losses = 100;
  /// Fleet sizes in store_budget and control_cost.
  std::vector<std::uint32_t> sizes{5, 20, 40, 80};
};

/// @brief Requests through the product beside the same sent to the target.
bool MeasureThroughput(const ScenarioOptions& options);

/// @brief One key gets half of the load: time until another daemon serves it,
/// and the imbalance of the targets before and after.
bool MeasureHotKey(const ScenarioOptions& options);

/// @brief Time until the keys of a killed daemon are answered again.
bool MeasureOwnerLost(const ScenarioOptions& options);

/// @brief All daemons are killed and started again: time until every probed
/// key is answered. Owners and deputies are lost together.
bool MeasureRestartAll(const ScenarioOptions& options);

/// @brief Share of requests served while the store is down, slow or loses
/// replies.
bool MeasureStoreOutage(const ScenarioOptions& options);

/// @brief A data centre is taken out of service and returned under load.
bool MeasureDataCentre(const ScenarioOptions& options);

/// @brief Each daemon in turn is stopped with SIGTERM and started again under
/// load.
bool MeasureGracefulStop(const ScenarioOptions& options);

/// @brief An owner's daemon, its target and a deputy's daemon are frozen for
/// 5 s, one after the other, under load.
bool MeasureFreeze(const ScenarioOptions& options);

/// @brief The links between two regions are cut in both directions, then in
/// one, under load from both sides.
bool MeasureRegionCut(const ScenarioOptions& options);

/// @brief Searches the traces that requests bound to one region leave in the
/// other.
bool MeasureResidencySearch(const ScenarioOptions& options);

/// @brief A caller resends a request that ends its target.
bool MeasurePoison(const ScenarioOptions& options);

/// @brief Reads and writes of the table against the number of daemons.
bool MeasureStoreBudget(const ScenarioOptions& options);

/// @brief CPU, memory and bytes of one daemon against the number of daemons.
bool MeasureControlCost(const ScenarioOptions& options);

/// @brief Time until a catalogue change is in force in every daemon.
bool MeasureCatalogue(const ScenarioOptions& options);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_SCENARIOS_HPP
