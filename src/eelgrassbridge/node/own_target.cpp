// Processing of target reports and granting of ranges.
#include "eelgrassbridge/node/own_target.hpp"

#include <algorithm>

namespace eelgrassbridge::node {

namespace {

/// Maximum number of released ranges that are kept until their next owner is
/// written to the store.
constexpr std::size_t kMaxHandovers = 64;

bool Overlap(const ranges::KeyRange& left, const ranges::KeyRange& right) {
  return left.first <= right.last && right.first <= left.last;
}

/// Returns what the target may hold after a report: the ranges that it lists,
/// each until the end of the hold granted for its keys. A range that this
/// daemon process has not granted was granted by an earlier process, for at
/// most the longest hold; such a hold gets `unknown_end`.
std::vector<PossibleHold> HoldsAfter(const OwnTarget& target,
                                     const TargetReport& report,
                                     base::TimePoint unknown_end) {
  std::vector<PossibleHold> holds;
  for (const HeldRange& held : report.held) {
    base::TimePoint ends{};
    bool known = false;
    for (const PossibleHold& earlier : target.possible_holds) {
      if (Overlap(earlier.range.keys, held.keys)) {
        ends = std::max(ends, earlier.ends);
        known = true;
      }
    }
    holds.push_back({held, known ? ends : unknown_end});
  }
  return holds;
}

void BeginLife(OwnTarget& target, const TargetReport& report) {
  target = OwnTarget{};
  target.id = report.target;
  target.born = report.born;
}

void KeepHandovers(OwnTarget& target, const TargetReport& report) {
  for (const ReleasedRange& released : report.released) {
    std::erase_if(target.released, [&released](const ReleasedRange& other) {
      return Overlap(other.keys, released.keys);
    });
    target.released.push_back(released);
  }
  if (target.released.size() > kMaxHandovers) {
    target.released.erase(target.released.begin(),
                          target.released.end() - kMaxHandovers);
  }
}

}  // namespace

ReportIntake TakeReport(OwnTarget& target,
                        const TargetReport& report,
                        base::TimePoint now) {
  const bool known = !target.id.empty();
  const bool same_life =
      known && report.target == target.id && report.born == target.born;
  if (known && !same_life && report.born <= target.born) {
    return ReportIntake::kStale;
  }
  if (same_life && report.sequence <= target.sequence) {
    return ReportIntake::kStale;
  }
  if (!same_life) {
    BeginLife(target, report);
  }
  // A previous process of this daemon may have granted holds that this one does
  // not know.
  target.possible_holds =
      HoldsAfter(target, report, now + ranges::LeaseOptions{}.length);
  target.sequence = report.sequence;
  target.slots = report.slots;
  target.leaving = target.leaving || report.leaving;
  target.last_report = now;
  KeepHandovers(target, report);
  return same_life ? ReportIntake::kSameLife : ReportIntake::kNewLife;
}

bool TakeDeparture(OwnTarget& target, std::string_view id) {
  if (target.id != id) {
    return false;
  }
  target.leaving = true;
  return true;
}

bool IsServing(const OwnTarget& target) {
  return !target.id.empty() && !target.leaving;
}

ranges::OwnerId OwnerOf(const OwnTarget& target, std::string_view daemon) {
  return {std::string(daemon), target.id, target.born};
}

ReportAnswer MakeGrants(OwnTarget& target,
                        const ranges::RangeMap& map,
                        std::string_view daemon,
                        const ranges::Right& right,
                        const ranges::LeaseOptions& options,
                        base::TimePoint now) {
  const base::Duration hold = ranges::HoldFor(right, now, options);
  if (hold <= base::Duration{0}) {
    return {};
  }
  const ranges::OwnerId self = OwnerOf(target, daemon);
  ReportAnswer answer;
  answer.hold = hold;
  answer.grants.emplace();
  for (const ranges::RangeEntry& entry : map.entries) {
    if (entry.owner == self && entry.next_daemon.empty()) {
      answer.grants->push_back(
          {entry.keys, entry.fencing_token, entry.handover});
    }
  }
  const base::TimePoint ends = ranges::HoldEnd(hold, now, options);
  for (const Grant& grant : *answer.grants) {
    target.possible_holds.push_back({{grant.keys, grant.fencing_token}, ends});
    // State handed over before this grant is outdated: the target builds up new
    // state under the grant.
    std::erase_if(target.released, [&grant](const ReleasedRange& released) {
      return Overlap(released.keys, grant.keys);
    });
  }
  target.granted = *answer.grants;
  target.granted_until = now + hold;
  return answer;
}

bool IsGranted(const OwnTarget& target,
               std::uint32_t key,
               base::TimePoint now) {
  return now < target.granted_until &&
         std::ranges::any_of(target.granted, [key](const Grant& grant) {
           return ranges::Contains(grant.keys, key);
         });
}

bool IsReleased(const OwnTarget& target,
                const ranges::KeyRange& keys,
                base::TimePoint now) {
  return std::ranges::none_of(
      target.possible_holds, [&keys, now](const PossibleHold& hold) {
        return now < hold.ends && Overlap(hold.range.keys, keys);
      });
}

std::string HandoverOf(const OwnTarget& target, const ranges::KeyRange& keys) {
  for (const ReleasedRange& released : target.released) {
    if (released.keys == keys) {
      return released.handover;
    }
  }
  return {};
}

}  // namespace eelgrassbridge::node
