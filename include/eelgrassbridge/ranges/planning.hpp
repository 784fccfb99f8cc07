// Plans changes of key ownership after an owner is lost, while a target leaves,
// when targets join and when the load is uneven. Any daemon of the service may
// plan; the conditional write of the map's row lets only one plan take effect.
#ifndef EELGRASSBRIDGE_RANGES_PLANNING_HPP
#define EELGRASSBRIDGE_RANGES_PLANNING_HPP

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "eelgrassbridge/ranges/lease.hpp"
#include "eelgrassbridge/ranges/map_size.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::ranges {

struct PlanningOptions {
  /// Ratio of the highest utilization to the mean from which keys move. Keys
  /// that move are unavailable for up to one heartbeat.
  double max_imbalance = 1.3;
  /// No keys move for load while the highest utilization is below this.
  double min_utilization = 0.45;
  /// Mean run time assumed for a target that has not answered yet.
  double default_run_seconds = 0.1;
  /// Moves for load that one plan starts, which bounds how many keys are
  /// unavailable at the same time.
  std::uint32_t max_moves = 4;
  /// Entries per owner; the answer to a heartbeat holds at most 4 KiB.
  std::uint32_t max_entries_per_owner = 24;
  /// Pieces into which the keys of a lost owner are split, beside the ranges
  /// that they already form. Each recipient then takes about a twelfth of its
  /// load, well below max_imbalance; more pieces only enlarge the map.
  std::uint32_t max_lost_pieces = 12;
  /// Largest encoded size of a planned map.
  std::size_t max_encoded_size = kMaxEncodedMapSize;
  /// Relieves overloaded owners faster than `balance` allows, and estimates
  /// demand and capacity from all that the leases tell.
  bool adaptive = false;
  /// Ratio of demand to capacity from which an owner is overloaded, unless all
  /// are nearly as busy. With nine slots, requests wait at this load for a
  /// fifth (even run times) to two fifths (exponential ones) of a run, and the
  /// wait grows quickly above it.
  double overload_utilization = 0.85;
  /// Ratio up to which an overloaded owner is relieved and others are filled.
  /// The distance to `overload_utilization` is the hysteresis.
  double relief_utilization = 0.7;
  /// The two ratios are at least the mean of all owners times these.
  double overload_imbalance = 1.25;
  double relief_imbalance = 1.05;
  /// Fraction of the demand above the owners' capacities from which one plan
  /// may start `max_relief_moves`; below it, `max_moves`. Keys that move are
  /// unavailable for about a second, which costs little while many requests
  /// are refused anyway.
  double large_excess = 0.05;
  std::uint32_t max_relief_moves = 24;
};

/// @brief Options for deployments whose callers have no time for a second
/// attempt (catalogue::NeedsAdaptiveLimits), if `adaptive`; otherwise the
/// defaults.
PlanningOptions MakePlanningOptions(bool adaptive);

/// @brief Input of a plan besides the current map.
struct PlanningInput {
  /// Leases that have not expired by the store's clock.
  std::span<const LeaseRecord> live;
  /// Whether keys may move to balance load.
  bool balance = false;
  /// Daemons without a lease whose ranges this plan leaves as they are.
  std::span<const std::string> kept = {};
  /// Whether keys may move away from overloaded owners; only used if the
  /// options are adaptive.
  bool relieve = false;
  /// Ranges that have moved recently and do not move for load.
  std::span<const KeyRange> settling = {};
};

/// @brief Returns the map to write, or nothing if no change is needed or no
/// target accepts keys.
std::optional<RangeMap> Plan(const RangeMap& map,
                             const PlanningInput& input,
                             const PlanningOptions& options = {});

/// @brief Whether an owner is overloaded by what the leases tell; always false
/// unless the options are adaptive.
bool HasOverloadedOwner(const RangeMap& map,
                        const PlanningInput& input,
                        const PlanningOptions& options);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_PLANNING_HPP
