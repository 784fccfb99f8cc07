// Plans ownership changes of a range map: assigns lost keys, empties leaving
// targets and balances load.
#include "eelgrassbridge/ranges/planning.hpp"

#include <algorithm>
#include <map>

#include "eelgrassbridge/ranges/capacity.hpp"
#include "eelgrassbridge/ranges/planner.hpp"

namespace eelgrassbridge::ranges {

namespace {

using detail::Candidate;
using detail::EstimateDemand;
using detail::FindCandidate;
using detail::FindLeastLoaded;
using detail::MoveForLoad;
using detail::Planner;
using detail::SplitAtQuantiles;
using detail::SplitWithinRoom;
using detail::Utilization;

double RunSeconds(const OwnerLoad& load, const PlanningOptions& options) {
  return load.run_seconds > 0 ? load.run_seconds : options.default_run_seconds;
}

Planner MakePlanner(const RangeMap& map,
                    const PlanningInput& input,
                    const PlanningOptions& options) {
  Planner planner{input, options, map, false, {}, {}, 0, std::nullopt};
  const double usual_run_seconds =
      UsualRunSeconds(input.live, options.default_run_seconds);
  std::vector<OwnerId> owners;
  for (const LeaseRecord& lease : input.live) {
    planner.leases[lease.owner.daemon] = &lease;
    owners.push_back(lease.owner);
    if (lease.accepting) {
      const double slots = std::max(1U, lease.load.slots);
      const double capacity = options.adaptive
                                  ? CapacityOf(lease.load, usual_run_seconds)
                                  : slots / RunSeconds(lease.load, options);
      planner.candidates.push_back(
          {lease.owner, capacity, lease.load.requests_per_second, 0, false});
    }
  }
  std::ranges::sort(planner.candidates, {}, [](const Candidate& candidate) {
    return candidate.owner.daemon;
  });
  planner.max_entries = MaxEntries(map, owners, options.max_encoded_size);
  return planner;
}

/// Replaces the demand that each owner tells, which counts keys that have moved
/// away, by the demand for the keys that it has or that are moving to it.
void EstimateDemandByKey(Planner& planner) {
  planner.profile = MakeDemandProfile(planner.map, planner.input.live);
  for (Candidate& candidate : planner.candidates) {
    candidate.demand = 0;
  }
  for (const RangeEntry& entry : planner.map.entries) {
    const std::string& daemon =
        entry.next_daemon.empty() ? entry.owner.daemon : entry.next_daemon;
    if (Candidate* const candidate = FindCandidate(planner, daemon)) {
      candidate->demand += EstimateDemand(planner, entry);
    }
  }
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

/// Assigns the keys of restarted targets to their present incarnations, as
/// their daemons would do one after the other. After many have restarted at the
/// same time, each of their own changes of the map fails for all others.
void AdoptRestartedTargets(Planner& planner) {
  for (const LeaseRecord& lease : planner.input.live) {
    const bool restarted = std::ranges::any_of(
        planner.map.entries, [&lease](const RangeEntry& entry) {
          return entry.owner.daemon == lease.owner.daemon &&
                 entry.owner.born < lease.owner.born;
        });
    if (restarted && ReassignAfterRestart(planner.map, lease.owner)) {
      planner.changed = true;
    }
  }
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

/// Plans moves for load, as far as the input allows them now.
void MoveLoad(Planner& planner) {
  if (planner.input.relieve && planner.profile && RelieveOverload(planner)) {
    return;
  }
  if (!planner.input.balance || HasPendingMoves(planner)) {
    return;
  }
  for (std::uint32_t i = 0; i < planner.options.max_moves; ++i) {
    if (!MoveForLoad(planner)) {
      break;
    }
  }
}

std::vector<OwnerId> CandidateOwners(const Planner& planner) {
  std::vector<OwnerId> owners;
  for (const Candidate& candidate : planner.candidates) {
    owners.push_back(candidate.owner);
  }
  return owners;
}

}  // namespace

PlanningOptions MakePlanningOptions(bool adaptive) {
  PlanningOptions options;
  options.adaptive = adaptive;
  return options;
}

bool HasOverloadedOwner(const RangeMap& map,
                        const PlanningInput& input,
                        const PlanningOptions& options) {
  if (!options.adaptive || map.entries.empty()) {
    return false;
  }
  Planner planner = MakePlanner(map, input, options);
  EstimateDemandByKey(planner);
  const double limit = OverloadUtilization(planner);
  return std::ranges::any_of(planner.candidates,
                             [limit](const Candidate& candidate) {
                               return Utilization(candidate) > limit;
                             });
}

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
  AdoptRestartedTargets(planner);
  CountEntries(planner);
  CancelInvalidMoves(planner);
  if (options.adaptive) {
    EstimateDemandByKey(planner);
  }
  ReassignLostOwners(planner);
  MoveFromLeavingTargets(planner);
  MoveLoad(planner);
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
