// The member's row and the lease's row of this daemon.
#include <algorithm>

#include "eelgrassbridge/node/feeds.hpp"
#include "eelgrassbridge/node/key_demand.hpp"
#include "eelgrassbridge/node/ownership.hpp"
#include "eelgrassbridge/node/rows.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;

constexpr std::chrono::milliseconds kMemberPause{200};
/// After a failed renewal; short against the lease, so that several are tried
/// before it ends.
constexpr base::Duration kRenewPause = base::milliseconds{250};
/// Renewals caused by events are at least this far apart.
constexpr base::Duration kLeastInterval = base::milliseconds{100};

Member OwnMember(const Node& node) {
  Member member;
  member.address = node.settings.peers;
  member.data_centre = node.settings.data_centre;
  member.service = node.settings.service;
  member.target = node.target.id;
  member.born = node.target.born;
  member.slots = node.target.slots;
  member.serving = IsServing(node.target);
  return member;
}

bool MemberIsWritten(const Node& node) {
  const auto found = node.fleet.members.find(node.settings.peers);
  return found != node.fleet.members.end() && found->second == OwnMember(node);
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

/// The row as it is now, after a renewal whose condition did not hold. A
/// renewal of this process whose answer was lost counts as done.
void TakeLeaseRow(Node& node,
                  const StoredRow& row,
                  const std::map<std::uint64_t, base::TimePoint>& sent) {
  node.lease.version = row.version;
  if (row.version == 0) {
    LoseLease(node, "another daemon has ended it");
    return;
  }
  const auto record = ranges::DecodeLease(row.value);
  if (!record || record.value().process != node.process) {
    // An earlier process of this daemon on the same VM: its right has ended
    // with it, and the next renewal takes the row over.
    return;
  }
  const auto found = sent.find(record.value().sequence);
  if (found != sent.end()) {
    ranges::Extend(node.lease.right, found->second, node.lease.options);
  }
}

/// Reads the lease's row once in the life of the process.
awaitable<bool> ReadLeaseRow(Node& node) {
  const base::TimePoint sent_at = base::BootClock::now();
  auto page = co_await node.port.store.read(std::string(kLeaseTable),
                                            node.settings.service);
  if (!page) {
    NoteStore(node, false, page.error().detail, nullptr, sent_at);
    co_return false;
  }
  NoteStore(node, true, {}, &page.value().state, sent_at);
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

/// Reads the map of the service.
awaitable<bool> ReadMap(Node& node) {
  const base::TimePoint sent_at = base::BootClock::now();
  auto page = co_await node.port.store.read(std::string(kFleetTable),
                                            node.settings.service);
  if (!page) {
    NoteStore(node, false, page.error().detail, nullptr, sent_at);
    co_return false;
  }
  for (const StoredRow& row : page.value().rows) {
    TakeFleetRow(node, row);
  }
  RefreshStaleChoices(node);
  co_return true;
}

/// The row of a condition that did not hold; one that does not exist has the
/// version 0.
StoredRow PresentRow(const CommitResult& result, const RowName& name) {
  for (const StoredRow& row : result.present) {
    if (row.name == name) {
      return row;
    }
  }
  return {name, {}, 0, false};
}

/// One renewal. False: it has to be tried again soon.
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
  if (!result.value().done) {
    TakeLeaseRow(node, PresentRow(result.value(), name), sent);
    co_return false;
  }
  node.lease.version = result.value().state.version;
  if (!node.lease.held) {
    // Others may have taken ranges over while there was no lease. From now on
    // they cannot, so what is read here stays true while the lease lasts.
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
    http::Notify(node.release_wanted);
  }
  co_return true;
}

awaitable<void> WaitForRenewal(Node& node, base::Duration longest) {
  co_await http::WaitUntil(node.lease_wanted, base::BootClock::now() + longest);
  co_await http::Sleep(node.io, kLeastInterval);
}

}  // namespace

awaitable<void> PublishMember(Node& node) {
  while (true) {
    if (node.target.id.empty() || !node.fleet.known || MemberIsWritten(node)) {
      co_await http::Wait(node.member_wanted);
      continue;
    }
    const Member member = OwnMember(node);
    const RowName name = MemberRow(member.service, member.address);
    RowTransaction transaction;
    transaction.conditions.push_back({name, MemberVersion(node)});
    transaction.writes.push_back({name, EncodeMember(member)});
    auto result = co_await Commit(node, std::move(transaction));
    if (!result) {
      co_await http::Sleep(node.io, kMemberPause);
    } else if (result.value().done) {
      TakeFleetRow(node, {name, EncodeMember(member),
                          result.value().state.version, false});
      RefreshStaleChoices(node);
    } else {
      const StoredRow present = PresentRow(result.value(), name);
      if (present.version > 0) {
        TakeFleetRow(node, present);
      }
      RefreshStaleChoices(node);
      node.fleet.versions[member.address] = present.version;
    }
  }
}

awaitable<void> KeepLease(Node& node) {
  // When each renewal was sent whose outcome may still be unknown.
  std::map<std::uint64_t, base::TimePoint> sent;
  while (true) {
    if (node.target.id.empty() || !node.fleet.known || !OwnsRanges(node)) {
      co_await http::Wait(node.lease_wanted);
      continue;
    }
    const bool renewed = co_await Renew(node, sent);
    if (!ranges::IsValid(node.lease.right, base::BootClock::now())) {
      LoseLease(node, "it could not be renewed in time");
    }
    co_await WaitForRenewal(
        node, renewed ? node.lease.options.renew_interval - kLeastInterval
                      : kRenewPause);
  }
}

}  // namespace eelgrassbridge::node
