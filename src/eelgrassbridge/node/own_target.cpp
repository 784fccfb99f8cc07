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
std::vector<PossibleHold> ComputeHolds(const OwnTarget& target,
                                       const TargetReport& report,
                                       base::TimePoint unknown_end) {
  std::vector<PossibleHold> holds;
  for (const HeldRange& held : report.held) {
    base::TimePoint expires_at{};
    bool known = false;
    for (const PossibleHold& earlier : target.possible_holds) {
      if (Overlap(earlier.range.keys, held.keys)) {
        expires_at = std::max(expires_at, earlier.expires_at);
        known = true;
      }
    }
    holds.push_back({held, known ? expires_at : unknown_end});
  }
  return holds;
}

void BeginIncarnation(OwnTarget& target, const TargetReport& report) {
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

ReportStatus ApplyReport(OwnTarget& target,
                         const TargetReport& report,
                         base::TimePoint now) {
  const bool known = !target.id.empty();
  const bool same_incarnation =
      known && report.target == target.id && report.born == target.born;
  if (known && !same_incarnation && report.born <= target.born) {
    return ReportStatus::kStale;
  }
  if (same_incarnation && report.sequence <= target.sequence) {
    return ReportStatus::kStale;
  }
  if (!same_incarnation) {
    BeginIncarnation(target, report);
  }
  // A previous process of this daemon may have granted holds that this one does
  // not know.
  target.possible_holds =
      ComputeHolds(target, report, now + ranges::LeaseOptions{}.length);
  target.sequence = report.sequence;
  target.slots = report.slots;
  target.leaving = target.leaving || report.leaving;
  target.last_report = now;
  KeepHandovers(target, report);
  return same_incarnation ? ReportStatus::kSameIncarnation
                          : ReportStatus::kNewIncarnation;
}

DepartureStatus ApplyDeparture(OwnTarget& target,
                               const TargetDeparture& departure) {
  const std::int64_t born = departure.born.value_or(target.born);
  if (target.id.empty() || born > target.born) {
    return DepartureStatus::kUnknown;
  }
  if (born < target.born) {
    return DepartureStatus::kFormer;
  }
  if (departure.target != target.id) {
    return DepartureStatus::kUnknown;
  }
  target.leaving = true;
  return DepartureStatus::kLeaving;
}

bool IsServing(const OwnTarget& target) {
  return !target.id.empty() && !target.leaving;
}

ranges::OwnerId OwnerIdOf(const OwnTarget& target, std::string_view daemon) {
  return {std::string(daemon), target.id, target.born};
}

ReportAnswer GrantRanges(OwnTarget& target,
                         const ranges::RangeMap& map,
                         std::string_view daemon,
                         const ranges::LeaseRight& right,
                         const ranges::LeaseOptions& options,
                         base::TimePoint now) {
  const base::Duration hold = ranges::ComputeHold(right, now, options);
  if (hold <= base::Duration{0}) {
    return {};
  }
  const ranges::OwnerId self = OwnerIdOf(target, daemon);
  ReportAnswer answer;
  answer.hold = hold;
  answer.grants.emplace();
  for (const ranges::RangeEntry& entry : map.entries) {
    if (entry.owner == self && entry.next_daemon.empty()) {
      answer.grants->push_back(
          {entry.keys, entry.fencing_token, entry.handover});
    }
  }
  const base::TimePoint expires_at = ranges::LatestHoldEnd(hold, now, options);
  for (const Grant& grant : *answer.grants) {
    target.possible_holds.push_back(
        {{grant.keys, grant.fencing_token}, expires_at});
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
        return now < hold.expires_at && Overlap(hold.range.keys, keys);
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
