// Writes this daemon's member row and lease row.
#include <algorithm>

#include "eelgrassbridge/node/key_demand.hpp"
#include "eelgrassbridge/node/lease_delegate.hpp"
#include "eelgrassbridge/node/ownership.hpp"
#include "eelgrassbridge/node/range_recovery.hpp"
#include "eelgrassbridge/node/row_intake.hpp"
#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_calls.hpp"
#include "eelgrassbridge/node/target_pace.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;

constexpr std::chrono::milliseconds kMemberRetryPause{200};
/// Minimum interval between renewals that are triggered by events.
constexpr base::Duration kMinRenewInterval = base::milliseconds{100};

Member OwnMember(const Node& node) {
  Member member;
  member.address = node.settings.peers;
  member.data_centre = node.settings.data_centre;
  member.service = node.settings.service;
  member.target = node.target.id;
  member.born = node.target.born;
  member.slots = node.target.slots;
  member.link_mbps = node.settings.link_mbps;
  member.serving = IsServing(node.target);
  return member;
}

bool IsMemberRowCurrent(const Node& node) {
  const auto found = node.fleet.members.find(node.settings.peers);
  return found != node.fleet.members.end() &&
         node.fleet.versions.contains(node.settings.peers) &&
         found->second == OwnMember(node);
}

std::uint64_t MemberVersion(const Node& node) {
  const auto found = node.fleet.versions.find(node.settings.peers);
  return found == node.fleet.versions.end() ? 0 : found->second;
}

/// The lease was confirmed in the present era of the store.
bool IsConfirmed(const Node& node) {
  return node.lease.held && node.lease.held_era == node.store.era;
}

/// Claims for the lease row until the present era has a map. A daemon without a
/// right keeps those that its row has: an earlier process may have extended its
/// right under them, so no other target may get the keys yet.
std::vector<ranges::Claim> NextClaims(const Node& node,
                                      const ranges::OwnerId& owner) {
  if (HasOwnMap(node)) {
    return {};
  }
  if (!node.lease.held) {
    return node.lease.recorded.owner == owner ? node.lease.recorded.claims
                                              : std::vector<ranges::Claim>{};
  }
  const auto found = node.ranges.find(node.settings.service);
  return found == node.ranges.end()
             ? std::vector<ranges::Claim>{}
             : ranges::ClaimsOf(found->second.map, owner);
}

/// Concurrent requests that the target handles well. A cold target takes so few
/// requests a second that it counts as one slot: a planner would otherwise take
/// it for the owner with the most room.
std::uint32_t UsableSlots(const Node& node, base::TimePoint now) {
  return IsTargetCold(node, now)
             ? 1
             : limits::InFlightLimit(node.admission.limiter);
}

ranges::OwnerLoad NextLoad(Node& node, base::TimePoint now) {
  KeyDemand& demand = node.demand;
  demand.adaptive = node.routes && catalogue::NeedsAdaptiveLimits(*node.routes);
  demand.published_at = now;
  return demand.adaptive ? ComputeAdaptiveLoad(demand, node.target.slots,
                                               UsableSlots(node, now), now)
                         : ComputeLoad(demand, node.target.slots, now);
}

ranges::LeaseRecord NextRecord(Node& node, base::TimePoint now) {
  ranges::LeaseRecord record;
  record.owner = OwnerIdOf(node.target, node.settings.peers);
  record.process = node.process;
  record.sequence = ++node.lease.sequence;
  record.expires = ranges::LatestStoreTime(node.store.clock, now) +
                   node.lease.options.length;
  record.accepting = TargetTakesRequests(node);
  record.load = NextLoad(node, now);
  record.claims = NextClaims(node, record.owner);
  return record;
}

void LoseLease(Node& node, std::string_view cause) {
  node.lease.right = ranges::LeaseRight{};
  if (node.lease.held) {
    node.lease.held = false;
    Log(node.log, EventKind::kLeaseLost, {{"cause", cause}});
  }
}

void Confirm(Node& node, base::TimePoint sent_at) {
  ranges::Extend(node.lease.right, sent_at, node.lease.options);
  node.lease.held_era = node.store.era;
}

/// Processes the current row after a renewal whose condition did not hold. If
/// this process wrote the row in a renewal whose answer was lost, that renewal
/// counts as successful.
/// @param sent Send time of each renewal with an unknown outcome, by sequence.
void ApplyLeaseRow(Node& node,
                   const StoredRow& row,
                   const std::map<std::uint64_t, base::TimePoint>& sent) {
  node.lease.version = row.version;
  node.lease.recorded = {};
  node.lease.pending_right = {};
  if (row.version == 0) {
    LoseLease(node, "another daemon removed the lease row");
    return;
  }
  const auto record = ranges::DecodeLease(row.value);
  if (!record) {
    return;
  }
  node.lease.recorded = record.value();
  if (record.value().process != node.process) {
    // Written by an earlier process of this daemon on the same VM. Its lease
    // ended with that process, and the next renewal overwrites the row.
    return;
  }
  const auto found = sent.find(record.value().sequence);
  if (found != sent.end() && node.lease.held) {
    Confirm(node, found->second);
  }
}

