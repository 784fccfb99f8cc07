// Decisions about who is to own which keys: lost owners, leaving targets, new
// targets and uneven load. Any daemon of the service may plan; the condition on
// the map's row lets one plan win.
#ifndef EELGRASSBRIDGE_RANGES_PLANNING_HPP
#define EELGRASSBRIDGE_RANGES_PLANNING_HPP

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "eelgrassbridge/ranges/lease.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::ranges {

struct PlanningOptions {
  /// The most loaded owner may exceed the mean utilization by this factor
  /// before keys move; keys that move are not served for up to a heartbeat.
  double imbalance = 1.3;
  /// No keys move for load while the most loaded target is used less.
  double least_utilization = 0.45;
  /// Mean run time assumed before a target has answered anything.
  double default_run_seconds = 0.1;
  /// Moves begun by one plan, which bounds what is unavailable at a time.
  std::uint32_t most_moves = 4;
  /// Entries of one owner; an answer to a heartbeat holds at most 4 KiB.
  std::uint32_t most_entries_per_owner = 24;
};

/// @brief What a plan is made from.
struct PlanningInput {
  /// Leases that have not expired in the store's clock.
  std::span<const LeaseRecord> live;
  /// Whether load may be balanced now.
  bool balance = false;
};

/// @brief The changed map; none if nothing is to be changed.
std::optional<RangeMap> Plan(const RangeMap& map,
                             const PlanningInput& input,
                             const PlanningOptions& options = {});

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_PLANNING_HPP
