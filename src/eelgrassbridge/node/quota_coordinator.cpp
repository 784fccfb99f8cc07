// Take-over, renewal and end of the coordinator's right.
#include "eelgrassbridge/node/quota_coordinator.hpp"

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "eelgrassbridge/node/quota_messages.hpp"
#include "eelgrassbridge/node/quota_rows.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/node/request_watch.hpp"
#include "eelgrassbridge/node/row_relay.hpp"
#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_calls.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::Duration;
using base::TimePoint;

/// Lease term: as long as a usual outage of the store.
constexpr Duration kLeaseTime = base::seconds{10};
/// The right ends this long before the row expires, to cover clock drift over
/// one term and the delay of an answer.
constexpr Duration kRightMargin = base::milliseconds{300};
/// Added to the expiry of the row before another daemon takes over.
constexpr Duration kExpiryMargin = base::milliseconds{100};
constexpr Duration kRenewInterval = base::seconds{3};
/// Interval after a renewal that failed, or if a daemon waits to be listed.
constexpr Duration kSoonInterval = base::seconds{1};
/// Interval at which a candidate checks whether the coordinator answers.
constexpr Duration kCheckInterval = base::seconds{1};
/// A coordinator that answered this daemon within this time is not replaced, so
/// the lease row is not read.
constexpr Duration kAnswerAge = base::seconds{5};
/// Shortest time between reads of the lease row.
constexpr Duration kReadInterval = base::seconds{2};
/// Candidates of each data centre.
constexpr std::size_t kCandidates = 2;
constexpr std::size_t kMaxReportBytes = std::size_t{256} * 1024;
constexpr int kEraBits = 32;

/// The lease as a candidate reads it.
struct LeaseRead {
  std::uint64_t version = 0;
  std::optional<QuotaRecord> record;
  /// The row exists but cannot be decoded.
  bool malformed = false;
  /// Rows of former eras of the store.
  std::vector<RowName> former;
  Duration read_at{};
};

awaitable<base::Result<LeaseRead>> ReadLease(Node& node) {
  const auto page = co_await ReadPartition(node, StorePurpose::kQuota,
                                           std::string(kLeaseTable),
                                           std::string(kQuotaPartition));
  if (!page) {
    co_return base::Fail(page.error().kind, page.error().detail);
  }
  LeaseRead lease;
  lease.read_at = page.value().state.time;
  const RowName name = QuotaLeaseRow(node.store.era);
  for (const StoredRow& row : page.value().rows) {
    if (row.name != name) {
      lease.former.push_back(row.name);
      continue;
    }
    lease.version = row.version;
    auto record = DecodeQuotaRecord(row.value);
    if (record) {
      lease.record = std::move(record.value());
    } else {
      lease.malformed = true;
      Log(node.log, EventKind::kRowRejected,
          {{"row", row.name.key}, {"cause", record.error().detail}});
    }
  }
  co_return lease;
}

bool IsOwnAddress(const Node& node, const QuotaRecord& record) {
  return record.daemon == node.settings.peers;
}

/// Time until the lease may be taken over. That of this daemon has no holder
/// any more: a former process has ended, and this one has no ledger.
Duration TimeToTakeOver(const Node& node, const LeaseRead& lease) {
  if (!lease.record || IsOwnAddress(node, *lease.record)) {
    return Duration{0};
  }
  return std::max(Duration{0},
                  lease.record->expires + kExpiryMargin - lease.read_at);
}

limits::QuotaTakeOver TakeOverAfter(const Node& node, const LeaseRead& lease) {
  limits::QuotaTakeOver take_over;
  const std::uint64_t known = lease.record ? lease.record->tenure : 0;
  take_over.tenure = std::max({known, node.quota.coordinator.tenure,
                               node.store.era << kEraBits}) +
                     1;
  if (lease.record) {
    take_over.listed = lease.record->listed;
    return take_over;
  }
  take_over.first =
      lease.former.empty() && !lease.malformed && !node.store.restored &&
      (node.settings.first_start || node.quota.seen_without_limits);
  if (!take_over.first) {
    // A coordinator of a former era may not know yet that the store was
    // restored, and a row that was replaced may hide a lease.
    take_over.overlap = kLeaseTime;
  }
  return take_over;
}

