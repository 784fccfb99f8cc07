// Plans of the map, and the handing over of released ranges.
#include <algorithm>

#include "eelgrassbridge/node/feeds.hpp"
#include "eelgrassbridge/node/ownership.hpp"
#include "eelgrassbridge/node/rows.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;

/// At the first start the other daemons have this long to announce themselves,
/// so that the first division needs no moves.
constexpr base::Duration kFirstPlanDelay = base::milliseconds{2500};
/// The first daemon of the service plans this often; the second one at twice
/// and the third at three times the interval, so that the loss of a planner is
/// noticed without a plan by each daemon.
constexpr base::Duration kPlanInterval = base::milliseconds{1000};
constexpr std::size_t kPlanners = 3;
/// Those behind the first ones look only for the loss of all of them; each one
/// more seldom the more there are, so that together they look once in this
/// time.
constexpr base::Duration kSparePlanInterval = base::milliseconds{2000};
/// Keys move for load at most this often, so that the effect of a move is
/// seen before the next one.
constexpr base::Duration kBalanceInterval = base::milliseconds{3000};
/// Added to the end of a lease before its ranges are taken, for the drift
/// between the clocks.
constexpr base::Duration kExpiryMargin = base::milliseconds{100};
constexpr base::Duration kReleaseCheck = base::milliseconds{500};

struct LeaseRows {
  std::vector<ranges::LeaseRecord> live;
  /// Versions of all rows, by daemon.
  std::map<std::string, std::uint64_t, std::less<>> versions;
};

awaitable<base::Result<LeaseRows>> ReadLeases(Node& node) {
  const base::TimePoint sent_at = base::BootClock::now();
  auto page = co_await node.port.store.read(std::string(kLeaseTable),
                                            node.settings.service);
  if (!page) {
    NoteStore(node, false, page.error().detail, nullptr, sent_at);
    co_return base::Fail(page.error().kind, page.error().detail);
  }
  const StoreState& state = page.value().state;
  NoteStore(node, true, {}, &state, sent_at);
  LeaseRows rows;
  for (const StoredRow& row : page.value().rows) {
    rows.versions[row.name.key] = row.version;
    auto record = ranges::DecodeLease(row.value);
    if (!record) {
      Log(node.log, EventKind::kRowRejected,
          {{"row", row.name.key}, {"cause", record.error().detail}});
      continue;
    }
    if (state.time < record.value().expires + kExpiryMargin) {
      rows.live.push_back(std::move(record.value()));
    }
  }
  co_return rows;
}

/// Position of this daemon among those with a live lease.
std::size_t RankOf(const Node& node, const LeaseRows& rows) {
  return static_cast<std::size_t>(
      std::ranges::count_if(rows.live, [&node](const auto& record) {
        return record.owner.daemon < node.settings.peers;
      }));
}

/// Daemons whose ranges the plan gives to others although their lease was not
/// renewed: their rows must be as they were read, and are removed.
void AddLostOwners(const ranges::RangeMap& before,
                   const LeaseRows& rows,
                   std::string_view service,
                   RowTransaction& transaction) {
  std::set<std::string> lost;
  for (const ranges::RangeEntry& entry : before.entries) {
    const bool live =
        std::ranges::any_of(rows.live, [&entry](const auto& record) {
          return record.owner.daemon == entry.owner.daemon;
        });
    if (!live) {
      lost.insert(entry.owner.daemon);
    }
  }
  for (const std::string& daemon : lost) {
    const RowName name = LeaseRow(service, daemon);
    const auto found = rows.versions.find(daemon);
    const std::uint64_t version =
        found == rows.versions.end() ? 0 : found->second;
    transaction.conditions.push_back({name, version});
    if (version > 0) {
      transaction.removals.push_back(name);
    }
  }
}

/// Writes a map under the condition that nobody has changed it since.
awaitable<bool> WriteMap(Node& node,
                         const ranges::RangeMap& map,
                         RowTransaction transaction) {
  const std::string service = node.settings.service;
  const RowName name = MapRow(service);
  transaction.conditions.push_back({name, node.ranges[service].version});
  transaction.writes.push_back({name, ranges::EncodeMap(map)});
  auto result = co_await Commit(node, std::move(transaction));
  if (!result) {
    co_return false;
  }
  if (result.value().done) {
    TakeFleetRow(node, {name, ranges::EncodeMap(map),
                        result.value().state.version, false});
    co_return true;
  }
  for (const StoredRow& row : result.value().present) {
    if (row.name == name && row.version > 0) {
      TakeFleetRow(node, row);
    }
  }
  co_return false;
}

