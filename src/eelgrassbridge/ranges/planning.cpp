// Plans ownership changes of a range map: assigns lost keys, empties leaving
// targets and balances load.
#include "eelgrassbridge/ranges/planning.hpp"

#include <algorithm>
#include <map>

namespace eelgrassbridge::ranges {

namespace {

/// An owner that may receive keys, with its load under the plan.
struct Candidate {
  OwnerId owner;
  /// Requests per second that all its slots can serve.
  double capacity = 0;
  /// Requests per second for its keys, planned moves included.
  double demand = 0;
  /// Entries that it owns or that are moving to it.
  std::uint32_t entries = 0;
};

double Utilization(const Candidate& candidate) {
  return candidate.demand / candidate.capacity;
}

struct Planner {
  const PlanningInput& input;
  const PlanningOptions& options;
  RangeMap map;
  bool changed = false;
  std::vector<Candidate> candidates;
  std::map<std::string, const LeaseRecord*> leases;
  /// Entries up to which the plan splits others.
  std::size_t max_entries = 0;
};

double RunSeconds(const OwnerLoad& load, const PlanningOptions& options) {
  return load.run_seconds > 0 ? load.run_seconds : options.default_run_seconds;
}

Planner MakePlanner(const RangeMap& map,
                    const PlanningInput& input,
                    const PlanningOptions& options) {
  Planner planner{input, options, map, false, {}, {}, 0};
  std::vector<OwnerId> owners;
  for (const LeaseRecord& lease : input.live) {
    planner.leases[lease.owner.daemon] = &lease;
    owners.push_back(lease.owner);
    if (lease.accepting) {
      const double slots = std::max(1U, lease.load.slots);
      planner.candidates.push_back({lease.owner,
                                    slots / RunSeconds(lease.load, options),
                                    lease.load.requests_per_second, 0});
    }
  }
  std::ranges::sort(planner.candidates, {}, [](const Candidate& candidate) {
    return candidate.owner.daemon;
  });
  planner.max_entries = MaxEntries(map, owners, options.max_encoded_size);
  return planner;
}

Candidate* FindCandidate(Planner& planner, const std::string& daemon) {
  const auto found = std::ranges::find_if(
      planner.candidates, [&daemon](const Candidate& candidate) {
        return candidate.owner.daemon == daemon;
      });
  return found == planner.candidates.end() ? nullptr : &*found;
}

bool MayTakeEntry(const Planner& planner, const Candidate& candidate) {
  return candidate.entries < planner.options.max_entries_per_owner;
}

/// Finds the least loaded candidate that may take another entry.
Candidate* FindLeastLoaded(Planner& planner, const std::string& except) {
  Candidate* best = nullptr;
  for (Candidate& candidate : planner.candidates) {
    if (candidate.owner.daemon != except && MayTakeEntry(planner, candidate) &&
        (best == nullptr || Utilization(candidate) < Utilization(*best))) {
      best = &candidate;
    }
  }
  return best;
}

/// Finds the recipient of an entry that can't stay with its owner. If no
/// candidate may take another entry, the owner of the neighbouring keys takes
/// it, since the two entries can be merged, or else the least loaded one.
Candidate* FindRecipient(Planner& planner,
                         const std::string& except,
                         const std::string& neighbour) {
  if (Candidate* const recipient = FindLeastLoaded(planner, except)) {
    return recipient;
  }
  Candidate* best = nullptr;
  for (Candidate& candidate : planner.candidates) {
    if (candidate.owner.daemon == except) {
      continue;
    }
    if (candidate.owner.daemon == neighbour) {
      return &candidate;
    }
    if (best == nullptr || Utilization(candidate) < Utilization(*best)) {
      best = &candidate;
    }
  }
  return best;
}

/// Merges the entries of owners that have more than they may.
void MergeEntriesAboveMaximum(Planner& planner) {
  CompactMap(planner.map, [&planner](const RangeEntry& entry) {
    const Candidate* const candidate =
        FindCandidate(planner, entry.owner.daemon);
    return candidate != nullptr &&
           candidate->entries > planner.options.max_entries_per_owner;
  });
}

void CountEntries(Planner& planner) {
  for (const RangeEntry& entry : planner.map.entries) {
    const std::string& daemon =
        entry.next_daemon.empty() ? entry.owner.daemon : entry.next_daemon;
    if (Candidate* const candidate = FindCandidate(planner, daemon)) {
      ++candidate->entries;
    }
  }
}

/// Splits an entry unless the map has no room for another one.
void SplitWithinRoom(Planner& planner, std::uint32_t key) {
  if (planner.map.entries.size() < planner.max_entries) {
    SplitAt(planner.map, key);
  }
}

/// Splits the owner's entries at its quantile keys, so that each entry lies
/// within one of the equal parts of its demand.
void SplitAtQuantiles(Planner& planner, const std::string& daemon) {
  const auto lease = planner.leases.find(daemon);
  if (lease == planner.leases.end()) {
    return;
  }
  for (const std::uint32_t key : lease->second->load.quantiles) {
    const RangeEntry* const entry = FindEntry(planner.map, key);
    if (entry != nullptr && entry->owner.daemon == daemon &&
        entry->next_daemon.empty()) {
      SplitWithinRoom(planner, key);
    }
  }
}

/// Estimates the demand of an entry in requests per second. The quantiles
/// divide the owner's demand into equal parts; the entry counts with each part
/// that it touches.
double EstimateDemand(const Planner& planner, const RangeEntry& entry) {
  const auto found = planner.leases.find(entry.owner.daemon);
  if (found == planner.leases.end()) {
    return 0;
  }
  const OwnerLoad& load = found->second->load;
  const auto parts = static_cast<double>(load.quantiles.size() + 1);
  const auto inside =
      std::ranges::count_if(load.quantiles, [&entry](std::uint32_t key) {
        return entry.keys.first < key && key <= entry.keys.last;
      });
  return load.requests_per_second * static_cast<double>(inside + 1) / parts;
}

bool IsLost(const Planner& planner, const RangeEntry& entry) {
  return !planner.leases.contains(entry.owner.daemon) &&
         std::ranges::find(planner.input.kept, entry.owner.daemon) ==
             planner.input.kept.end();
}

/// Merges the adjacent entries of each lost owner. All of them are about to
/// get new tokens without a handover.
void MergeLostEntries(Planner& planner) {
  for (RangeEntry& entry : planner.map.entries) {
    if (IsLost(planner, entry)) {
      entry.handover.clear();
      entry.next_daemon.clear();
    }
  }
  MergeOwnEntries(planner.map, [&planner](const RangeEntry& entry) {
    return IsLost(planner, entry);
  });
}

/// Splits the keys of each lost owner into pieces, so that no single candidate
/// takes all of its load.
void SplitLostEntries(Planner& planner) {
  std::map<std::string, std::vector<KeyRange>> lost;
  for (const RangeEntry& entry : planner.map.entries) {
    if (IsLost(planner, entry)) {
      lost[entry.owner.daemon].push_back(entry.keys);
    }
  }
  const auto pieces =
      std::min(static_cast<std::uint32_t>(planner.candidates.size()),
               planner.options.max_lost_pieces);
  for (const auto& [daemon, ranges] : lost) {
    std::uint32_t total = 0;
    for (const KeyRange& range : ranges) {
      total += SizeOf(range);
    }
    const std::uint32_t piece = std::max(1U, total / pieces);
    for (const KeyRange& range : ranges) {
      const std::uint32_t cuts = (SizeOf(range) + piece / 2) / piece;
      for (std::uint32_t i = 1; i < cuts; ++i) {
        SplitWithinRoom(planner, range.first + SizeOf(range) * i / cuts);
      }
    }
  }
}

/// Reassigns the keys of owners without a lease.
void ReassignLostOwners(Planner& planner) {
  const std::uint64_t first_new_token = planner.map.next_token;
  MergeLostEntries(planner);
  SplitLostEntries(planner);
  std::string neighbour;
  for (RangeEntry& entry : planner.map.entries) {
    if (!IsLost(planner, entry)) {
      neighbour = entry.owner.daemon;
      continue;
    }
    Candidate* const recipient =
        FindRecipient(planner, entry.owner.daemon, neighbour);
    if (recipient == nullptr) {
      continue;
    }
    neighbour = recipient->owner.daemon;
    Reassign(planner.map, entry, recipient->owner, {});
    planner.changed = true;
    ++recipient->entries;
    // The demand for the lost keys is unknown; it is estimated from their
    // fraction of the key space.
    double total_demand = 0;
    for (const Candidate& candidate : planner.candidates) {
      total_demand += candidate.demand;
    }
    recipient->demand += std::max(1.0, total_demand) * SizeOf(entry.keys) /
                         static_cast<double>(kLastKey);
  }
  // Nobody has been told these tokens yet, so either may stand for both.
  MergeOwnEntries(planner.map, [first_new_token](const RangeEntry& entry) {
    return entry.fencing_token >= first_new_token;
  });
}

/// Cancels pending moves to daemons that can no longer receive keys.
void CancelInvalidMoves(Planner& planner) {
  for (RangeEntry& entry : planner.map.entries) {
    if (!entry.next_daemon.empty() &&
        FindCandidate(planner, entry.next_daemon) == nullptr) {
      entry.next_daemon.clear();
      planner.changed = true;
    }
  }
}

/// Plans moves of all keys away from targets that are leaving.
void MoveFromLeavingTargets(Planner& planner) {
  for (const auto& [daemon, lease] : planner.leases) {
    if (!lease->accepting) {
      SplitAtQuantiles(planner, daemon);
    }
  }
  for (RangeEntry& entry : planner.map.entries) {
    const auto lease = planner.leases.find(entry.owner.daemon);
    if (!entry.next_daemon.empty() || lease == planner.leases.end() ||
        lease->second->accepting) {
      continue;
    }
    Candidate* const recipient = FindRecipient(planner, entry.owner.daemon, {});
    if (recipient == nullptr) {
      continue;
    }
    entry.next_daemon = recipient->owner.daemon;
    recipient->demand += EstimateDemand(planner, entry);
    ++recipient->entries;
    planner.changed = true;
  }
}

bool HasPendingMoves(const Planner& planner) {
  return std::ranges::any_of(planner.map.entries, [](const RangeEntry& entry) {
    return !entry.next_daemon.empty();
  });
}

/// Plans the move of one entry from the most loaded owner to the least loaded
/// one. Returns whether it found one to move.
bool MoveForLoad(Planner& planner) {
  const PlanningOptions& options = planner.options;
  double demand = 0;
  double capacity = 0;
  Candidate* donor = nullptr;
  for (Candidate& candidate : planner.candidates) {
    demand += candidate.demand;
    capacity += candidate.capacity;
    if (donor == nullptr || Utilization(candidate) > Utilization(*donor)) {
      donor = &candidate;
    }
  }
  if (donor == nullptr || capacity <= 0) {
    return false;
  }
  const double mean = demand / capacity;
  Candidate* const recipient = FindLeastLoaded(planner, donor->owner.daemon);
  if (recipient == nullptr || Utilization(*donor) < options.min_utilization ||
      Utilization(*donor) < mean * options.max_imbalance ||
      Utilization(*recipient) >= mean) {
    return false;
  }
  const double excess =
      std::min(donor->demand - mean * donor->capacity,
               mean * recipient->capacity - recipient->demand);
  SplitAtQuantiles(planner, donor->owner.daemon);
  RangeEntry* best = nullptr;
  double best_demand = 0;
  for (RangeEntry& entry : planner.map.entries) {
    if (entry.owner.daemon != donor->owner.daemon ||
        !entry.next_daemon.empty()) {
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
  donor->demand -= best_demand;
  recipient->demand += best_demand;
  ++recipient->entries;
  planner.changed = true;
  return true;
}

std::vector<OwnerId> CandidateOwners(const Planner& planner) {
  std::vector<OwnerId> owners;
  for (const Candidate& candidate : planner.candidates) {
    owners.push_back(candidate.owner);
  }
  return owners;
}

}  // namespace

std::optional<RangeMap> Plan(const RangeMap& map,
                             const PlanningInput& input,
                             const PlanningOptions& options) {
  Planner planner = MakePlanner(map, input, options);
  if (planner.candidates.empty()) {
    return std::nullopt;
  }
  if (map.entries.empty()) {
    DivideEvenly(planner.map, CandidateOwners(planner));
    return planner.map;
  }
  CountEntries(planner);
  CancelInvalidMoves(planner);
  ReassignLostOwners(planner);
  MoveFromLeavingTargets(planner);
  if (input.balance && !HasPendingMoves(planner)) {
    for (std::uint32_t i = 0; i < options.max_moves; ++i) {
      if (!MoveForLoad(planner)) {
        break;
      }
    }
  }
  if (!planner.changed) {
    return std::nullopt;
  }
  MergeAdjacent(planner.map);
  MergeEntriesAboveMaximum(planner);
  if (planner.map.entries.size() >= planner.max_entries) {
    // Otherwise no entry could be split again.
    CompactMap(planner.map, AnyEntry);
  }
  LimitEncodedSize(planner.map, options.max_encoded_size);
  return planner.map;
}

}  // namespace eelgrassbridge::ranges
