// Reports to the coordinator, and waiting for tokens.
#include "eelgrassbridge/node/quota_reports.hpp"

#include <algorithm>

#include "eelgrassbridge/http/endpoint.hpp"
#include "eelgrassbridge/node/quota_coordinator.hpp"
#include "eelgrassbridge/node/quota_messages.hpp"
#include "eelgrassbridge/node/quota_rows.hpp"
#include "eelgrassbridge/node/row_relay.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::Duration;
using base::TimePoint;

/// Time for a report and its answer; longer than a round trip between regions
/// with one retransmission.
constexpr std::chrono::milliseconds kReportTimeout{700};
/// Interval at which a candidate without demand reports, to learn whether the
/// coordinator answers.
constexpr Duration kProbeInterval = base::seconds{3};
/// Longest wait of a request for a token: this, and half of the objective. An
/// answer from another region may take two round trips and an interval between
/// reports.
constexpr Duration kMaxWait = base::milliseconds{300};
constexpr double kMaxWaitOfObjective = 0.5;
/// Interval at which waiting requests look for tokens that the share refills.
constexpr Duration kLookInterval = base::milliseconds{20};
/// Requests of an account that may wait at a time; further ones would wait for
/// tokens that the earlier ones take.
constexpr std::uint32_t kMaxWaiting = 64;

void CountReport(Node& node, std::string_view outcome) {
  Count(node, "quota_reports_total",
        std::string("outcome=\"").append(outcome).append("\""));
}

/// Takes note of the tenure of the coordinator, which the row has not told yet.
void LearnTenure(Node& node, std::uint64_t tenure) {
  QuotaState& quota = node.quota;
  if (tenure > quota.shares.tenure) {
    quota.shares.tenure = tenure;
    quota.coordinator.tenure = tenure;
  }
}

/// Applies the answer to a report.
void ApplyAnswer(Node& node,
                 std::uint64_t sequence,
                 const http::Response& response) {
  const auto answer = DecodeQuotaAnswer(response.body);
  if (response.head.status == kQuotaOtherTenure && answer) {
    CountReport(node, "other_tenure");
    LearnTenure(node, answer.value().tenure);
    return;
  }
  if (response.head.status != kRelayOk || !answer) {
    CountReport(node, "refused");
    node.quota.answered_at = {};
    return;
  }
  const TimePoint now = base::BootClock::now();
  const bool applied = limits::ApplyQuotaAnswer(node.quota.shares, sequence,
                                                answer.value(), now);
  CountReport(node, applied ? "applied" : "late");
  node.quota.answered_at = now;
}

awaitable<void> SendToCoordinator(Node& node,
                                  const limits::QuotaReport& report) {
  const std::string coordinator = node.quota.coordinator.daemon;
  const auto endpoint = http::ParseEndpoint(coordinator);
  if (!endpoint) {
    co_return;
  }
  http::BufferedRequest request;
  request.method = "POST";
  request.target = "/quota";
  request.headers = {{"Host", coordinator}, {std::string(kQuotaHeader), "1"}};
  request.body = EncodeQuotaReport(report);
  request.timeout = kReportTimeout;
  request.total_timeout = kReportTimeout;
  const auto response =
      co_await http::Call(node.peers, *endpoint, std::move(request));
  if (!response) {
    CountReport(node, "failed");
    node.quota.answered_at = {};
    co_return;
  }
  ApplyAnswer(node, report.sequence, response.value());
}

/// The coordinator's own report needs no message.
void ReportToSelf(Node& node, const limits::QuotaReport& report) {
  limits::QuotaAnswer answer;
  const TimePoint now = base::BootClock::now();
  const auto verdict = limits::ApplyQuotaReport(
      *node.quota.ledger, node.quota.limits, report, now, answer);
  if (verdict == limits::QuotaVerdict::kAccepted) {
    limits::ApplyQuotaAnswer(node.quota.shares, report.sequence, answer, now);
    node.quota.answered_at = now;
    CountReport(node, "applied");
  } else {
    LearnTenure(node, answer.tenure);
    CountReport(node, "other_tenure");
  }
}

awaitable<void> SendReport(Node& node) {
  const TimePoint now = base::BootClock::now();
  limits::QuotaReport report = limits::MakeQuotaReport(node.quota.shares, now);
  report.daemon = node.settings.peers;
  report.process = node.process;
  if (IsQuotaCoordinator(node, now)) {
    ReportToSelf(node, report);
  } else {
    co_await SendToCoordinator(node, report);
  }
  http::Notify(node.quota.answered);
}

bool HasWaiting(const Node& node) {
  return std::ranges::any_of(node.quota.shares.accounts, [](const auto& item) {
    return item.second.waiting > 0;
  });
}

/// When the next report is due.
TimePoint NextReport(const Node& node, TimePoint now) {
  const limits::QuotaShares& shares = node.quota.shares;
  if (HasWaiting(node)) {
    return shares.sent_at + shares.ask_interval;
  }
  if (limits::HasReport(shares, now)) {
    return shares.sent_at + shares.interval;
  }
  return IsQuotaCandidate(node) ? shares.sent_at + kProbeInterval
                                : TimePoint::max();
}

/// Longest wait of a request for a token.
TimePoint WaitLimit(const CallerRequest& request, TimePoint now) {
  const Duration wait = std::min(
      kMaxWait, ScaleDuration(request.terms.objective, kMaxWaitOfObjective));
  return std::min(now + wait, request.terms.deadline);
}

