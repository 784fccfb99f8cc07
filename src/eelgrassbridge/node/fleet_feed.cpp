// Reads the rows of each service, then follows the changes of the whole table:
// a relay by the feed of the store, other daemons by polls of their relay.
#include "eelgrassbridge/node/fleet_feed.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "eelgrassbridge/node/crash_watch.hpp"
#include "eelgrassbridge/node/fleet_relay.hpp"
#include "eelgrassbridge/node/row_intake.hpp"
#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_calls.hpp"
#include "eelgrassbridge/node/store_era.hpp"
#include "eelgrassbridge/node/table_feed.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

/// The poll for the fleet's rows may wait longer, because an outage detected by
/// the poll for the operator's rows ends it as well.
constexpr std::chrono::milliseconds kFleetPollTime{20000};
/// Pause before the next poll of the store after changes were received, so that
/// changes in quick succession, for example while keys move, are fetched in one
/// call; every call has a cost.
constexpr base::Duration kFleetPollPause = base::milliseconds{300};

/// Partitions of the table that are read before its changes are followed: one
/// for each service, and that of the quota coordinator if accounts have limits.
std::vector<std::string> KnownPartitions(const Node& node) {
  std::vector<std::string> services = {node.settings.service};
  if (node.routes) {
    for (const auto& [name, service] : node.routes->services) {
      if (name != node.settings.service) {
        services.push_back(name);
      }
    }
  }
  if (!node.quota.limits.empty()) {
    services.emplace_back(kQuotaPartition);
  }
  return services;
}

awaitable<base::Result<std::uint64_t>> ReadServiceRows(
    Node& node,
    const std::string& service) {
  auto page = co_await ReadPartition(node, StorePurpose::kFleetRows,
                                     std::string(kFleetTable), service);
  if (!page) {
    co_return base::Fail(page.error().kind, page.error().detail);
  }
  std::set<std::string> present;
  for (const StoredRow& row : page.value().rows) {
    ApplyFleetRow(node, row);
    present.insert(row.name.key);
  }
  // Members whose rows were removed in a part of the history that this daemon
  // has not seen. A row that it has not seen in this era of the store may only
  // have been lost in a restore; its daemon writes it again.
  std::vector<StoredRow> removed;
  for (const auto& [address, member] : node.fleet.members) {
    RowName name = MemberRow(service, address);
    if (member.service == service && node.fleet.versions.contains(address) &&
        !present.contains(name.key)) {
      removed.push_back(
          {std::move(name), {}, page.value().state.version, true});
    }
  }
  for (const StoredRow& row : removed) {
    ApplyFleetRow(node, row);
  }
  RebuildStaleTargetTables(node);
  if (service == node.settings.service) {
    node.fleet.own_rows_read = true;
    RecordOwnRowsRead(node);
    http::Notify(node.member_inputs_changed);
  }
  co_return page.value().state.version;
}

/// Reads the rows of all services. Returns the version from which to follow
/// them.
awaitable<base::Result<std::uint64_t>> ReadFleetRows(
    Node& node,
    std::set<std::string>& services_read) {
  std::uint64_t from = UINT64_MAX;
  const std::uint64_t era = node.store.era;
  for (const std::string& service : KnownPartitions(node)) {
    auto version = co_await ReadServiceRows(node, service);
    if (!version) {
      co_return base::Fail(version.error().kind, version.error().detail);
    }
    if (node.store.era != era) {
      co_return RestoredMeanwhile(ErrorKind::kStoreUnavailable);
    }
    services_read.insert(service);
    from = std::min(from, version.value());
  }
  node.fleet.loaded = true;
  http::Notify(node.member_inputs_changed);
  http::Notify(node.lease_inputs_changed);
  co_return from;
}

/// Reads the rows of services that were added by a later version of the routes;
/// they may be older than the feed's start position.
awaitable<void> ReadNewServices(Node& node,
                                std::set<std::string>& services_read) {
  for (const std::string& service : KnownPartitions(node)) {
    if (!services_read.contains(service)) {
      auto version = co_await ReadServiceRows(node, service);
      if (version) {
        services_read.insert(service);
      }
    }
  }
}

/// Polls the store, and keeps what it returns for other daemons.
awaitable<base::Result<RowPage>> PollStore(Node& node,
                                           FeedPosition position,
                                           Backoff& backoff) {
  auto page = co_await Poll(node, std::move(position), backoff);
  node.fleet_copy.read_failing = !page;
  if (!page) {
    // Followers choose another relay.
    http::Notify(node.fleet_copy.changed);
  } else {
    node.fleet_copy.store_read_at = base::BootClock::now();
    KeepFleetPage(node, page.value());
  }
  co_return page;
}

/// Returns the next changes of the fleet's rows: a relay polls the store, other
/// daemons poll their relay.
awaitable<base::Result<RowPage>> NextFleetPage(Node& node,
                                               FeedPosition position,
                                               Backoff& backoff) {
  const std::uint64_t era = node.store.era;
  const std::string relay = FleetRelayOf(node);
  if (!relay.empty() && position.wait.count() > 0) {
    if (!IsUnreportedReadDue(node)) {
      auto page = co_await PollRelay(node, relay, position.after);
      if (page && node.store.era == era) {
        KeepFleetPage(node, page.value());
        co_return page;
      }
    }
    // The store tells what the relay did not, and the next poll is one of a
    // relay again.
    position.wait = std::chrono::milliseconds{0};
  }
  if (position.wait.count() > 0) {
    co_await http::Sleep(node.io, node.fleet_copy.received_at +
                                      kFleetPollPause - base::BootClock::now());
  }
  if (node.store.era != era || IsEraOutdated(node)) {
    // The position is one of a former era.
    co_return RestoredMeanwhile(ErrorKind::kStoreUnavailable);
  }
  co_return co_await PollStore(node, std::move(position), backoff);
}

}  // namespace

awaitable<void> FollowFleet(Node& node) {
  Backoff backoff;
  while (!node.routes) {
    // The routes name the services whose rows have to be read.
    co_await http::Wait(node.lease_inputs_changed);
  }
  while (true) {
    std::set<std::string> services_read;
    const TableFeed feed{.next_page = NextFleetPage,
                         .apply = ApplyFleetRow,
                         .after_page = [&node, &services_read] {
                           return ReadNewServices(node, services_read);
                         }};
    auto start = co_await ReadFleetRows(node, services_read);
    if (!start) {
      co_await Pause(node, backoff);
      continue;
    }
    backoff = Backoff{};
    RestartCopy(node.fleet_copy.table, start.value());
    node.fleet_copy.store_read_at = base::BootClock::now();
    FeedPosition position{std::string(kFleetTable), start.value(),
                          kFleetPollTime};
    co_await FollowTable(node, std::move(position), backoff, feed);
  }
}

}  // namespace eelgrassbridge::node
