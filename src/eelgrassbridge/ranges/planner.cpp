// Candidates and entries of a plan in progress.
#include "eelgrassbridge/ranges/planner.hpp"

#include <algorithm>

#include "eelgrassbridge/ranges/demand.hpp"

namespace eelgrassbridge::ranges::detail {

namespace {

bool MayTakeEntry(const Planner& planner, const Candidate& candidate) {
  return candidate.entries < planner.options.max_entries_per_owner;
}

}  // namespace

Candidate* FindCandidate(Planner& planner, const std::string& daemon) {
  const auto found = std::ranges::find_if(
      planner.candidates, [&daemon](const Candidate& candidate) {
        return candidate.owner.daemon == daemon;
      });
  return found == planner.candidates.end() ? nullptr : &*found;
}

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

void SplitWithinRoom(Planner& planner, std::uint32_t key) {
  if (planner.map.entries.size() < planner.max_entries) {
    SplitAt(planner.map, key);
  }
}

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

bool MayMoveForLoad(const Planner& planner, const RangeEntry& entry) {
  return entry.next_daemon.empty() &&
         std::ranges::none_of(planner.input.settling,
                              [&entry](const KeyRange& keys) {
                                return keys.first <= entry.keys.last &&
                                       entry.keys.first <= keys.last;
                              });
}

double EstimateDemand(const Planner& planner, const RangeEntry& entry) {
  if (planner.profile) {
    return DemandIn(*planner.profile, entry.keys);
  }
  const auto found = planner.leases.find(entry.owner.daemon);
  return found == planner.leases.end()
             ? 0
             : DemandOf(found->second->load, entry.keys);
}

}  // namespace eelgrassbridge::ranges::detail
