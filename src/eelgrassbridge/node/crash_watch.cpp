// Collects broken runs, and exchanges crashes with the other daemons.
#include "eelgrassbridge/node/crash_watch.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_calls.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;

/// Start of a body by which requests are told apart. It is less than what any
/// daemon receives of a body before it passes the request on, so all daemons
/// get the same fingerprint.
constexpr std::size_t kFingerprintBodyBytes = std::size_t{4} * 1024;
/// Runs that a crash is put down to: those that began last. A request that
/// crashes its target does so soon, and each suspect costs a message to all
/// daemons.
constexpr std::size_t kMaxBrokenRuns = 3;
/// Records in the row of a daemon.
constexpr std::size_t kMaxOwnRecords = 24;
constexpr std::chrono::milliseconds kPublishRetryPause{500};

routing::Fingerprint FingerprintOf(const RequestTerms& terms,
                                   const Message& message) {
  return routing::RequestFingerprint(
      terms.service, message.method, message.request_target,
      terms.caller_service,
      std::string_view(message.body).substr(0, kFingerprintBodyBytes));
}

base::Duration StoreTimeAt(const Node& node, base::TimePoint time) {
  return ranges::LatestStoreTime(node.store.clock, time);
}

std::uint64_t OwnTargetRun(const Node& node) {
  return routing::TargetRunIdentity(
      DaemonIdOf(node.settings.peers),
      node.target.id + "/" + std::to_string(node.target.born));
}

void AddBrokenRun(Node& node, const CrashRecord& run) {
  std::vector<CrashRecord>& runs = node.crashes.broken_runs;
  runs.push_back(run);
  if (runs.size() > kMaxBrokenRuns) {
    runs.erase(std::ranges::min_element(runs, {}, [](const CrashRecord& other) {
      return other.crash.run_began;
    }));
  }
}

void AddOwnRecord(Node& node, const CrashRecord& record) {
  CrashWatch& crashes = node.crashes;
  crashes.own.push_back(record);
  if (crashes.own.size() > kMaxOwnRecords) {
    crashes.own.erase(crashes.own.begin());
  }
  crashes.unpublished = true;
  http::Notify(crashes.changed);
}

/// Whether a record of a row may still count. A row from before a restore of
/// the store may have times of another clock.
bool IsUsable(const Node& node,
              const routing::TargetCrash& crash,
              base::Duration now) {
  return crash.run_began <= crash.crashed_at &&
         crash.crashed_at <= now + base::seconds{1} &&
         now - crash.crashed_at < node.crashes.suspects.options.memory;
}

/// Puts the records of a former process before those of this one. A write of it
/// that arrives late has replaced the row, which is then written again.
void AdoptFormerRecords(CrashWatch& crashes,
                        std::span<const CrashRecord> records) {
  std::vector<CrashRecord> missing;
  for (const CrashRecord& record : records) {
    if (std::ranges::find(crashes.own, record) == crashes.own.end()) {
      missing.push_back(record);
    }
  }
  // The latest records are the last ones.
  const std::size_t room =
      kMaxOwnRecords - std::min(kMaxOwnRecords, crashes.own.size());
  const std::size_t kept = std::min(room, missing.size());
  crashes.own.insert(crashes.own.begin(),
                     missing.end() - static_cast<std::ptrdiff_t>(kept),
                     missing.end());
  crashes.unpublished |= kept > 0 && crashes.former_row_read;
}

}  // namespace

routing::CrashVerdict CrashVerdictOf(const Node& node,
                                     const RequestTerms& terms,
                                     const Message& message) {
  if (node.crashes.suspects.suspects.empty()) {
    return routing::CrashVerdict::kNormal;
  }
  return routing::VerdictOf(node.crashes.suspects,
                            FingerprintOf(terms, message),
                            StoreTimeAt(node, base::BootClock::now()));
}

