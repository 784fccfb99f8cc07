// Closes the collection of claims, and writes the first range map of an era.
#include "eelgrassbridge/node/range_recovery.hpp"

#include <algorithm>
#include <tuple>

#include "eelgrassbridge/node/lease_rows.hpp"
#include "eelgrassbridge/node/row_intake.hpp"
#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_calls.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using ranges::RecoveryPhase;

/// Time between checks whether it is this daemon's turn, and after a step that
/// failed.
constexpr base::Duration kCheckInterval = base::milliseconds{250};
/// The daemon with the lowest address acts first; the next two follow at this
/// interval, in case it is lost.
constexpr base::Duration kTurn = base::milliseconds{1000};
constexpr std::size_t kFirstRanks = 3;
/// All other daemons spread their attempts over a time that grows with their
/// number, so that few of them try at the same time.
constexpr base::Duration kOtherTurn = base::milliseconds{250};

/// Delay of this daemon's turn behind that of the first one.
base::Duration DelayOfTurn(const Node& node) {
  std::size_t rank = 0;
  std::int64_t count = 0;
  for (const auto& [address, member] : node.fleet.members) {
    if (member.service == node.settings.service) {
      ++count;
      rank += address < node.settings.peers ? 1U : 0U;
    }
  }
  if (rank < kFirstRanks) {
    return kTurn * static_cast<std::int64_t>(rank);
  }
  const base::Duration spread = kOtherTurn * count;
  return kTurn * static_cast<std::int64_t>(kFirstRanks) +
         base::Duration{static_cast<std::int64_t>(
             DaemonIdOf(node.settings.peers).value %
             static_cast<std::uint64_t>(spread.count()))};
}

bool IsOwnTurn(const Node& node) {
  const base::TimePoint now = base::BootClock::now();
  const RecoveryState& recovery = node.recovery;
  const base::Duration delay = DelayOfTurn(node);
  if (recovery.record.phase == RecoveryPhase::kClosed) {
    return now >= recovery.received_at + delay;
  }
  return ranges::LatestStoreTime(node.store.clock, now) >=
         ranges::EndOfClaims(recovery.record, node.lease.options) + delay;
}

/// Writes the recovery row under its version. Returns whether this daemon wrote
/// it.
awaitable<bool> WriteRecovery(Node& node, ranges::RecoveryRecord record) {
  const RowName name = RecoveryRow(node.settings.service, node.store.era);
  const std::string value = ranges::EncodeRecovery(record);
  RowTransaction transaction;
  transaction.conditions.push_back({name, node.recovery.version});
  transaction.writes.push_back({name, value});
  auto result =
      co_await Commit(node, StorePurpose::kRecovery, std::move(transaction));
  if (!result) {
    co_return false;
  }
  if (result.value().committed) {
    ApplyFleetRow(node, {name, value, result.value().state.version, false});
    co_return true;
  }
  for (const StoredRow& row : result.value().current_rows) {
    ApplyFleetRow(node, row);
  }
  co_return false;
}

/// Ends the collection of claims, unless rights under leases of a former era
/// may still be valid by the store's clock.
awaitable<bool> CloseRecovery(Node& node) {
  const auto rows = co_await ReadLeases(node);
  if (!rows || node.recovery.version == 0 ||
      rows.value().read_at <
          ranges::EndOfClaims(node.recovery.record, node.lease.options)) {
    co_return false;
  }
  ranges::RecoveryRecord record = node.recovery.record;
  record.phase = RecoveryPhase::kClosed;
  co_return co_await WriteRecovery(node, record);
}

/// Removes lease rows that have expired, under their versions, so that a late
/// renewal fails and its daemon knows that it has lost its claims. Returns
/// whether there were any.
awaitable<bool> RemoveExpired(Node& node, const LeaseRows& rows) {
  RowTransaction transaction;
  for (const auto& [daemon, version] : rows.versions) {
    if (MayBeLive(rows, daemon) ||
        transaction.removals.size() >= kMaxConditionalRemovals) {
      continue;
    }
    const RowName name =
        LeaseRow(node.settings.service, node.store.era, daemon);
    transaction.conditions.push_back({name, version});
    transaction.removals.push_back(name);
  }
  if (transaction.removals.empty()) {
    co_return false;
  }
  // The rows are read again whatever the result is.
  std::ignore =
      co_await Commit(node, StorePurpose::kRecovery, std::move(transaction));
  co_return true;
}