/// Whether a token for a request behind `ahead` others may come in time, from
/// the share or from the coordinator.
bool MayComeInTime(const Node& node,
                   const std::string& account,
                   std::uint32_t ahead,
                   TimePoint now,
                   TimePoint limit) {
  const QuotaState& quota = node.quota;
  const Duration own = limits::TimeToToken(quota.shares, account, ahead, now);
  return own <= limit - now ||
         (!quota.coordinator.daemon.empty() &&
          limits::MayAskForToken(quota.shares, account, limit));
}

/// Counts a request as waiting while it exists.
class Waiting {
 public:
  Waiting(Node& waiting_node, const std::string& waiting_account)
      : node(waiting_node), account(waiting_account) {
    if (auto* const quota = this->Find()) {
      ++quota->waiting;
    }
  }
  ~Waiting() {
    // The account may have lost its limit, and got it again, meanwhile.
    auto* const quota = this->Find();
    if (quota != nullptr && quota->waiting > 0) {
      --quota->waiting;
    }
  }
  Waiting(const Waiting&) = delete;
  Waiting& operator=(const Waiting&) = delete;

 private:
  limits::AccountQuota* Find() {
    auto& accounts = this->node.quota.shares.accounts;
    const auto found = accounts.find(this->account);
    return found == accounts.end() ? nullptr : &found->second;
  }

  Node& node;
  const std::string& account;
};

std::uint32_t WaitingRequests(const Node& node, const std::string& account) {
  const auto& accounts = node.quota.shares.accounts;
  const auto found = accounts.find(account);
  return found == accounts.end() ? 0 : found->second.waiting;
}

/// Waits until there is a token, which it takes, or none can come in time.
awaitable<bool> AwaitToken(Node& node,
                           const std::string& account,
                           TimePoint limit,
                           const Cancellation& cancellation) {
  const Waiting waiting(node, account);
  http::Notify(node.quota.wanted);
  while (!cancellation.cause) {
    TimePoint now = base::BootClock::now();
    co_await http::WaitUntil(node.quota.answered,
                             std::min(limit, now + kLookInterval));
    now = base::BootClock::now();
    const auto found = node.quota.limits.find(account);
    if (found == node.quota.limits.end()) {
      co_return true;
    }
    const bool taken =
        limits::TryTake(node.quota.shares, account, found->second, now);
    if (taken) {
      co_return true;
    }
    if (now >= limit || !MayComeInTime(node, account, 0, now, limit)) {
      co_return false;
    }
  }
  co_return false;
}

}  // namespace

awaitable<void> ReportQuotas(Node& node) {
  while (true) {
    if (node.quota.limits.empty() || node.quota.coordinator.daemon.empty()) {
      co_await http::Wait(node.quota.changed);
      continue;
    }
    const TimePoint now = base::BootClock::now();
    const TimePoint due = NextReport(node, now);
    if (now < due) {
      // Demand and candidates change without a notification.
      co_await http::WaitUntil(node.quota.wanted,
                               std::min(due, now + kProbeInterval));
      continue;
    }
    co_await SendReport(node);
  }
}

awaitable<std::optional<Duration>> TakeQuota(Node& node,
                                             const CallerRequest& request,
                                             const Cancellation& cancellation) {
  const std::string& account = request.terms.account;
  const auto found = node.quota.limits.find(account);
  if (account.empty() || found == node.quota.limits.end()) {
    co_return std::nullopt;
  }
  limits::QuotaShares& shares = node.quota.shares;
  const limits::QuotaLimit limit = found->second;
  const TimePoint now = base::BootClock::now();
  const bool is_new = !limits::HasReport(shares, now);
  limits::RecordQuotaDemand(shares, account, limit, now);
  if (is_new) {
    http::Notify(node.quota.wanted);
  }
  const std::uint32_t waiting = WaitingRequests(node, account);
  if (waiting == 0 && limits::TryTake(shares, account, limit, now)) {
    co_return std::nullopt;
  }
  const TimePoint until = WaitLimit(request, now);
  if (waiting < kMaxWaiting &&
      MayComeInTime(node, account, waiting, now, until)) {
    const bool taken = co_await AwaitToken(node, account, until, cancellation);
    if (taken) {
      co_return std::nullopt;
    }
  }
  if (!cancellation.cause) {
    Count(node, "quota_refused_total");
  }
  co_return limits::RetryAfter(shares, account, base::BootClock::now());
}

awaitable<void> RefuseOverQuota(Node& node,
                                http::Exchange& exchange,
                                const CallerRequest& request,
                                const Cancellation& cancellation,
                                Duration retry_after) {
  if (cancellation.cause == base::ErrorKind::kCancelled) {
    Log(node.log, EventKind::kCallerLeft, {{"request", request.terms.id}});
    http::Abort(exchange);
  } else if (cancellation.cause) {
    co_await SendRefusal(node, exchange, request, NotRunProof::NeverSent(),
                         *cancellation.cause);
  } else {
    co_await SendLimitRefusal(node, exchange, request, NotRunProof::NeverSent(),
                              retry_after);
  }
}

void ReturnQuota(Node& node, const RequestTerms& terms) {
  if (!terms.account.empty()) {
    limits::GiveBack(node.quota.shares, terms.account, base::BootClock::now());
  }
}

}  // namespace eelgrassbridge::node
