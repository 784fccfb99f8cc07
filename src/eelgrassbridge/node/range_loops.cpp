// Plans the range map and hands released ranges over to their next owners.
#include <algorithm>
#include <random>
#include <set>
#include <span>

#include "eelgrassbridge/node/lease_rows.hpp"
#include "eelgrassbridge/node/ownership.hpp"
#include "eelgrassbridge/node/range_recovery.hpp"
#include "eelgrassbridge/node/row_intake.hpp"
#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_calls.hpp"
#include "eelgrassbridge/ranges/map_size.hpp"
#include "eelgrassbridge/ranges/recent_moves.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;

/// Delay of the first plan, so that the other daemons can register first and
/// the initial division needs no moves.
constexpr base::Duration kFirstPlanDelay = base::milliseconds{2500};
/// Planning interval of the daemon with rank 0. The next two daemons plan at
/// two and three times the interval, so that the loss of a planner is noticed
/// without a plan by every daemon.
constexpr base::Duration kPlanInterval = base::milliseconds{1000};
/// Planning interval of the daemon with rank 0 while an owner is overloaded and
/// the limits are adaptive. A move takes about a second, and the plan knows the
/// demand for keys that have just moved, so it need not wait for its effect.
constexpr base::Duration kOverloadPlanInterval = base::milliseconds{500};
constexpr std::size_t kPrimaryPlanners = 3;
/// Daemons of lower rank only cover the loss of all planners. Their interval
/// grows with the number of daemons, so that together they plan about once in
/// this time.
constexpr base::Duration kBackupPlanInterval = base::milliseconds{2000};
/// Minimum interval between plans that move keys to balance load, so that the
/// effect of a move is visible before the next one.
constexpr base::Duration kBalanceInterval = base::milliseconds{3000};
constexpr base::Duration kReleaseCheckInterval = base::milliseconds{500};
/// Pause after a change of the map that failed because another daemon has
/// changed it.
constexpr base::Duration kConflictPause = base::milliseconds{100};
/// Shortest and longest pause after the adoption of a restarted target failed
/// so. After many targets have restarted at the same time, the next plan adopts
/// them all, and further attempts would only make it fail.
constexpr base::Duration kAdoptionPause = base::milliseconds{1000};
constexpr base::Duration kMaxAdoptionPause = base::milliseconds{2000};

/// Rank of this daemon, by address, among those with a live lease.
std::size_t RankOf(const Node& node, const LeaseRows& rows) {
  return static_cast<std::size_t>(
      std::ranges::count_if(rows.live, [&node](const auto& record) {
        return record.owner.daemon < node.settings.peers;
      }));
}

/// Addresses of owners whose leases have ended.
std::vector<std::string> LostOwners(const ranges::RangeMap& map,
                                    const LeaseRows& rows) {
  std::set<std::string> lost;
  for (const ranges::RangeEntry& entry : map.entries) {
    if (!MayBeLive(rows, entry.owner.daemon)) {
      lost.insert(entry.owner.daemon);
    }
  }
  return {lost.begin(), lost.end()};
}

/// Adds conditions and removals for the lease rows of lost owners, whose ranges
/// the plan reassigns: the rows must be unchanged since they were read.
void AddLostOwners(std::span<const std::string> lost,
                   const LeaseRows& rows,
                   const Node& node,
                   RowTransaction& transaction) {
  for (const std::string& daemon : lost) {
    const RowName name =
        LeaseRow(node.settings.service, node.store.era, daemon);
    const auto found = rows.versions.find(daemon);
    const std::uint64_t version =
        found == rows.versions.end() ? 0 : found->second;
    transaction.conditions.push_back({name, version});
    if (version > 0) {
      transaction.removals.push_back(name);
    }
  }
}

/// Writes a range map on condition that it has not changed since it was read.
/// Returns whether it was written.
awaitable<bool> WriteMap(Node& node,
                         const ranges::RangeMap& map,
                         RowTransaction transaction) {
  const std::string service = node.settings.service;
  const RowName name = RangeMapRow(service, node.store.era);
  transaction.conditions.push_back({name, node.ranges[service].version});
  transaction.writes.push_back({name, ranges::EncodeMap(map)});
  auto result =
      co_await Commit(node, StorePurpose::kRangeMap, std::move(transaction));
  if (!result) {
    co_return false;
  }
  if (result.value().committed) {
    ApplyFleetRow(node, {name, ranges::EncodeMap(map),
                         result.value().state.version, false});
    co_return true;
  }
  for (const StoredRow& row : result.value().current_rows) {
    if (row.name == name && row.version > 0) {
      ApplyFleetRow(node, row);
    }
  }
  co_return false;
}

std::int64_t CountPendingMoves(const ranges::RangeMap& map) {
  return std::ranges::count_if(map.entries,
                               [](const ranges::RangeEntry& entry) {
                                 return !entry.next_daemon.empty();
                               });
}

