// Writes this daemon's member row and lease row.
#include <algorithm>

#include "eelgrassbridge/node/feeds.hpp"
#include "eelgrassbridge/node/key_demand.hpp"
#include "eelgrassbridge/node/ownership.hpp"
#include "eelgrassbridge/node/rows.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;

constexpr std::chrono::milliseconds kMemberRetryPause{200};
/// Pause after a failed renewal; short compared with the lease, so that several
/// attempts fit before it expires.
constexpr base::Duration kRenewRetryPause = base::milliseconds{250};
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

ranges::LeaseRecord NextRecord(Node& node, base::TimePoint now) {
  ranges::LeaseRecord record;
  record.owner = OwnerIdOf(node.target, node.settings.peers);
  record.process = node.process;
  record.sequence = ++node.lease.sequence;
  record.expires = ranges::LatestStoreTime(node.store.clock, now) +
                   node.lease.options.length;
  record.accepting = TargetTakesRequests(node);
  record.load = ComputeLoad(node.demand, node.target.slots, now);
  return record;
}

void LoseLease(Node& node, std::string_view cause) {
  node.lease.right = ranges::LeaseRight{};
  if (node.lease.held) {
    node.lease.held = false;
    Log(node.log, EventKind::kLeaseLost, {{"cause", cause}});
  }
}

/// Processes the current row after a renewal whose condition did not hold. If
/// this process wrote the row in a renewal whose answer was lost, that renewal
/// counts as successful.
/// @param sent Send time of each renewal with an unknown outcome, by sequence.
void ApplyLeaseRow(Node& node,
                   const StoredRow& row,
                   const std::map<std::uint64_t, base::TimePoint>& sent) {
  node.lease.version = row.version;
  if (row.version == 0) {
    LoseLease(node, "another daemon removed the lease row");
    return;
  }
  const auto record = ranges::DecodeLease(row.value);
  if (!record || record.value().process != node.process) {
    // Written by an earlier process of this daemon on the same VM. Its lease
    // ended with that process, and the next renewal overwrites the row.
    return;
  }
  const auto found = sent.find(record.value().sequence);
  if (found != sent.end()) {
    ranges::Extend(node.lease.right, found->second, node.lease.options);
  }
}

/// Reads the version of the lease row, once in each era of the store.
awaitable<bool> ReadLeaseRow(Node& node) {
  auto page = co_await ReadPartition(node, std::string(kLeaseTable),
                                     node.settings.service);
  if (!page) {
    co_return false;
  }
  const RowName own = LeaseRow(node.settings.service, node.settings.peers);
  node.lease.version = 0;
  for (const StoredRow& row : page.value().rows) {
    if (row.name == own) {
      node.lease.version = row.version;
    }
  }
  node.lease.version_known = true;
  co_return true;
}

/// Reads the rows of the service, including its range map.
awaitable<bool> ReadMap(Node& node) {
  auto page = co_await ReadPartition(node, std::string(kFleetTable),
                                     node.settings.service);
  if (!page) {
    co_return false;
  }
  for (const StoredRow& row : page.value().rows) {
    ApplyFleetRow(node, row);
  }
  RebuildStaleTargetTables(node);
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

/// Renews the lease once. Returns false if the renewal has to be retried soon.
awaitable<bool> Renew(Node& node,
                      std::map<std::uint64_t, base::TimePoint>& sent) {
  if (!node.lease.version_known || !node.store.clock.known) {
    const bool read = co_await ReadLeaseRow(node);
    if (!read) {
      co_return false;
    }
  }
  const base::TimePoint now = base::BootClock::now();
  const ranges::LeaseRecord record = NextRecord(node, now);
  const RowName name = LeaseRow(node.settings.service, node.settings.peers);
  sent[record.sequence] = now;
  RowTransaction transaction;
  transaction.conditions.push_back({name, node.lease.version});
  transaction.writes.push_back({name, ranges::EncodeLease(record)});
  auto result = co_await Commit(node, std::move(transaction));
  if (!result) {
    co_return false;
  }
  std::erase_if(sent, [&record](const auto& entry) {
    return entry.first < record.sequence;
  });
  if (!result.value().committed) {
    ApplyLeaseRow(node, CurrentRow(result.value(), name), sent);
    co_return false;
  }
  node.lease.version = result.value().state.version;
  if (!node.lease.held) {
    // Other daemons may have taken over ranges while there was no lease. They
    // cannot do so from now on, so the map read here stays valid during the
    // lease.
    const bool read = co_await ReadMap(node);
    if (!read) {
      co_return false;
    }
  }
  ranges::Extend(node.lease.right, now, node.lease.options);
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
    auto result = co_await Commit(node, std::move(transaction));
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
                      : kRenewRetryPause);
  }
}

}  // namespace eelgrassbridge::node
