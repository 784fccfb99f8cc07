// The first relay polls the store for the operator's rows; other daemons fetch
// reported changes, the second relay from the store and the others from the
// relays of their data centre.
#include "eelgrassbridge/node/operator_feed.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <optional>
#include <set>
#include <string>

#include "eelgrassbridge/node/operator_confirmation.hpp"
#include "eelgrassbridge/node/operator_relay.hpp"
#include "eelgrassbridge/node/row_intake.hpp"
#include "eelgrassbridge/node/row_relay.hpp"
#include "eelgrassbridge/node/store_calls.hpp"
#include "eelgrassbridge/node/store_era.hpp"
#include "eelgrassbridge/node/table_feed.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

/// Time after a restore of the store for which a data centre stays out of
/// service although its row is missing. The row may be lost, and the operator
/// writes lost rows again within seconds.
constexpr std::chrono::milliseconds kLostRowTime{10000};

/// Reads the operator's rows. They are first asked from the relays if all
/// daemons need them at the same time: after a restore, or for a change that
/// was reported. Otherwise a relay that is cut off from the store might give
/// rows that are older than those in the store. `store_read_at` is set to the
/// start of a read of the store.
awaitable<base::Result<RowPage>> ReadOperatorTable(
    Node& node,
    std::optional<base::TimePoint>& store_read_at) {
  const std::uint64_t era = node.store.era;
  const std::uint64_t reported = node.store.operator_rows.peer_version;
  const bool of_new_era =
      node.store.restored && node.operator_copy.table.version == 0;
  if ((of_new_era || reported > node.operator_copy.table.version) &&
      !IsEraOutdated(node) && !IsOperatorRelay(node)) {
    auto page =
        co_await FetchFromRelays(node, 0, std::max<std::uint64_t>(1, reported));
    if (page && node.store.era == era) {
      co_return page;
    }
  }
  store_read_at = base::BootClock::now();
  auto page = co_await ReadPartition(node, StorePurpose::kOperatorRows,
                                     node.port.operator_table, "");
  RecordOperatorRead(node, page.has_value());
  co_return page;
}

/// Data centres that rows of the present era take out of service.
std::set<std::string> DataCentresOutByRows(const Node& node) {
  std::set<std::string> out;
  for (const auto& [name, row] : node.operator_copy.table.rows) {
    const OperatorRow meaning = node.port.operator_row(name);
    if (meaning.kind == OperatorRow::Kind::kOutOfService && !row.removed) {
      out.insert(meaning.data_centre);
    }
  }
  return out;
}

/// Puts data centres back in service whose rows are still missing after the
/// time in which the operator writes lost rows again.
awaitable<void> AwaitLostRows(Node& node, std::set<std::string> missing) {
  const std::uint64_t era = node.store.era;
  co_await http::Sleep(node.io, kLostRowTime);
  if (node.store.era != era) {
    co_return;
  }
  const auto out = DataCentresOutByRows(node);
  for (const std::string& data_centre : missing) {
    if (!out.contains(data_centre)) {
      SetOutOfService(node, data_centre, false);
    }
  }
}

/// Announces what this daemon has found in the store if it is a relay: a change
/// that no relay has received by a poll is announced by nobody else. A daemon
/// that knows no relay announces nothing, since at the first start of a site
/// all daemons read the rows themselves.
awaitable<void> AnnounceReadRows(Node& node) {
  while (!node.fleet.loaded) {
    co_await http::Wait(node.lease_inputs_changed);
  }
  const auto relays = OperatorRelays(node);
  if (std::ranges::find(relays, node.settings.peers) != relays.end()) {
    co_await AnnounceOperatorRows(node);
  }
}

/// Reads the operator's rows. Returns the version from which to follow them.
awaitable<base::Result<std::uint64_t>> ReadOperatorRows(Node& node) {
  std::optional<base::TimePoint> store_read_at;
  auto page = co_await ReadOperatorTable(node, store_read_at);
  if (!page) {
    co_return base::Fail(page.error().kind, page.error().detail);
  }
  const auto out_before = DataCentresOutByRows(node);
  const TableCopy& copy = node.operator_copy.table;
  RestartCopy(node.operator_copy.table, page.value());
  RecordConfirmation(
      node, {copy.latest_change, store_read_at.value_or(base::TimePoint{})});
  for (const StoredRow& row : page.value().rows) {
    ApplyOperatorRow(node, row);
  }
  const auto out = DataCentresOutByRows(node);
  const auto known = node.data_centres_out;
  std::set<std::string> maybe_lost;
  for (const std::string& data_centre : known) {
    if (out.contains(data_centre)) {
      continue;
    }
    if (node.store.restored && !out_before.contains(data_centre)) {
      maybe_lost.insert(data_centre);
    } else {
      SetOutOfService(node, data_centre, false);
    }
  }
  if (!maybe_lost.empty()) {
    asio::co_spawn(node.io, AwaitLostRows(node, std::move(maybe_lost)),
                   asio::detached);
  }
  asio::co_spawn(node.io, AnnounceReadRows(node), asio::detached);
  co_return page.value().state.version;
}

