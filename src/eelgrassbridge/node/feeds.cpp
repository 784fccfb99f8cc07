// Reads tables of the store and follows their changes by long polls.
#include "eelgrassbridge/node/feeds.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "eelgrassbridge/node/operator_relay.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_era.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

/// Maximum wait of a poll for the operator's changes. A poll that the store may
/// have lost is abandoned sooner: when another call fails, or when another
/// daemon reports a later version.
constexpr std::chrono::milliseconds kOperatorPollTime{8000};
/// After a failed call, daemons that are no relays read the operator's rows
/// this often for this time: announcements may be missed while the store is
/// disturbed or after it was restored, and a change has to be in force
/// within 2.5 s.
constexpr std::chrono::milliseconds kDoubtfulReadInterval{1500};
constexpr base::Duration kDoubtfulTime = base::seconds{15};
/// Time allowed for a poll to return a change that another daemon has already
/// reported, and age from which a poll is abandoned when another call fails;
/// slightly more than the round trip between regions. Doubled for each poll
/// that was abandoned, up to the maximum: while the link to the store is full,
/// answers are only late, and to ask again keeps it full.
constexpr base::Duration kInitialGrace = base::milliseconds{400};
constexpr base::Duration kMaxGrace = base::milliseconds{3200};
/// The poll for the fleet's rows may wait longer, because an outage detected by
/// the poll for the operator's rows ends it as well.
constexpr std::chrono::milliseconds kFleetPollTime{20000};
/// Pause after the first failed call; doubled for each further one up to the
/// maximum.
constexpr std::chrono::milliseconds kInitialPause{100};
constexpr std::chrono::milliseconds kMaxPause{800};
/// Pause between polls, so that changes in quick succession, for example while
/// keys move, are fetched in one call; every call of every daemon has a cost.
constexpr std::chrono::milliseconds kFleetPollPause{300};

struct Backoff {
  std::chrono::milliseconds next = kInitialPause;
  /// Minimum age of a poll that is abandoned.
  base::Duration grace = kInitialGrace;
};

awaitable<void> Pause(Node& node, Backoff& backoff) {
  std::uniform_real_distribution<double> jitter(0.5, 1);
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
      backoff.next * jitter(node.random));
  backoff.next = std::min(backoff.next * 2, kMaxPause);
  co_await http::Sleep(node.io, pause);
}

void RecordReadResult(Node& node,
                      const base::Result<RowPage>& answer,
                      base::TimePoint sent_at) {
  if (answer) {
    RecordStoreAnswer(node, &answer.value().state, sent_at);
  } else {
    RecordStoreFailure(node, answer.error());
  }
}

auto RestoredMeanwhile(ErrorKind kind) {
  return base::Fail(kind, "the store was restored from an older copy");
}

struct PendingPoll {
  std::optional<base::Result<RowPage>> page;
  std::shared_ptr<http::CallProgress> progress =
      std::make_shared<http::CallProgress>();
};

awaitable<void> RunPoll(Node& node,
                        FeedPosition position,
                        std::shared_ptr<PendingPoll> pending) {
  pending->page.emplace(
      co_await node.port.store.follow(std::move(position), pending->progress));
  http::Notify(node.store.changed);
}

const TableProgress& ProgressOf(const Node& node, std::string_view table) {
  return table == node.port.operator_table ? node.store.operator_rows
                                           : node.store.fleet_rows;
}

