// Moves of keys that balance load.
#include <algorithm>

#include "eelgrassbridge/ranges/planner.hpp"

namespace eelgrassbridge::ranges::detail {

namespace {

/// Ratio of demand to capacity over the candidates that can move load.
double MeanUtilization(const Planner& planner) {
  double demand = 0;
  double capacity = 0;
  for (const Candidate& candidate : planner.candidates) {
    if (!candidate.stuck) {
      demand += candidate.demand;
      capacity += candidate.capacity;
    }
  }
  return capacity > 0 ? demand / capacity : 0;
}

/// The most loaded candidate that can move load; null if there is none.
Candidate* FindMostLoaded(Planner& planner) {
  Candidate* donor = nullptr;
  for (Candidate& candidate : planner.candidates) {
    if (!candidate.stuck &&
        (donor == nullptr || Utilization(candidate) > Utilization(*donor))) {
      donor = &candidate;
    }
  }
  return donor;
}

/// Plans the move of one entry of an owner to the least loaded one. Returns
/// whether it found one to move.
bool MoveFrom(Planner& planner, Candidate& donor, double mean) {
  Candidate* const recipient = FindLeastLoaded(planner, donor.owner.daemon);
  if (recipient == nullptr || Utilization(*recipient) >= mean) {
    return false;
  }
  const double excess =
      std::min(donor.demand - mean * donor.capacity,
               mean * recipient->capacity - recipient->demand);
  SplitAtQuantiles(planner, donor.owner.daemon);
  RangeEntry* best = nullptr;
  double best_demand = 0;
  for (RangeEntry& entry : planner.map.entries) {
    if (entry.owner.daemon != donor.owner.daemon ||
        !MayMoveForLoad(planner, entry)) {
      continue;
    }
    const double moved = EstimateDemand(planner, entry);
    // Moving twice the excess would only swap the two owners' utilization.
    if (moved < excess * 1.5 && moved > best_demand) {
      best = &entry;
      best_demand = moved;
    }
  }
  if (best == nullptr) {
    return false;
  }
  best->next_daemon = recipient->owner.daemon;
  donor.demand -= best_demand;
  recipient->demand += best_demand;
  ++recipient->entries;
  planner.changed = true;
  return true;
}

}  // namespace

bool MoveForLoad(Planner& planner) {
  const PlanningOptions& options = planner.options;
  while (Candidate* const donor = FindMostLoaded(planner)) {
    const double mean = MeanUtilization(planner);
    if (Utilization(*donor) < options.min_utilization ||
        Utilization(*donor) < mean * options.max_imbalance) {
      return false;
    }
    if (MoveFrom(planner, *donor, mean)) {
      return true;
    }
    donor->stuck = true;
  }
  return false;
}

}  // namespace eelgrassbridge::ranges::detail