/// Reads the version of the lease row, once in each era of the store.
awaitable<bool> ReadLeaseRow(Node& node) {
  auto page =
      co_await ReadPartition(node, StorePurpose::kLease,
                             std::string(kLeaseTable), node.settings.service);
  if (!page) {
    co_return false;
  }
  const RowName own =
      LeaseRow(node.settings.service, node.store.era, node.settings.peers);
  node.lease.version = 0;
  node.lease.no_rows_found = page.value().rows.empty();
  for (const StoredRow& row : page.value().rows) {
    if (row.name == own) {
      node.lease.version = row.version;
      if (auto record = ranges::DecodeLease(row.value)) {
        node.lease.recorded = std::move(record.value());
      }
    }
  }
  node.lease.version_known = true;
  co_return true;
}

/// Reads the rows of the service, including its range map. `no_map_found` is
/// set if no era has a range map or a recovery row.
awaitable<bool> ReadMap(Node& node, bool& no_map_found) {
  auto page =
      co_await ReadPartition(node, StorePurpose::kLease,
                             std::string(kFleetTable), node.settings.service);
  if (!page) {
    co_return false;
  }
  for (const StoredRow& row : page.value().rows) {
    ApplyFleetRow(node, row);
  }
  RebuildStaleTargetTables(node);
  no_map_found =
      std::ranges::none_of(page.value().rows, [](const StoredRow& row) {
        return row.name.key.starts_with(kRangeMapPrefix) ||
               row.name.key.starts_with(kRecoveryPrefix);
      });
  co_return true;
}

/// Current row of a condition that did not hold; version 0 if the row does not
/// exist.
StoredRow CurrentRow(const CommitResult& result, const RowName& name) {
  for (const StoredRow& row : result.current_rows) {
    if (row.name == name) {
      return row;
    }
  }
  return {name, {}, 0, false};
}

/// Applies the rows whose versions a renewal did not meet.
void ApplyConflict(Node& node,
                   const CommitResult& result,
                   const RowName& name,
                   const std::map<std::uint64_t, base::TimePoint>& sent) {
  for (const StoredRow& row : result.current_rows) {
    if (row.name.table == kFleetTable) {
      ApplyFleetRow(node, row);
    }
  }
  const StoredRow current = CurrentRow(result, name);
  if (current.version != node.lease.version) {
    ApplyLeaseRow(node, current, sent);
  }
}

/// Reads what a renewal needs to know of the present era of the store: the
/// version of the lease row, and the range map or else the recovery row, which
/// is created if there is neither. Returns whether all of it is known.
awaitable<bool> PrepareRenewal(Node& node) {
  if (!node.lease.version_known || !node.store.clock.known) {
    const bool read = co_await ReadLeaseRow(node);
    if (!read) {
      co_return false;
    }
  }
  if (HasOwnMap(node) || node.recovery.version > 0) {
    co_return true;
  }
  // Read after the lease rows: a daemon writes its lease row only after it has
  // seen a recovery row.
  bool no_map_found = false;
  const bool read = co_await ReadMap(node, no_map_found);
  if (!read) {
    co_return false;
  }
  if (!HasOwnMap(node) && node.recovery.version == 0) {
    co_await BeginRecovery(node, node.settings.first_start &&
                                     !node.store.restored && no_map_found &&
                                     node.lease.no_rows_found);
  }
  co_return node.lease.version_known &&
      (HasOwnMap(node) || node.recovery.version > 0);
}

/// Ends a lease of a former era if its ranges can no longer be claimed.
void EndFormerLease(Node& node, base::TimePoint now) {
  const bool may_claim =
      !HasOwnMap(node) && ranges::IsValid(node.lease.right, now) &&
      node.recovery.record.phase == ranges::RecoveryPhase::kCollecting;
  if (node.lease.held && !IsConfirmed(node) && !may_claim) {
    LoseLease(node, "the store was restored from an older copy");
  }
}