/// Waits until the poll has ended or is to be abandoned. Returns the reason to
/// abandon it, or an empty string.
///
/// A poll is abandoned if the store was restored, or may have lost it: another
/// call has failed, or another daemon has reported a change that the poll
/// should have returned. It is kept while its answer arrives, because the next
/// one would have to send all of it again.
awaitable<std::string_view> AwaitPage(Node& node,
                                      const FeedPosition& position,
                                      const PendingPoll& pending,
                                      base::Duration grace) {
  const std::uint64_t losses = node.store.losses;
  const std::uint64_t era = node.store.era;
  const base::TimePoint started_at = base::BootClock::now();
  while (!pending.page) {
    if (node.store.era != era || IsEraOutdated(node)) {
      co_return "the store was restored";
    }
    const TableProgress& table = ProgressOf(node, position.table);
    const bool lost = node.store.losses != losses;
    const bool behind = table.peer_version > position.after;
    if (pending.progress->received_bytes > 0 || (!lost && !behind)) {
      co_await http::Wait(node.store.changed);
      continue;
    }
    const base::TimePoint since =
        lost ? started_at : std::max(started_at, table.peer_version_at);
    if (base::BootClock::now() >= since + grace) {
      co_return lost ? "another call to the store failed"
                     : "another daemon reported a later version";
    }
    co_await http::WaitUntil(node.store.changed, since + grace);
  }
  co_return std::string_view{};
}

/// Polls for changes, and abandons the poll if the store may have lost it. The
/// store's time in the answer is not used for the clock: the poll may have
/// waited for any time between `sent_at` and the answer.
awaitable<base::Result<RowPage>> Poll(Node& node,
                                      FeedPosition position,
                                      Backoff& backoff) {
  const base::TimePoint sent_at = base::BootClock::now();
  const auto sent_in = EraOfCall(node);
  auto pending = std::make_shared<PendingPoll>();
  asio::co_spawn(node.io, RunPoll(node, position, pending), asio::detached);
  const std::string_view cause =
      co_await AwaitPage(node, position, *pending, backoff.grace);
  if (!cause.empty()) {
    if (pending->progress->cancel) {
      pending->progress->cancel();
    }
    backoff.grace = std::min(backoff.grace * 2, kMaxGrace);
    Count(node, "store_polls_abandoned_total",
          fmt::format("table=\"{}\"", position.table));
    Log(node.log, EventKind::kPollAbandoned,
        {{"table", position.table},
         {"after", static_cast<std::int64_t>(position.after)},
         {"waited_ms", MillisecondsLeft(base::BootClock::now(), sent_at)},
         {"cause", cause}});
    co_return base::Fail(ErrorKind::kStoreUnavailable, std::string(cause));
  }
  if (*pending->page) {
    if (!AcceptEra(node, pending->page->value().state.era, sent_in)) {
      co_return RestoredMeanwhile(ErrorKind::kStoreUnavailable);
    }
    RecordStoreAnswer(node, nullptr, sent_at);
    Count(node, "store_poll_bytes_total",
          fmt::format("table=\"{}\"", position.table),
          pending->progress->received_bytes);
  } else {
    RecordReadResult(node, *pending->page, sent_at);
  }
  co_return std::move(*pending->page);
}

using NextPage = awaitable<base::Result<RowPage>> (*)(Node&,
                                                      FeedPosition,
                                                      Backoff&);

/// Reads the operator's rows from the store. After a restore they are first
/// asked from the relays, because all daemons need them at the same time.
awaitable<base::Result<RowPage>> ReadOperatorTable(Node& node) {
  const std::uint64_t era = node.store.era;
  if (node.store.restored && node.operator_copy.version == 0 &&
      !IsEraOutdated(node) && !IsOperatorRelay(node)) {
    auto page = co_await FetchFromRelays(node, 0, 1);
    if (page && node.store.era == era) {
      co_return page;
    }
  }
  co_return co_await ReadPartition(node, node.port.operator_table, "");
}