void RecordRunEnd(Node& node,
                  const RequestTerms& terms,
                  const Message& message,
                  const RunResult& result,
                  base::TimePoint began) {
  if (result.reached_target && result.outcome != base::Outcome::kUnknown) {
    RecordSignOfLife(node);
  }
  if (result.outcome == base::Outcome::kUnknown &&
      result.cause == base::ErrorKind::kAnswerCut && node.store.clock.known) {
    AddBrokenRun(node, {FingerprintOf(terms, message),
                        {OwnTargetRun(node), StoreTimeAt(node, began),
                         StoreTimeAt(node, base::BootClock::now())},
                        false});
  }
}

void RecordAnswer(Node& node,
                  const RequestTerms& terms,
                  const Message& message,
                  base::TimePoint began) {
  routing::CrashSuspects& suspects = node.crashes.suspects;
  if (suspects.suspects.empty()) {
    return;
  }
  const routing::Fingerprint request = FingerprintOf(terms, message);
  const base::Duration now = StoreTimeAt(node, base::BootClock::now());
  const auto before = routing::VerdictOf(suspects, request, now);
  const base::Duration began_at = StoreTimeAt(node, began);
  routing::RecordAnsweredRun(suspects, request, began_at);
  if (before != routing::CrashVerdict::kNormal &&
      routing::VerdictOf(suspects, request, now) ==
          routing::CrashVerdict::kNormal) {
    AddOwnRecord(node, {request, {0, began_at, now}, true});
  }
}

void RecordSignOfLife(Node& node) {
  node.crashes.broken_runs.clear();
}

void RecordRestart(Node& node) {
  CrashWatch& crashes = node.crashes;
  if (crashes.broken_runs.empty()) {
    return;
  }
  routing::DropExpired(crashes.suspects,
                       StoreTimeAt(node, base::BootClock::now()));
  for (const CrashRecord& run : crashes.broken_runs) {
    routing::RecordCrash(crashes.suspects, run.request, run.crash);
    AddOwnRecord(node, run);
  }
  Count(node, "crash_suspects_total", {}, crashes.broken_runs.size());
  crashes.broken_runs.clear();
}

void ApplyCrashRow(Node& node, const StoredRow& row) {
  if (row.removed || !node.store.clock.known) {
    return;
  }
  auto decoded = DecodeCrashes(row.value);
  if (!decoded) {
    Log(node.log, EventKind::kRowRejected,
        {{"row", row.name.key}, {"cause", decoded.error().detail}});
    return;
  }
  const base::Duration now = StoreTimeAt(node, base::BootClock::now());
  std::vector<CrashRecord> records = std::move(decoded.value());
  std::erase_if(records, [&node, now](const CrashRecord& record) {
    return !IsUsable(node, record.crash, now);
  });
  if (row.name == CrashRow(node.settings.service, node.settings.peers)) {
    AdoptFormerRecords(node.crashes, records);
    RecordOwnRowsRead(node);
  }
  for (const CrashRecord& record : records) {
    if (record.answered) {
      routing::RecordRefutation(node.crashes.suspects, record.request,
                                record.crash.run_began);
    } else {
      routing::RecordCrash(node.crashes.suspects, record.request, record.crash);
    }
  }
  routing::DropExpired(node.crashes.suspects, now);
}

void RecordOwnRowsRead(Node& node) {
  node.crashes.former_row_read = true;
  http::Notify(node.crashes.changed);
}

awaitable<void> PublishCrashes(Node& node) {
  while (true) {
    if (!node.crashes.unpublished || !node.crashes.former_row_read) {
      co_await http::Wait(node.crashes.changed);
      continue;
    }
    node.crashes.unpublished = false;
    RowTransaction transaction;
    transaction.writes.push_back(
        {CrashRow(node.settings.service, node.settings.peers),
         EncodeCrashes(node.crashes.own)});
    const auto result =
        co_await Commit(node, StorePurpose::kCrashes, std::move(transaction));
    if (!result) {
      node.crashes.unpublished = true;
      co_await http::Sleep(node.io, kPublishRetryPause);
    }
  }
}

}  // namespace eelgrassbridge::node
