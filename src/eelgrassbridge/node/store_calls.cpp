// Reads, polls and commits, with the checks of the store's era.
#include "eelgrassbridge/node/store_calls.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <optional>

#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/node/store_era.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

/// Counts a call to the store by its kind and purpose.
void CountCall(Node& node, std::string_view call, StorePurpose purpose) {
  Count(node, "store_calls_total",
        fmt::format("call=\"{}\",purpose=\"{}\"", call, PurposeName(purpose)));
}

/// Counts the bytes of row values that were sent to the store or received.
void CountBytes(Node& node,
                std::string_view direction,
                StorePurpose purpose,
                std::uint64_t bytes) {
  Count(node, "store_row_bytes_total",
        fmt::format("direction=\"{}\",purpose=\"{}\"", direction,
                    PurposeName(purpose)),
        bytes);
}

std::uint64_t SizeOf(const RowPage& page) {
  std::uint64_t bytes = 0;
  for (const StoredRow& row : page.rows) {
    bytes += row.value.size();
  }
  return bytes;
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

/// A poll with at most this wait is not abandoned when another call fails: it
/// ends soon by itself.
constexpr std::chrono::milliseconds kShortWait{2000};

/// Waits until the poll has ended or is to be abandoned. Returns the reason to
/// abandon it, or an empty string.
///
/// A poll is abandoned if the store was restored, or may have lost it: another
/// call has failed, or another daemon has reported a change that the poll
/// should have returned. So is one that is no longer needed: the store would
/// answer it with a change that this daemon gets from its relay, over a link
/// that the relay's answer needs. It is kept while its answer arrives, because
/// the next one would have to send all of it again. A call that waits for no
/// change is not abandoned for a report: it returns the change unless it is
/// lost, and a second call would only add to a link that is full.
awaitable<std::string_view> AwaitPage(Node& node,
                                      const FeedPosition& position,
                                      const PendingPoll& pending,
                                      base::Duration grace,
                                      PollCondition is_needed) {
  const std::uint64_t losses = node.store.losses;
  const std::uint64_t era = node.store.era;
  const base::TimePoint started_at = base::BootClock::now();
  while (!pending.page) {
    if (node.store.era != era || IsEraOutdated(node)) {
      co_return "the store was restored";
    }
    const TableProgress& table = ProgressOf(node, position.table);
    const bool begun = pending.progress->received_bytes > 0;
    if (!begun && is_needed != nullptr && !is_needed(node)) {
      co_return "another daemon polls the store";
    }
    const bool lost = position.wait > kShortWait && node.store.losses != losses;
    const bool behind =
        position.wait.count() > 0 && table.peer_version > position.after;
    if (begun || (!lost && !behind)) {
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

}  // namespace

std::string_view PurposeName(StorePurpose purpose) {
  switch (purpose) {
    case StorePurpose::kOperatorRows:
      return "operator_rows";
    case StorePurpose::kFleetRows:
      return "fleet_rows";
    case StorePurpose::kLease:
      return "lease";
    case StorePurpose::kLeaseRead:
      return "lease_read";
    case StorePurpose::kRangeMap:
      return "range_map";
    case StorePurpose::kMember:
      return "member";
    case StorePurpose::kRecovery:
      return "recovery";
    case StorePurpose::kCrashes:
      return "crashes";
    case StorePurpose::kQuota:
      return "quota";
    case StorePurpose::kAnnouncement:
      return "announcement";
  }
  return "unknown";
}

awaitable<void> Pause(Node& node, Backoff& backoff) {
  std::uniform_real_distribution<double> jitter(0.5, 1);
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
      backoff.next * jitter(node.random));
  backoff.next = std::min(backoff.next * 2, kMaxPause);
  co_await http::Sleep(node.io, pause);
}

awaitable<base::Result<RowPage>> ReadPartition(Node& node,
                                               StorePurpose purpose,
                                               std::string table,
                                               std::string partition) {
  const base::TimePoint sent_at = base::BootClock::now();
  const auto sent_in = EraOfCall(node);
  const std::uint64_t reported_era = node.store.peer_era;
  CountCall(node, "read", purpose);
  auto page =
      co_await node.port.store.read(std::move(table), std::move(partition));
  if (page) {
    CountBytes(node, "received", purpose, SizeOf(page.value()));
  }
  if (page && !AcceptEra(node, page.value().state.era, sent_in)) {
    co_return RestoredMeanwhile(ErrorKind::kStoreUnavailable);
  }
  if (page && node.store.peer_era == reported_era) {
    // The store itself has no later era than the answer tells.
    node.store.peer_era = node.store.era;
  }
  RecordReadResult(node, page, sent_at);
  co_return page;
}

// The store's time in the answer is not used for the clock: the poll may have
// waited for any time between `sent_at` and the answer.
awaitable<base::Result<RowPage>> Poll(Node& node,
                                      FeedPosition position,
                                      Backoff& backoff,
                                      PollCondition is_needed) {
  const base::TimePoint sent_at = base::BootClock::now();
  const auto sent_in = EraOfCall(node);
  const StorePurpose purpose = position.table == node.port.operator_table
                                   ? StorePurpose::kOperatorRows
                                   : StorePurpose::kFleetRows;
  CountCall(node, "poll", purpose);
  auto pending = std::make_shared<PendingPoll>();
  asio::co_spawn(node.io, RunPoll(node, position, pending), asio::detached);
  const std::string_view cause =
      co_await AwaitPage(node, position, *pending, backoff.grace, is_needed);
  if (!cause.empty()) {
    http::Cancel(*pending->progress);
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
    CountBytes(node, "received", purpose, SizeOf(pending->page->value()));
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

awaitable<base::Result<CommitResult>> Commit(Node& node,
                                             StorePurpose purpose,
                                             RowTransaction transaction) {
  const base::TimePoint sent_at = base::BootClock::now();
  const auto sent_in = EraOfCall(node);
  CountCall(node, "commit", purpose);
  for (const RowWrite& write : transaction.writes) {
    CountBytes(node, "sent", purpose, write.value.size());
  }
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