/// One plan. Returns the time until the next one.
awaitable<base::Duration> PlanOnce(Node& node) {
  auto read = co_await ReadLeases(node);
  if (!read) {
    co_return kPlanInterval;
  }
  const LeaseRows rows = std::move(read.value());
  const std::size_t rank = RankOf(node, rows);
  const base::TimePoint now = base::BootClock::now();
  ranges::PlanningInput input;
  input.live = rows.live;
  input.balance = rank == 0 && now - node.lease.balanced_at >= kBalanceInterval;
  const ranges::RangeMap before = node.ranges[node.settings.service].map;
  const auto planned = ranges::Plan(before, input);
  if (planned) {
    RowTransaction transaction;
    AddLostOwners(before, rows, node.settings.service, transaction);
    if (input.balance) {
      node.lease.balanced_at = now;
    }
    const bool written = co_await WriteMap(node, *planned, transaction);
    Log(node.log, EventKind::kRangesPlanned,
        {{"written", std::int64_t{written}},
         {"live", static_cast<std::int64_t>(rows.live.size())},
         {"entries", static_cast<std::int64_t>(planned->entries.size())}});
  }
  co_return rank < kPlanners
      ? kPlanInterval* static_cast<std::int64_t>(rank + 1)
      : kSparePlanInterval* static_cast<std::int64_t>(rows.live.size());
}

/// The target has started again: its ranges go to the new life.
bool AdoptOwnLife(const Node& node, ranges::RangeMap& map) {
  return ranges::ReassignAfterRestart(map, OwnerIdOf(node.target, node.settings.peers));
}

/// Ranges that are to move and that the target cannot hold any more go to
/// their next owner.
bool ReleaseMoved(Node& node, ranges::RangeMap& map) {
  bool changed = false;
  const base::TimePoint now = base::BootClock::now();
  const ranges::OwnerId self = OwnerIdOf(node.target, node.settings.peers);
  for (ranges::RangeEntry& entry : map.entries) {
    if (entry.owner != self || entry.next_daemon.empty() ||
        !IsReleased(node.target, entry.keys, now)) {
      continue;
    }
    const auto next = node.fleet.members.find(entry.next_daemon);
    if (next == node.fleet.members.end()) {
      entry.next_daemon.clear();
    } else {
      const ranges::OwnerId owner{next->first, next->second.target,
                                  next->second.born};
      ranges::Reassign(map, entry, owner, HandoverOf(node.target, entry.keys));
    }
    changed = true;
  }
  return changed;
}

bool HasMoves(const Node& node) {
  const auto found = node.ranges.find(node.settings.service);
  return found != node.ranges.end() &&
         std::ranges::any_of(found->second.map.entries,
                             [&node](const ranges::RangeEntry& entry) {
                               return entry.owner.daemon ==
                                          node.settings.peers &&
                                      !entry.next_daemon.empty();
                             });
}

}  // namespace

awaitable<void> PlanRanges(Node& node) {
  co_await http::Sleep(node.io, kFirstPlanDelay);
  while (true) {
    if (!node.lease.held || !node.fleet.known || !OwnsRanges(node)) {
      co_await http::Sleep(node.io, kPlanInterval);
      continue;
    }
    const base::Duration pause = co_await PlanOnce(node);
    co_await http::Sleep(node.io, pause);
  }
}

awaitable<void> HandOverRanges(Node& node) {
  while (true) {
    if (HasMoves(node)) {
      co_await http::WaitUntil(node.release_wanted,
                               base::BootClock::now() + kReleaseCheck);
    } else {
      co_await http::Wait(node.release_wanted);
    }
    if (!OwnsRanges(node) || node.target.id.empty() || !node.lease.held) {
      continue;
    }
    ranges::RangeMap map = node.ranges[node.settings.service].map;
    const bool adopted = AdoptOwnLife(node, map);
    const bool released = ReleaseMoved(node, map);
    if (!adopted && !released) {
      continue;
    }
    ranges::MergeAdjacent(map);
    const bool written = co_await WriteMap(node, map, {});
    Log(node.log, EventKind::kRangesReleased,
        {{"new_life", std::int64_t{adopted}},
         {"released", std::int64_t{released}},
         {"written", std::int64_t{written}}});
    if (!written) {
      co_await http::Sleep(node.io, kReleaseCheck / 5);
      http::Notify(node.release_wanted);
    }
  }
}

}  // namespace eelgrassbridge::node