/// Reads the operator's rows. Returns the version from which to follow them.
awaitable<base::Result<std::uint64_t>> ReadOperatorRows(Node& node) {
  auto page = co_await ReadOperatorTable(node);
  if (!page) {
    co_return base::Fail(page.error().kind, page.error().detail);
  }
  node.operator_copy.rows.clear();
  KeepOperatorPage(node, page.value());
  std::set<std::string> out;
  for (const StoredRow& row : page.value().rows) {
    ApplyOperatorRow(node, row);
    const OperatorRow meaning = node.port.operator_row(row.name);
    if (meaning.kind == OperatorRow::Kind::kOutOfService && !row.removed) {
      out.insert(meaning.data_centre);
    }
  }
  const auto known = node.data_centres_out;
  for (const std::string& data_centre : known) {
    if (!out.contains(data_centre)) {
      SetOutOfService(node, data_centre, false);
    }
  }
  co_return page.value().state.version;
}

std::vector<std::string> KnownServices(const Node& node) {
  std::vector<std::string> services = {node.settings.service};
  if (node.routes) {
    for (const auto& [name, service] : node.routes->services) {
      if (name != node.settings.service) {
        services.push_back(name);
      }
    }
  }
  return services;
}

awaitable<base::Result<std::uint64_t>> ReadServiceRows(
    Node& node,
    const std::string& service) {
  auto page = co_await ReadPartition(node, std::string(kFleetTable), service);
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
  for (const std::string& service : KnownServices(node)) {
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
  for (const std::string& service : KnownServices(node)) {
    if (!services_read.contains(service)) {
      auto version = co_await ReadServiceRows(node, service);
      if (version) {
        services_read.insert(service);
      }
    }
  }
}

awaitable<void> AfterFleetPage(Node& node,
                               std::set<std::string>& services_read) {
  co_await ReadNewServices(node, services_read);
  co_await http::Sleep(node.io, kFleetPollPause);
}

awaitable<void> DoNothing() {
  co_return;
}

/// Waits until another daemon reports a change of the operator's rows, this
/// daemon becomes a relay, the store was restored, or the time for a read
/// without a report has come.
awaitable<void> AwaitOperatorChange(Node& node, const FeedPosition& position) {
  std::uniform_real_distribution<double> distribution(0.75, 1);
  const double jitter = distribution(node.random);
  const base::TimePoint started_at = base::BootClock::now();
  const std::uint64_t era = node.store.era;
  while (!IsOperatorRelay(node) && node.store.era == era &&
         !IsEraOutdated(node) &&
         node.store.operator_rows.peer_version <= position.after) {
    const base::TimePoint now = base::BootClock::now();
    const bool doubtful =
        now < node.operator_copy.store_failed_at + kDoubtfulTime;
    const base::TimePoint end =
        started_at +
        std::chrono::duration_cast<base::Duration>(
            (doubtful ? kDoubtfulReadInterval : kOperatorPollTime) * jitter);
    if (now >= end) {
      break;
    }
    co_await http::WaitUntil(node.store.changed, end);
  }
}

/// Returns the next changes of the operator's rows: a relay polls the store,
/// other daemons fetch reported changes from the relays.
awaitable<base::Result<RowPage>> NextOperatorPage(Node& node,
                                                  FeedPosition position,
                                                  Backoff& backoff) {
  const std::uint64_t era = node.store.era;
  if (!IsOperatorRelay(node)) {
    co_await AwaitOperatorChange(node, position);
  }
  if (!IsOperatorRelay(node)) {
    const std::uint64_t reported = node.store.operator_rows.peer_version;
    if (reported > position.after) {
      auto page = co_await FetchFromRelays(node, position.after, reported);
      if (node.store.era != era) {
        co_return RestoredMeanwhile(ErrorKind::kStoreUnavailable);
      }
      if (page) {
        KeepOperatorPage(node, page.value());
        co_return page;
      }
    }
    position.wait = std::chrono::milliseconds{0};
  }
  auto page = co_await Poll(node, position, backoff);
  if (page) {
    KeepOperatorPage(node, page.value());
    if (!page.value().rows.empty()) {
      asio::co_spawn(node.io, AnnounceOperatorRows(node), asio::detached);
    }
  }
  co_return page;
}

/// Applies the changes of a table until the feed no longer has the changes from
/// the current position, or the store may have been restored.
awaitable<void> FollowTable(Node& node,
                            FeedPosition position,
                            Backoff& backoff,
                            NextPage next_page,
                            void (*apply)(Node&, const StoredRow&),
                            std::function<awaitable<void>()> after_page) {
  const std::uint64_t era = node.store.era;
  bool failed = false;
  while (node.store.era == era && !IsEraOutdated(node)) {
    FeedPosition next = position;
    if (failed) {
      // The store may have been restored while it was away. Only an answer
      // tells, and a poll might wait for long before it gets one.
      next.wait = std::chrono::milliseconds{0};
    }
    auto page = co_await next_page(node, std::move(next), backoff);
    failed = !page;
    if (!page && page.error().kind == ErrorKind::kNotFound) {
      co_return;
    }
    if (node.store.era != era) {
      co_return;
    }
    if (!page) {
      co_await Pause(node, backoff);
      continue;
    }
    backoff = Backoff{};
    for (const StoredRow& row : page.value().rows) {
      apply(node, row);
    }
    RebuildStaleTargetTables(node);
    position.after = std::max(position.after, page.value().state.version);
    co_await after_page();
  }
}

}  // namespace

