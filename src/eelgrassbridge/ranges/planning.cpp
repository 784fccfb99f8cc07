// Planning of range maps.
#include "eelgrassbridge/ranges/planning.hpp"

#include <algorithm>
#include <map>

namespace eelgrassbridge::ranges {

namespace {

/// An owner that may be given keys, with the load that the plan gives it.
struct Candidate {
  OwnerId owner;
  /// Requests a second that all its slots can bear.
  double capacity = 0;
  double demand = 0;
  std::uint32_t entries = 0;
};

double Fill(const Candidate& candidate) {
  return candidate.demand / candidate.capacity;
}

struct Planner {
  const PlanningInput& input;
  const PlanningOptions& options;
  RangeMap map;
  bool changed = false;
  std::vector<Candidate> candidates;
  std::map<std::string, const LeaseRecord*> leases;
};

double RunSeconds(const OwnerLoad& load, const PlanningOptions& options) {
  return load.run_seconds > 0 ? load.run_seconds : options.default_run_seconds;
}

Planner MakePlanner(const RangeMap& map,
                    const PlanningInput& input,
                    const PlanningOptions& options) {
  Planner planner{input, options, map, false, {}, {}};
  for (const LeaseRecord& lease : input.live) {
    planner.leases[lease.owner.daemon] = &lease;
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
  return planner;
}

Candidate* FindCandidate(Planner& planner, const std::string& daemon) {
  const auto found = std::ranges::find_if(
      planner.candidates, [&daemon](const Candidate& candidate) {
        return candidate.owner.daemon == daemon;
      });
  return found == planner.candidates.end() ? nullptr : &*found;
}

Candidate* LeastLoaded(Planner& planner, const std::string& except) {
  Candidate* best = nullptr;
  for (Candidate& candidate : planner.candidates) {
    const bool allowed =
        candidate.owner.daemon != except &&
        candidate.entries < planner.options.most_entries_per_owner;
    if (allowed && (best == nullptr || Fill(candidate) < Fill(*best))) {
      best = &candidate;
    }
  }
  return best;
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

/// Splits entries so that each lies within one part of the owner's demand.
void SplitAtQuantiles(Planner& planner, const std::string& daemon) {
  const auto lease = planner.leases.find(daemon);
  if (lease == planner.leases.end()) {
    return;
  }
  for (const std::uint32_t key : lease->second->load.quantiles) {
    const RangeEntry* const entry = FindEntry(planner.map, key);
    if (entry != nullptr && entry->owner.daemon == daemon &&
        entry->next_daemon.empty()) {
      SplitAt(planner.map, key);
    }
  }
}

/// Demand of an entry, if its owner's demand is spread evenly over the parts
/// that its quantiles make.
double DemandOf(const Planner& planner, const RangeEntry& entry) {
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

/// Keys of owners without a lease go to live ones, each in as many pieces as
/// there are candidates, so that no single one takes all of the load.
void ReassignLost(Planner& planner) {
  std::map<std::string, std::vector<KeyRange>> lost;
  for (const RangeEntry& entry : planner.map.entries) {
    const auto lease = planner.leases.find(entry.owner.daemon);
    if (lease == planner.leases.end()) {
      lost[entry.owner.daemon].push_back(entry.keys);
    }
  }
  for (const auto& [daemon, ranges] : lost) {
    std::uint32_t total = 0;
    for (const KeyRange& range : ranges) {
      total += SizeOf(range);
    }
    const auto pieces = static_cast<std::uint32_t>(planner.candidates.size());
    const std::uint32_t piece = std::max(1U, total / pieces);
    for (const KeyRange& range : ranges) {
      const std::uint32_t cuts = (SizeOf(range) + piece / 2) / piece;
      for (std::uint32_t i = 1; i < cuts; ++i) {
        SplitAt(planner.map, range.first + SizeOf(range) * i / cuts);
      }
    }
  }
  for (RangeEntry& entry : planner.map.entries) {
    if (!lost.contains(entry.owner.daemon)) {
      continue;
    }
    Candidate* const taker = LeastLoaded(planner, entry.owner.daemon);
    if (taker == nullptr) {
      continue;
    }
    Reassign(planner.map, entry, taker->owner, {});
    planner.changed = true;
    ++taker->entries;
    // What the lost keys ask for is not known any more; the share of the keys
    // is the best guess.
    double total_demand = 0;
    for (const Candidate& candidate : planner.candidates) {
      total_demand += candidate.demand;
    }
    taker->demand += std::max(1.0, total_demand) * SizeOf(entry.keys) /
                     static_cast<double>(kLastKey);
  }
}

/// Moves to daemons that cannot take the keys any more are called off.
void CallOffMoves(Planner& planner) {
  for (RangeEntry& entry : planner.map.entries) {
    if (!entry.next_daemon.empty() &&
        FindCandidate(planner, entry.next_daemon) == nullptr) {
      entry.next_daemon.clear();
      planner.changed = true;
    }
  }
}

/// Keys of targets that leave are moved away.
void MoveFromLeaving(Planner& planner) {
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
    Candidate* const taker = LeastLoaded(planner, entry.owner.daemon);
    if (taker == nullptr) {
      continue;
    }
    entry.next_daemon = taker->owner.daemon;
    taker->demand += DemandOf(planner, entry);
    ++taker->entries;
    planner.changed = true;
  }
}

bool AnyMove(const Planner& planner) {
  return std::ranges::any_of(planner.map.entries, [](const RangeEntry& entry) {
    return !entry.next_daemon.empty();
  });
}

/// Moves one piece of the most loaded owner's keys to the least loaded one.
bool MoveForLoad(Planner& planner) {
  const PlanningOptions& options = planner.options;
  double demand = 0;
  double capacity = 0;
  Candidate* giver = nullptr;
  for (Candidate& candidate : planner.candidates) {
    demand += candidate.demand;
    capacity += candidate.capacity;
    if (giver == nullptr || Fill(candidate) > Fill(*giver)) {
      giver = &candidate;
    }
  }
  if (giver == nullptr || capacity <= 0) {
    return false;
  }
  const double mean = demand / capacity;
  Candidate* const taker = LeastLoaded(planner, giver->owner.daemon);
  if (taker == nullptr || Fill(*giver) < options.least_utilization ||
      Fill(*giver) < mean * options.imbalance || Fill(*taker) >= mean) {
    return false;
  }
  const double excess = std::min(giver->demand - mean * giver->capacity,
                                 mean * taker->capacity - taker->demand);
  SplitAtQuantiles(planner, giver->owner.daemon);
  RangeEntry* best = nullptr;
  double best_demand = 0;
  for (RangeEntry& entry : planner.map.entries) {
    if (entry.owner.daemon != giver->owner.daemon ||
        !entry.next_daemon.empty()) {
      continue;
    }
    const double moved = DemandOf(planner, entry);
    // A piece twice the excess would only swap the two roles.
    if (moved < excess * 1.5 && moved > best_demand) {
      best = &entry;
      best_demand = moved;
    }
  }
  if (best == nullptr) {
    return false;
  }
  best->next_daemon = taker->owner.daemon;
  giver->demand -= best_demand;
  taker->demand += best_demand;
  ++taker->entries;
  planner.changed = true;
  return true;
}

std::vector<OwnerId> Owners(const Planner& planner) {
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
    DivideEvenly(planner.map, Owners(planner));
    return planner.map;
  }
  CountEntries(planner);
  CallOffMoves(planner);
  ReassignLost(planner);
  MoveFromLeaving(planner);
  if (input.balance && !AnyMove(planner)) {
    for (std::uint32_t i = 0; i < options.most_moves; ++i) {
      if (!MoveForLoad(planner)) {
        break;
      }
    }
  }
  if (!planner.changed) {
    return std::nullopt;
  }
  Merge(planner.map);
  return planner.map;
}

}  // namespace eelgrassbridge::ranges