/// Time until the next plan of a daemon, unless owners are overloaded.
base::Duration PlanPause(std::size_t rank, std::size_t live) {
  return rank < kPrimaryPlanners
             ? kPlanInterval * static_cast<std::int64_t>(rank + 1)
             : kBackupPlanInterval * static_cast<std::int64_t>(live);
}

/// Plans once. Returns the time until the next plan.
/// @param recent Ranges that this daemon has seen move.
awaitable<base::Duration> PlanOnce(Node& node, ranges::RecentMoves& recent) {
  auto read = co_await ReadLeases(node);
  if (!read) {
    co_return kPlanInterval;
  }
  const LeaseRows rows = std::move(read.value());
  const std::size_t rank = RankOf(node, rows);
  const base::TimePoint now = base::BootClock::now();
  const ranges::RangeMap before = node.ranges[node.settings.service].map;
  const auto all_lost = LostOwners(before, rows);
  const std::span<const std::string> lost(
      all_lost.data(), std::min(all_lost.size(), kMaxConditionalRemovals));
  std::vector<std::string> kept = rows.unknown;
  kept.insert(kept.end(),
              all_lost.begin() + static_cast<std::ptrdiff_t>(lost.size()),
              all_lost.end());
  ranges::PlanningInput input;
  input.live = rows.live;
  input.kept = kept;
  input.balance = rank == 0 && now - node.lease.balanced_at >= kBalanceInterval;
  input.relieve = rank == 0;
  ranges::RecordMoves(recent, before, now);
  const std::vector<ranges::KeyRange> settling =
      ranges::SettlingKeys(recent, now);
  const ranges::PlanningOptions options = ranges::MakePlanningOptions(
      node.routes && catalogue::NeedsAdaptiveLimits(*node.routes));
  if (options.adaptive) {
    input.settling = settling;
  }
  const auto planned = ranges::Plan(before, input, options);
  if (planned) {
    RowTransaction transaction;
    AddLostOwners(lost, rows, node, transaction);
    if (input.balance) {
      node.lease.balanced_at = now;
    }
    const bool written = co_await WriteMap(node, *planned, transaction);
    if (written) {
      ranges::RecordMoves(recent, *planned, now);
    }
    Log(node.log, EventKind::kRangesPlanned,
        {{"written", std::int64_t{written}},
         {"live", static_cast<std::int64_t>(rows.live.size())},
         {"entries", static_cast<std::int64_t>(planned->entries.size())},
         {"moves", CountPendingMoves(*planned)}});
  }
  const bool overloaded =
      rank == 0 && ranges::HasOverloadedOwner(before, input, options);
  co_return overloaded ? kOverloadPlanInterval
                       : PlanPause(rank, rows.live.size());
}

/// Assigns the ranges of a restarted target to its new instance. Returns
/// whether the map changed.
bool AdoptRestartedTarget(const Node& node, ranges::RangeMap& map) {
  return ranges::ReassignAfterRestart(
      map, OwnerIdOf(node.target, node.settings.peers));
}

/// Assigns ranges that are to move to their next owner once the target can no
/// longer hold them. Returns whether the map changed.
bool ReassignReleased(Node& node, ranges::RangeMap& map) {
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

bool HasPendingMoves(const Node& node) {
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
  ranges::RecentMoves recent;
  while (true) {
    if (!node.fleet.loaded || !IsDividedByKey(node)) {
      co_await http::Sleep(node.io, kPlanInterval);
      continue;
    }
    if (!HasOwnMap(node)) {
      const base::Duration wait = co_await RecoverRanges(node);
      co_await http::Sleep(node.io, wait);
      continue;
    }
    if (!node.lease.held) {
      co_await http::Sleep(node.io, kPlanInterval);
      continue;
    }
    const base::Duration pause = co_await PlanOnce(node, recent);
    co_await http::Sleep(node.io, pause);
  }
}

awaitable<void> HandOverRanges(Node& node) {
  while (true) {
    if (HasPendingMoves(node)) {
      co_await http::WaitUntil(node.release_possible,
                               base::BootClock::now() + kReleaseCheckInterval);
    } else {
      co_await http::Wait(node.release_possible);
    }
    if (!IsDividedByKey(node) || node.target.id.empty() || !node.lease.held ||
        !HasOwnMap(node)) {
      continue;
    }
    ranges::RangeMap map = node.ranges[node.settings.service].map;
    const bool adopted = AdoptRestartedTarget(node, map);
    const bool released = ReassignReleased(node, map);
    if (!adopted && !released) {
      continue;
    }
    ranges::LimitEncodedSize(map);
    const bool written = co_await WriteMap(node, map, {});
    Log(node.log, EventKind::kRangesReleased,
        {{"new_life", std::int64_t{adopted}},
         {"released", std::int64_t{released}},
         {"written", std::int64_t{written}}});
    if (!written) {
      std::uniform_int_distribution<std::int64_t> pause(
          kAdoptionPause.count(), kMaxAdoptionPause.count());
      co_await http::Sleep(node.io, adopted ? base::Duration{pause(node.random)}
                                            : kConflictPause);
      http::Notify(node.release_possible);
    }
  }
}

}  // namespace eelgrassbridge::node