awaitable<base::Result<RowPage>> ReadPartition(Node& node,
                                               std::string table,
                                               std::string partition) {
  const base::TimePoint sent_at = base::BootClock::now();
  const auto sent_in = EraOfCall(node);
  const bool outdated = IsEraOutdated(node);
  auto page =
      co_await node.port.store.read(std::move(table), std::move(partition));
  if (page && !AcceptEra(node, page.value().state.era, sent_in)) {
    co_return RestoredMeanwhile(ErrorKind::kStoreUnavailable);
  }
  if (page && outdated) {
    // The store itself has no later era than the answer tells.
    node.store.peer_era = node.store.era;
  }
  RecordReadResult(node, page, sent_at);
  co_return page;
}

awaitable<void> FollowOperator(Node& node) {
  Backoff backoff;
  while (true) {
    auto start = co_await ReadOperatorRows(node);
    if (!start) {
      co_await Pause(node, backoff);
      continue;
    }
    backoff = Backoff{};
    FeedPosition position{node.port.operator_table, start.value(),
                          kOperatorPollTime};
    co_await FollowTable(node, std::move(position), backoff, NextOperatorPage,
                         ApplyOperatorRow, [] { return DoNothing(); });
  }
}

awaitable<void> FollowFleet(Node& node) {
  Backoff backoff;
  while (!node.routes) {
    // The routes name the services whose rows have to be read.
    co_await http::Wait(node.lease_inputs_changed);
  }
  while (true) {
    std::set<std::string> services_read;
    auto start = co_await ReadFleetRows(node, services_read);
    if (!start) {
      co_await Pause(node, backoff);
      continue;
    }
    backoff = Backoff{};
    FeedPosition position{std::string(kFleetTable), start.value(),
                          kFleetPollTime};
    co_await FollowTable(node, std::move(position), backoff, Poll,
                         ApplyFleetRow, [&node, &services_read] {
                           return AfterFleetPage(node, services_read);
                         });
  }
}

awaitable<base::Result<CommitResult>> Commit(Node& node,
                                             RowTransaction transaction) {
  const base::TimePoint sent_at = base::BootClock::now();
  const auto sent_in = EraOfCall(node);
  auto result = co_await node.port.store.commit(std::move(transaction));
  if (result && !AcceptEra(node, result.value().state.era, sent_in)) {
    co_return RestoredMeanwhile(ErrorKind::kStoreResultUnknown);
  }
  if (result) {
    RecordStoreAnswer(node, &result.value().state, sent_at);
  } else {
    RecordStoreFailure(node, result.error());
  }
  co_return result;
}

}  // namespace eelgrassbridge::node