/// Sends a renewal to the store, or to the delegate that joins it with others.
/// A claim goes to the store alone, since it has a condition of its own.
awaitable<base::Result<CommitResult>> SendRenewal(
    Node& node,
    const RowName& name,
    const ranges::LeaseRecord& record) {
  Renewal renewal{name, node.lease.version, ranges::EncodeLease(record)};
  if (!node.lease.held || IsConfirmed(node)) {
    co_return co_await CommitRenewal(node, std::move(renewal));
  }
  RowTransaction transaction = JoinRenewals({&renewal, 1});
  // New claims are void once their collection is closed.
  transaction.conditions.push_back(
      {RecoveryRow(node.settings.service, node.store.era),
       node.recovery.version});
  co_return co_await Commit(node, StorePurpose::kLease, std::move(transaction));
}

/// Renews the lease once. Returns false if the renewal has to be retried soon.
awaitable<bool> Renew(Node& node,
                      std::map<std::uint64_t, base::TimePoint>& sent) {
  const bool prepared = co_await PrepareRenewal(node);
  if (!prepared) {
    co_return false;
  }
  const base::TimePoint now = base::BootClock::now();
  EndFormerLease(node, now);
  const ranges::LeaseRecord record = NextRecord(node, now);
  const RowName name =
      LeaseRow(node.settings.service, node.store.era, node.settings.peers);
  sent[record.sequence] = now;
  auto result = co_await SendRenewal(node, name, record);
  if (!result) {
    co_return false;
  }
  std::erase_if(sent, [&record](const auto& entry) {
    return entry.first < record.sequence;
  });
  if (!result.value().committed) {
    ApplyConflict(node, result.value(), name, sent);
    co_return false;
  }
  node.lease.version = result.value().state.version;
  node.lease.recorded = record;
  if (!node.lease.held && !HasOwnMap(node)) {
    // This daemon gets its right with the first map of the era.
    ranges::Extend(node.lease.pending_right, now, node.lease.options);
    co_return true;
  }
  if (!node.lease.held) {
    // Other daemons may have taken over ranges while there was no lease. They
    // cannot do so from now on, so the map read here stays valid during the
    // lease.
    bool no_map_found = false;
    const bool read = co_await ReadMap(node, no_map_found);
    if (!read) {
      co_return false;
    }
  }
  Confirm(node, now);
  if (!node.lease.held) {
    node.lease.held = true;
    Log(node.log, EventKind::kLeaseAcquired,
        {{"target", node.target.id},
         {"version", static_cast<std::int64_t>(node.lease.version)}});
    http::Notify(node.release_possible);
  }
  co_return true;
}

awaitable<void> WaitForRenewal(Node& node, base::Duration longest) {
  co_await http::WaitUntil(node.lease_inputs_changed,
                           base::BootClock::now() + longest);
  co_await http::Sleep(node.io, kMinRenewInterval);
}

}  // namespace

awaitable<void> PublishMember(Node& node) {
  while (true) {
    if (node.target.id.empty() || !node.fleet.loaded ||
        !node.fleet.own_rows_read || IsMemberRowCurrent(node)) {
      co_await http::Wait(node.member_inputs_changed);
      continue;
    }
    const Member member = OwnMember(node);
    const RowName name = MemberRow(member.service, member.address);
    RowTransaction transaction;
    transaction.conditions.push_back({name, MemberVersion(node)});
    transaction.writes.push_back({name, EncodeMember(member)});
    auto result =
        co_await Commit(node, StorePurpose::kMember, std::move(transaction));
    if (!result) {
      co_await http::Sleep(node.io, kMemberRetryPause);
    } else if (result.value().committed) {
      ApplyFleetRow(node, {name, EncodeMember(member),
                           result.value().state.version, false});
      RebuildStaleTargetTables(node);
    } else {
      const StoredRow current = CurrentRow(result.value(), name);
      if (current.version > 0) {
        ApplyFleetRow(node, current);
      }
      RebuildStaleTargetTables(node);
      node.fleet.versions[member.address] = current.version;
    }
  }
}

awaitable<void> KeepLease(Node& node) {
  // Send times of renewals whose outcome may be unknown, by sequence.
  std::map<std::uint64_t, base::TimePoint> sent;
  while (true) {
    if (node.target.id.empty() || !node.fleet.loaded || !IsDividedByKey(node)) {
      co_await http::Wait(node.lease_inputs_changed);
      continue;
    }
    const bool renewed = co_await Renew(node, sent);
    if (!ranges::IsValid(node.lease.right, base::BootClock::now())) {
      LoseLease(node, "it could not be renewed in time");
    }
    co_await WaitForRenewal(
        node, renewed ? node.lease.options.renew_interval - kMinRenewInterval
                      : RenewRetryPause(node.lease.right.ends -
                                        base::BootClock::now()));
  }
}

}  // namespace eelgrassbridge::node