/// Removes the leases, maps and recovery rows of former eras, which nobody
/// reads any more. Rows that remain after a failure do no harm.
awaitable<void> RemoveFormerRows(Node& node, std::vector<RowName> names) {
  const std::string service = node.settings.service;
  const std::uint64_t era = node.store.era;
  const auto page = co_await ReadPartition(node, StorePurpose::kRecovery,
                                           std::string(kFleetTable), service);
  if (!page) {
    co_return;
  }
  for (const StoredRow& row : page.value().rows) {
    const bool of_an_era = row.name.key.starts_with(kRangeMapPrefix) ||
                           row.name.key.starts_with(kRecoveryPrefix);
    if (of_an_era && row.name != RangeMapRow(service, era) &&
        row.name != RecoveryRow(service, era)) {
      names.push_back(row.name);
    }
  }
  while (!names.empty() && node.store.era == era) {
    RowTransaction transaction;
    const std::size_t count = std::min(names.size(), kMaxConditionalRemovals);
    transaction.removals.assign(
        names.end() - static_cast<std::ptrdiff_t>(count), names.end());
    names.resize(names.size() - count);
    const auto result =
        co_await Commit(node, StorePurpose::kRecovery, std::move(transaction));
    if (!result) {
      co_return;
    }
  }
}

/// Writes the first map of the era. Returns whether this daemon wrote it.
awaitable<bool> WriteFirstMap(Node& node) {
  auto rows = co_await ReadLeases(node);
  if (!rows || HasOwnMap(node)) {
    co_return false;
  }
  const bool expired = co_await RemoveExpired(node, rows.value());
  if (expired || !rows.value().unknown.empty()) {
    co_return false;
  }
  const RowName name = RangeMapRow(node.settings.service, node.store.era);
  const auto map = ranges::RecoverMap(rows.value().live, node.store.era);
  if (!map) {
    co_return false;
  }
  const std::string value = ranges::EncodeMap(*map);
  RowTransaction transaction;
  transaction.conditions.push_back({name, 0});
  transaction.writes.push_back({name, value});
  const auto result =
      co_await Commit(node, StorePurpose::kRecovery, std::move(transaction));
  const bool written = result && result.value().committed;
  Log(node.log, EventKind::kRangesPlanned,
      {{"written", std::int64_t{written}},
       {"live", static_cast<std::int64_t>(rows.value().live.size())},
       {"entries", static_cast<std::int64_t>(map->entries.size())}});
  if (written) {
    ApplyFleetRow(node, {name, value, result.value().state.version, false});
    co_await RemoveFormerRows(node, std::move(rows.value().former));
  }
  co_return written;
}

}  // namespace

awaitable<void> BeginRecovery(Node& node, bool first_start) {
  ranges::RecoveryRecord record;
  record.since =
      ranges::LatestStoreTime(node.store.clock, base::BootClock::now());
  record.phase =
      first_start ? RecoveryPhase::kClosed : RecoveryPhase::kCollecting;
  co_await WriteRecovery(node, record);
}

awaitable<base::Duration> RecoverRanges(Node& node) {
  if (node.recovery.version == 0 || node.lease.version == 0 ||
      !node.store.clock.known || !IsOwnTurn(node)) {
    co_return kCheckInterval;
  }
  const std::uint64_t era = node.store.era;
  if (node.recovery.record.phase == RecoveryPhase::kCollecting) {
    const bool closed = co_await CloseRecovery(node);
    if (!closed) {
      co_return kCheckInterval;
    }
  }
  if (node.store.era == era) {
    co_await WriteFirstMap(node);
  }
  co_return kCheckInterval;
}

}  // namespace eelgrassbridge::node