QuotaRecord OwnRecord(const Node& node,
                      std::uint64_t tenure,
                      std::set<std::string, std::less<>> listed) {
  QuotaRecord record;
  record.daemon = node.settings.peers;
  record.process = node.process;
  record.tenure = tenure;
  record.expires =
      ranges::LatestStoreTime(node.store.clock, base::BootClock::now()) +
      kLeaseTime;
  record.listed = std::move(listed);
  return record;
}

/// Writes both rows if the lease row has not changed since it was read.
awaitable<void> TakeOver(Node& node, const LeaseRead& lease) {
  limits::QuotaTakeOver take_over = TakeOverAfter(node, lease);
  const std::uint64_t era = node.store.era;
  const TimePoint sent_at = base::BootClock::now();
  QuotaRecord record = OwnRecord(node, take_over.tenure, take_over.listed);
  RowTransaction transaction;
  transaction.conditions.push_back({QuotaLeaseRow(era), lease.version});
  transaction.writes.push_back({QuotaLeaseRow(era), EncodeQuotaRecord(record)});
  record.listed.clear();
  transaction.writes.push_back(
      {QuotaCoordinatorRow(era), EncodeQuotaRecord(record)});
  const auto result =
      co_await Commit(node, StorePurpose::kQuota, std::move(transaction));
  if (!result || !result.value().committed || node.store.era != era) {
    co_return;
  }
  QuotaState& quota = node.quota;
  const bool first = take_over.first;
  const auto listed = static_cast<std::int64_t>(take_over.listed.size());
  SetQuotaCoordinator(node, record);
  quota.ledger = limits::BeginTenure(std::move(take_over),
                                     QuotaOptionsOf(node.settings.bounds),
                                     base::BootClock::now());
  quota.lease_version = result.value().state.version;
  quota.right_ends = sent_at + kLeaseTime - kRightMargin;
  Log(node.log, EventKind::kQuotaCoordinatorGained,
      {{"tenure", static_cast<std::int64_t>(record.tenure)},
       {"first", std::int64_t{first}},
       {"listed", listed}});
  http::Notify(quota.wanted);
}

/// Handles a renewal whose condition did not hold: either the answer to an
/// earlier one was lost, or another daemon has taken over.
void ApplyConflict(Node& node, const CommitResult& result) {
  for (const StoredRow& row : result.current_rows) {
    const auto record = DecodeQuotaRecord(row.value);
    if (record && record.value().process == node.process &&
        record.value().tenure == node.quota.ledger->tenure) {
      node.quota.lease_version = row.version;
      return;
    }
  }
  LoseQuotaCoordinator(node, "another writer has replaced the row");
}

/// Renews the lease. Returns the time until the next renewal.
awaitable<Duration> Renew(Node& node) {
  QuotaState& quota = node.quota;
  const std::uint64_t era = node.store.era;
  const std::uint64_t tenure = quota.ledger->tenure;
  const TimePoint sent_at = base::BootClock::now();
  const auto listed = limits::ListForRow(*quota.ledger, sent_at);
  const RowName name = QuotaLeaseRow(era);
  RowTransaction transaction;
  transaction.conditions.push_back({name, quota.lease_version});
  transaction.writes.push_back(
      {name, EncodeQuotaRecord(OwnRecord(node, tenure, listed))});
  const auto result =
      co_await Commit(node, StorePurpose::kQuota, std::move(transaction));
  if (!quota.ledger || quota.ledger->tenure != tenure) {
    co_return kSoonInterval;
  }
  if (!result) {
    co_return kSoonInterval;
  }
  if (!result.value().committed) {
    ApplyConflict(node, result.value());
    co_return Duration{0};
  }
  quota.lease_version = result.value().state.version;
  quota.right_ends = sent_at + kLeaseTime - kRightMargin;
  limits::ConfirmList(*quota.ledger, listed);
  co_return kRenewInterval;
}

/// Ends the lease at a planned stop or without accounts that have a limit, so
/// that another daemon can take over at once. What it may have granted stays
/// listed.
awaitable<void> Release(Node& node) {
  const std::uint64_t version = node.quota.lease_version;
  QuotaRecord record =
      OwnRecord(node, node.quota.ledger->tenure,
                limits::ListForRow(*node.quota.ledger, base::BootClock::now()));
  record.expires = Duration{0};
  LoseQuotaCoordinator(
      node, node.stopping ? "the daemon stops" : "no account has a limit");
  RowTransaction transaction;
  const RowName name = QuotaLeaseRow(node.store.era);
  transaction.conditions.push_back({name, version});
  transaction.writes.push_back({name, EncodeQuotaRecord(record)});
  std::ignore =
      co_await Commit(node, StorePurpose::kQuota, std::move(transaction));
}