/// Waits until another daemon reports a change of the operator's rows, this
/// daemon has to poll the store, the store was restored, or what this daemon
/// knows is too old.
awaitable<void> AwaitOperatorChange(Node& node, const FeedPosition& position) {
  std::uniform_real_distribution<double> distribution(0, 1);
  const double spread = distribution(node.random);
  const std::uint64_t era = node.store.era;
  while (!PollsOperatorRows(node) && node.store.era == era &&
         !IsEraOutdated(node) &&
         node.store.operator_rows.peer_version <= position.after) {
    const base::TimePoint due = StoreReadDue(node.operator_copy.freshness,
                                             FreshnessLimits(node), spread);
    if (base::BootClock::now() >= due) {
      Count(node, "operator_reads_due_total");
      break;
    }
    co_await http::WaitUntil(node.store.changed, due);
  }
}

/// Time at which this daemon gives up fetching a change from relays, so that it
/// can still read the store in time.
base::TimePoint RelayFetchEnd(const Node& node, base::TimePoint now) {
  const Freshness& freshness = node.operator_copy.freshness;
  const FreshnessOptions options = FreshnessLimits(node);
  return freshness.read_failing
             ? base::TimePoint::max()
             : std::max(freshness.applied_as_of + options.store_limit,
                        now + options.relay_time);
}

/// Polls the store, and keeps what it returns and confirms for other daemons.
awaitable<base::Result<RowPage>> PollOperatorRows(Node& node,
                                                  FeedPosition position,
                                                  Backoff& backoff) {
  const base::TimePoint sent_at = base::BootClock::now();
  const base::Duration wait = position.wait;
  const bool waits = wait.count() > 0;
  auto page = co_await Poll(node, std::move(position), backoff,
                            waits ? &PollsOperatorRows : nullptr);
  // A poll that is no longer needed ends without an answer of the store.
  if (page || !waits || PollsOperatorRows(node)) {
    RecordOperatorRead(node, page.has_value());
  }
  if (page) {
    const bool has_changes = !page.value().rows.empty();
    KeepOperatorPage(node, page.value());
    RecordConfirmation(
        node, {node.operator_copy.table.latest_change,
               AsOfPoll(sent_at, wait, has_changes, base::BootClock::now())});
    if (has_changes) {
      asio::co_spawn(node.io, AnnounceOperatorRows(node), asio::detached);
    }
  }
  co_return page;
}

/// Returns the next changes of the operator's rows: the first relay polls the
/// store, other daemons fetch reported changes.
awaitable<base::Result<RowPage>> NextOperatorPage(Node& node,
                                                  FeedPosition position,
                                                  Backoff& backoff) {
  const std::uint64_t era = node.store.era;
  const Freshness& freshness = node.operator_copy.freshness;
  if (!PollsOperatorRows(node)) {
    co_await AwaitOperatorChange(node, position);
  }
  if (node.store.era != era || IsEraOutdated(node)) {
    // The position is one of a former era.
    co_return RestoredMeanwhile(ErrorKind::kStoreUnavailable);
  }
  const std::uint64_t reported = node.store.operator_rows.peer_version;
  if (reported > position.after &&
      (!IsOperatorRelay(node) || freshness.read_failing)) {
    auto page =
        co_await FetchFromRelays(node, position.after, reported,
                                 RelayFetchEnd(node, base::BootClock::now()));
    if (node.store.era != era) {
      co_return RestoredMeanwhile(ErrorKind::kStoreUnavailable);
    }
    if (page) {
      KeepOperatorPage(node, page.value());
      RecordApplied(node.operator_copy.freshness,
                    node.operator_copy.table.version);
      co_return page;
    }
    if (page.error().kind == ErrorKind::kNotFound) {
      co_return page;
    }
  }
  const base::Duration wait =
      PollsOperatorRows(node) ? NextPollWait(freshness, base::BootClock::now(),
                                             FreshnessLimits(node))
                              : base::Duration{0};
  position.wait =
      std::min(position.wait,
               std::chrono::duration_cast<std::chrono::milliseconds>(wait));
  co_return co_await PollOperatorRows(node, std::move(position), backoff);
}

}  // namespace

awaitable<void> FollowOperator(Node& node) {
  const TableFeed feed{.next_page = NextOperatorPage,
                       .apply = ApplyOperatorRow,
                       .after_page = {}};
  Backoff backoff;
  while (true) {
    auto start = co_await ReadOperatorRows(node);
    if (!start) {
      co_await Pause(node, backoff);
      continue;
    }
    backoff = Backoff{};
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(
        FreshnessLimits(node).confirm_interval);
    FeedPosition position{node.port.operator_table, start.value(), interval};
    co_await FollowTable(node, std::move(position), backoff, feed);
  }
}

}  // namespace eelgrassbridge::node
