// State of a plan in progress, shared by the steps of planning.
#ifndef EELGRASSBRIDGE_RANGES_PLANNER_HPP
#define EELGRASSBRIDGE_RANGES_PLANNER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "eelgrassbridge/ranges/demand_profile.hpp"
#include "eelgrassbridge/ranges/lease.hpp"
#include "eelgrassbridge/ranges/planning.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::ranges::detail {

/// @brief An owner that may receive keys, with its load under the plan.
struct Candidate {
  OwnerId owner;
  /// Requests per second that all its slots can serve, or with adaptive options
  /// that it handles well.
  double capacity = 0;
  /// Requests per second for its keys, planned moves included.
  double demand = 0;
  /// Entries that it owns or that are moving to it.
  std::uint32_t entries = 0;
  /// Has no entry that the plan can move to balance load.
  bool stuck = false;
};

/// @brief A map that is being changed, and what the changes are based on.
struct Planner {
  const PlanningInput& input;
  const PlanningOptions& options;
  RangeMap map;
  bool changed = false;
  std::vector<Candidate> candidates;
  std::map<std::string, const LeaseRecord*> leases;
  /// Entries up to which the plan splits others.
  std::size_t max_entries = 0;
  /// Only with adaptive options.
  std::optional<DemandProfile> profile;
};

/// @brief Ratio of a candidate's demand to its capacity.
inline double Utilization(const Candidate& candidate) {
  return candidate.demand / candidate.capacity;
}

/// @brief The candidate of a daemon; null if it is none.
Candidate* FindCandidate(Planner& planner, const std::string& daemon);

/// @brief The least loaded candidate that may take another entry; null if there
/// is none.
Candidate* FindLeastLoaded(Planner& planner, const std::string& except);

/// @brief Splits an entry unless the map has no room for another one.
void SplitWithinRoom(Planner& planner, std::uint32_t key);

/// @brief Splits the owner's entries at its quantile keys, so that each entry
/// lies within one of the equal parts of its demand.
void SplitAtQuantiles(Planner& planner, const std::string& daemon);

/// @brief Estimates the demand of an entry in requests per second.
double EstimateDemand(const Planner& planner, const RangeEntry& entry);

/// @brief Whether an entry may move for load: it is not moving and has not
/// moved recently.
bool MayMoveForLoad(const Planner& planner, const RangeEntry& entry);

/// @brief Ratio of demand to capacity from which an owner counts as overloaded.
double OverloadUtilization(const Planner& planner);

/// @brief Plans the moves of narrow busy ranges from all overloaded owners to
/// those with room. Returns whether it found one. Needs a profile.
bool RelieveOverload(Planner& planner);

/// @brief Plans the move of one entry from the most loaded owner that has one
/// to move. Returns whether it found one.
///
/// An owner with a key that outgrows it may have none. The others must not wait
/// for it, and its demand must not count in the mean, above which no recipient
/// is loaded and far above which owners give load away.
bool MoveForLoad(Planner& planner);

}  // namespace eelgrassbridge::ranges::detail

#endif  // EELGRASSBRIDGE_RANGES_PLANNER_HPP