/// Takes over if the lease has expired. Returns the time until the next check.
awaitable<Duration> CheckLease(Node& node) {
  const QuotaState& quota = node.quota;
  const TimePoint now = base::BootClock::now();
  const bool restarted = IsOwnAddress(node, quota.coordinator);
  const bool answers =
      quota.answered_at != TimePoint{} && now < quota.answered_at + kAnswerAge;
  if (!restarted && (answers || !IsQuotaCandidate(node))) {
    co_return kCheckInterval;
  }
  const auto lease = co_await ReadLease(node);
  if (!lease) {
    co_return kReadInterval;
  }
  const Duration wait = TimeToTakeOver(node, lease.value());
  if (wait.count() > 0) {
    co_return std::max(std::min(wait, kLeaseTime), kCheckInterval / 4);
  }
  co_await TakeOver(node, lease.value());
  co_return kReadInterval;
}

awaitable<Duration> Coordinate(Node& node) {
  QuotaState& quota = node.quota;
  if (quota.ledger && (node.stopping || quota.limits.empty())) {
    co_await Release(node);
    co_return kCheckInterval;
  }
  if (node.stopping || !node.fleet.loaded || !node.store.era_known) {
    co_return kCheckInterval;
  }
  if (quota.ledger) {
    co_return co_await Renew(node);
  }
  co_return co_await CheckLease(node);
}

/// Waits for the next step. A renewal is made early if daemons wait to be
/// listed.
awaitable<void> WaitForStep(Node& node, Duration wait) {
  const TimePoint until = base::BootClock::now() + wait;
  const TimePoint soon = base::BootClock::now() + std::min(wait, kSoonInterval);
  co_await http::Sleep(node.io, soon - base::BootClock::now());
  while (base::BootClock::now() < until && !node.stopping &&
         (!node.quota.ledger || node.quota.ledger->unlisted.empty())) {
    co_await http::Sleep(node.io,
                         std::min<Duration>(base::milliseconds{250},
                                            until - base::BootClock::now()));
  }
}

}  // namespace

bool IsQuotaCandidate(const Node& node) {
  const auto ranked = RankRelays(RelayCandidates(node), kCandidates);
  return std::ranges::find(ranked, node.settings.peers) != ranked.end();
}

awaitable<void> CoordinateQuotas(Node& node) {
  while (true) {
    if (node.quota.limits.empty() && !node.quota.ledger) {
      co_await http::Wait(node.quota.changed);
      // Candidates that get the limits at the same time try one after another.
      std::uniform_int_distribution<int> jitter(0, 300);
      co_await http::Sleep(node.io,
                           std::chrono::milliseconds{jitter(node.random)});
      continue;
    }
    const Duration wait = co_await Coordinate(node);
    co_await WaitForStep(node, wait);
  }
}

bool IsQuotaRequest(const http::RequestHead& head) {
  return http::Find(head.headers, kQuotaHeader) != nullptr;
}

awaitable<void> HandleQuotaRequest(Node& node, http::Exchange& exchange) {
  Message message;
  const auto received =
      co_await ReceiveBody(exchange, message, kMaxReportBytes);
  if (!received) {
    http::Abort(exchange);
    co_return;
  }
  const auto report = DecodeQuotaReport(message.body);
  const TimePoint now = base::BootClock::now();
  if (!report || !IsQuotaCoordinator(node, now)) {
    co_await http::Respond(exchange, kRelayUnavailable, {}, {});
    co_return;
  }
  limits::QuotaAnswer answer;
  const auto verdict = limits::ApplyQuotaReport(
      *node.quota.ledger, node.quota.limits, report.value(), now, answer);
  const int status = verdict == limits::QuotaVerdict::kAccepted ? kRelayOk
                     : verdict == limits::QuotaVerdict::kOtherTenure
                         ? kQuotaOtherTenure
                         : kQuotaStale;
  co_await http::Respond(exchange, status, {}, EncodeQuotaAnswer(answer));
}

}  // namespace eelgrassbridge::node
