// Admission to the target beside the daemon, and the execution of requests.
#include "eelgrassbridge/node/target_run.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "eelgrassbridge/http/endpoint.hpp"
#include "eelgrassbridge/node/account.hpp"
#include "eelgrassbridge/node/crash_watch.hpp"
#include "eelgrassbridge/node/key_demand.hpp"
#include "eelgrassbridge/node/link_share.hpp"
#include "eelgrassbridge/node/target_capacity.hpp"
#include "eelgrassbridge/node/target_pace.hpp"
#include "eelgrassbridge/node/target_slot.hpp"
#include "eelgrassbridge/node/transmit.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;
using base::TimePoint;

/// Subtracted from the deadline given to the target, so that an answer at that
/// deadline still reaches the caller in time.
constexpr base::Duration kDeadlineMargin = base::milliseconds{10};

/// Latest time to start the run. One that starts with less time left than it
/// needs would be useless. It is expected to need the mean run time of the
/// target, but no more than its own objective: a target that also runs longer
/// requests would otherwise refuse short ones that it has time for. Where the
/// run times of each kind of request are learned, they are used instead.
TimePoint LatestStart(const Node& node,
                      const RequestTerms& terms,
                      TimePoint now) {
  if (const auto latest = LearnedLatestStart(node, terms, now)) {
    return std::min(*latest, terms.deadline - kDeadlineMargin);
  }
  const auto mean_run_time = base::Duration{
      static_cast<std::int64_t>(node.admission.limiter.run_time_us)};
  const base::Duration run_time = std::min(mean_run_time, terms.objective);
  return std::min(terms.deadline - std::max(kDeadlineMargin, run_time),
                  now + terms.max_wait);
}

/// Reason to refuse the request whatever the load: its account was withdrawn,
/// there is no target, it is leaving or out of service, or it is not the one
/// that the sender has chosen.
std::optional<ErrorKind> RefusalReason(const Node& node,
                                       const RequestTerms& terms) {
  if (!IsAccountInForce(node, terms)) {
    return ErrorKind::kUnauthorized;
  }
  if (terms.service != node.settings.service || node.target.id.empty()) {
    return ErrorKind::kNoTarget;
  }
  if (!terms.target.empty() && terms.target != node.target.id) {
    return ErrorKind::kNoTarget;
  }
  if (!TargetTakesRequests(node) || node.refusing_requests) {
    return ErrorKind::kDraining;
  }
  if (limits::IsPaceUnknown(node.admission.limiter.pace,
                            base::BootClock::now())) {
    return ErrorKind::kNotReady;
  }
  return std::nullopt;
}

/// Checks again, at the moment at which the request is to be sent, what may
/// have changed since it was admitted.
std::optional<ErrorKind> RefusalAtSend(const Node& node,
                                       const RequestTerms& terms) {
  if (const auto reason = RefusalReason(node, terms)) {
    return reason;
  }
  const TimePoint now = base::BootClock::now();
  if (terms.key && !IsGranted(node.target, *terms.key, now)) {
    return ErrorKind::kNotOwner;
  }
  const bool may_send = limits::MaySend(node.admission.limiter.pace, now);
  return may_send ? std::nullopt : std::optional(ErrorKind::kOverloaded);
}

bool OwnsKey(const Node& node, const RequestTerms& terms) {
  const auto found = node.ranges.find(terms.service);
  if (found == node.ranges.end()) {
    return false;
  }
  const ranges::RangeEntry* const entry =
      ranges::FindEntry(found->second.map, *terms.key);
  return entry != nullptr && entry->next_daemon.empty() &&
         entry->owner.daemon == node.settings.peers;
}

/// Waits until the target has been granted the key. Returns the reason if that
/// does not happen by `latest`, or if the request is cancelled.
awaitable<std::optional<ErrorKind>> AwaitKey(Node& node,
                                             const RequestTerms& terms,
                                             TimePoint latest,
                                             Cancellation& cancellation) {
  cancellation.abort = [&node] { http::Notify(node.target_changed); };
  bool granted = IsGranted(node.target, *terms.key, base::BootClock::now());
  while (!granted && !cancellation.cause && OwnsKey(node, terms) &&
         base::BootClock::now() < latest) {
    co_await http::WaitUntil(node.target_changed, latest);
    granted = IsGranted(node.target, *terms.key, base::BootClock::now());
  }
  cancellation.abort = nullptr;
  if (cancellation.cause) {
    co_return cancellation.cause;
  }
  co_return granted ? std::nullopt : std::optional(ErrorKind::kNotOwner);
}

http::Headers HeadersForTarget(const Node& node,
                               const RequestTerms& terms,
                               const Message& message) {
  const HeaderNames& names = node.port.headers;
  http::Headers headers = message.headers;
  RemoveAccountHeaders(node, headers);
  if (!terms.account.empty()) {
    http::Set(headers, names.account, terms.account);
  }
  const std::int64_t left = MillisecondsLeft(terms.deadline - kDeadlineMargin,
                                             base::BootClock::now());
  headers.push_back({names.time_left, fmt::format("{}", left)});
  headers.push_back({names.expected_target, node.target.id});
  headers.push_back({names.caller_service, terms.caller_service});
  return headers;
}

limits::RunEnd RunEndOf(const RunResult& result) {
  switch (result.outcome) {
    case base::Outcome::kAnswered:
      return limits::RunEnd::kAnswered;
    case base::Outcome::kNotRun:
      return limits::RunEnd::kRefused;
    case base::Outcome::kUnknown:
      break;
  }
  return result.cause == ErrorKind::kCancelled ? limits::RunEnd::kCancelled
                                               : limits::RunEnd::kFailed;
}

/// Turns an answer that proves that the target has not run the request into
/// kNotRun: it is not relayed to the caller yet, as another attempt may be
/// made.
void InterpretAnswer(const Node& node, RunResult& result) {
  if (result.outcome != base::Outcome::kAnswered) {
    return;
  }
  result.reached_target = true;
  if (const auto proof =
          NotRunProof::FromTarget(result.head, node.port.headers)) {
    result.outcome = base::Outcome::kNotRun;
    result.cause = ErrorKind::kTargetRefused;
    result.proof = *proof;
  }
}

/// Checks the state of the target, then waits for the grant of the key and for
/// a slot.
awaitable<base::Result<SlotPointer>> AdmitToTarget(
    Node& node,
    const RequestTerms& terms,
    CancellationPointer cancellation) {
  const TimePoint latest = LatestStart(node, terms, base::BootClock::now());
  if (const auto reason = RefusalReason(node, terms)) {
    co_return base::Fail(*reason, {});
  }
  if (terms.key) {
    const auto reason = co_await AwaitKey(node, terms, latest, *cancellation);
    if (reason) {
      co_return base::Fail(*reason, {});
    }
  }
  auto acquired = co_await AcquireSlot(node, terms, latest, cancellation);
  // The target may have started to leave while the request waited.
  const auto reason = RefusalReason(node, terms);
  if (acquired && reason) {
    co_return base::Fail(*reason, {});
  }
  co_return std::move(acquired);
}

/// Whether the answer will be a body that the link has to send.
bool UsesLink(const Node& node,
              const RequestTerms& terms,
              const Message& message) {
  return IsLinkLimited(node, terms) && message.method != "HEAD" &&
         !RefusalReason(node, terms);
}

double MillisecondsSince(TimePoint begin) {
  return std::chrono::duration<double, std::milli>(base::BootClock::now() -
                                                   begin)
      .count();
}

void LogTurnedAway(Node& node,
                   const RequestTerms& terms,
                   ErrorKind cause,
                   TimePoint arrived) {
  const TimePoint now = base::BootClock::now();
  const limits::TargetLimiter& limiter = node.admission.limiter;
  const auto cold = std::max(base::Duration{0}, limiter.pace.cold_until - now);
  Log(node.log, EventKind::kRequestTurnedAway,
      {{"request", terms.id},
       {"service", terms.service},
       {"target", node.target.id},
       {"cause", base::ErrorName(cause)},
       {"priority", std::int64_t{terms.priority}},
       {"waited_ms", MillisecondsSince(arrived)},
       {"in_flight", std::int64_t{limiter.in_flight}},
       {"queued", std::int64_t{limiter.queued}},
       {"slots", std::int64_t{limits::InFlightLimit(limiter)}},
       {"cold_ms", cold.count() / 1000},
       {"link_backlog_ms", LinkBacklog(node).count() / 1000},
       {"lease_held", std::int64_t{node.lease.held}},
       {"ranges_version", RangesVersion(node, terms.service)},
       {"report_sequence", static_cast<std::int64_t>(node.target.sequence)}});
}

void LogRun(Node& node,
            const RequestTerms& terms,
            const RunResult& result,
            const SendRecord& send,
            base::Duration waited) {
  Log(node.log, EventKind::kRequestRun,
      {{"request", terms.id},
       {"service", terms.service},
       {"target", node.target.id},
       {"outcome", base::OutcomeName(result.outcome)},
       {"cause", result.outcome == base::Outcome::kAnswered
                     ? std::string_view{}
                     : base::ErrorName(result.cause)},
       {"status", std::int64_t{result.head.status}},
       {"waited_ms", std::chrono::duration<double, std::milli>(waited).count()},
       {"in_flight", std::int64_t{InFlight(node)}},
       {"cold_ms", send.cold_left.count() / 1000},
       {"sent_last_second", static_cast<std::int64_t>(send.sent_last_second)},
       {"ranges_version", RangesVersion(node, terms.service)},
       {"report_sequence", static_cast<std::int64_t>(node.target.sequence)}});
}

/// Whether a request for the key counts as demand for this daemon's target.
/// With adaptive limits the demand of all owners is added up by key, so a
/// request that arrives by an outdated map counts only at the owner.
bool IsDemandHere(const Node& node, std::uint32_t key) {
  if (!node.demand.adaptive) {
    return true;
  }
  const auto found = node.ranges.find(node.settings.service);
  const ranges::RangeEntry* const entry =
      found == node.ranges.end() ? nullptr
                                 : ranges::FindEntry(found->second.map, key);
  return entry == nullptr || entry->owner.daemon == node.settings.peers;
}

bool IsRefusalOfFullTarget(ErrorKind kind) {
  return kind == ErrorKind::kOverloaded ||
         kind == ErrorKind::kDeadlineBeforeRun;
}

/// Counts a request for a key that was refused after its arrival was counted,
/// and lets the lease tell it soon.
void NoteRefusal(Node& node, const RequestTerms& terms, ErrorKind kind) {
  if (!terms.key || !IsRefusalOfFullTarget(kind) ||
      !IsDemandHere(node, *terms.key)) {
    return;
  }
  RecordRefusal(node.demand);
  if (IsLoadNews(node.demand, base::BootClock::now())) {
    http::Notify(node.lease_inputs_changed);
  }
}

/// Refuses a download for lack of room on the link.
RunResult RefuseForLink(Node& node,
                        const RequestTerms& terms,
                        TimePoint arrived) {
  Count(node, "link_refused_total", "stage=\"admission\"");
  RunResult refused = TurnAway(node, terms, ErrorKind::kOverloaded, arrived);
  refused.retry_after = LinkBacklog(node);
  return refused;
}

/// Checks again, at the moment at which the request is to be sent, that its
/// answer finds room on the link. Counts a refusal.
std::optional<ErrorKind> LinkRefusalAtSend(Node& node, const LinkShare* link) {
  if (link == nullptr || IsLinkInTime(*link)) {
    return std::nullopt;
  }
  Count(node, "link_refused_total", "stage=\"send\"");
  return ErrorKind::kOverloaded;
}

/// Waits for a slot and runs the request in it. `link` is the reservation of a
/// download, or null.
awaitable<RunResult> RunInSlot(Node& node,
                               const RequestTerms& terms,
                               const Message& message,
                               CancellationPointer cancellation,
                               const LinkShare* link,
                               TimePoint arrived) {
  auto admitted = co_await AdmitToTarget(node, terms, cancellation);
  if (!admitted) {
    NoteRefusal(node, terms, admitted.error().kind);
    co_return TurnAway(node, terms, admitted.error().kind, arrived);
  }
  const SlotPointer slot = std::move(admitted.value());
  const TimePoint sent_at = base::BootClock::now();
  Transmission transmission;
  transmission.pool = &node.targets;
  transmission.endpoint = *http::ParseEndpoint(node.settings.target_address);
  transmission.headers = HeadersForTarget(node, terms, message);
  transmission.request_id = terms.id;
  SendRecord send;
  bool link_refused = false;
  transmission.before_send = [&node, &terms, &slot, &send, &link_refused,
                              link] {
    auto refusal = RefusalAtSend(node, terms);
    if (!refusal) {
      refusal = LinkRefusalAtSend(node, link);
      link_refused = refusal.has_value();
    }
    if (refusal) {
      Count(node, "target_sends_stopped_total",
            fmt::format("cause=\"{}\"", base::ErrorName(*refusal)));
      return refusal;
    }
    slot->sent = true;
    send = RecordSend(node);
    return refusal;
  };
  RunResult result =
      co_await Transmit(node, message, std::move(transmission), cancellation);
  InterpretAnswer(node, result);
  RecordRunEnd(node, terms, message, result, sent_at);
  RecordCapacityRun(node, terms, slot->run_start, result, send, sent_at);
  slot->end = RunEndOf(result);
  if (result.outcome == base::Outcome::kAnswered) {
    const TimePoint ended = base::BootClock::now();
    RecordRunTime(node.demand, ended - sent_at);
    if (send.cold_left <= base::Duration{0}) {
      RecordSteadyRunTime(node.demand, ended - sent_at, ended);
    }
  }
  if (!result.body_complete) {
    result.slot = slot;
  }
  LogRun(node, terms, result, send, sent_at - arrived);
  if (link_refused) {
    result.retry_after = LinkBacklog(node);
  }
  co_return result;
}

}  // namespace

void RecordRefusedArrival(Node& node,
                          const RequestTerms& terms,
                          ErrorKind cause,
                          TimePoint arrived) {
  if (!node.demand.adaptive || !terms.key || !IsRefusalOfFullTarget(cause) ||
      !IsDemandHere(node, *terms.key)) {
    return;
  }
  RecordArrival(node.demand, *terms.key, arrived);
  NoteRefusal(node, terms, cause);
}

awaitable<RunResult> RunOnTarget(Node& node,
                                 const RequestTerms& terms,
                                 const Message& message,
                                 CancellationPointer cancellation) {
  const TimePoint arrived = base::BootClock::now();
  if (terms.key && IsDemandHere(node, *terms.key)) {
    RecordArrival(node.demand, *terms.key, arrived);
  }
  if (!UsesLink(node, terms, message)) {
    co_return co_await RunInSlot(node, terms, message, std::move(cancellation),
                                 nullptr, arrived);
  }
  const LinkSharePointer link = ReserveLink(node, terms, cancellation);
  if (!link) {
    co_return RefuseForLink(node, terms, arrived);
  }
  RunResult result = co_await RunInSlot(
      node, terms, message, std::move(cancellation), link.get(), arrived);
  if (result.outcome == base::Outcome::kAnswered) {
    co_await AwaitLinkTurn(link, result);
  }
  co_return result;
}

RunResult TurnAway(Node& node,
                   const RequestTerms& terms,
                   ErrorKind cause,
                   TimePoint arrived) {
  LogTurnedAway(node, terms, cause, arrived);
  return NotRunResult(cause, NotRunProof::NeverSent());
}

std::optional<ErrorKind> ExpectedRefusal(const Node& node,
                                         const RequestTerms& terms) {
  if (const auto reason = RefusalReason(node, terms)) {
    return reason;
  }
  if (!HasLinkRoom(node, terms)) {
    return ErrorKind::kOverloaded;
  }
  const Admission& admission = node.admission;
  const TimePoint now = base::BootClock::now();
  if (terms.max_wait <= base::Duration{0} &&
      !limits::CanStartNow(admission.limiter, now)) {
    return ErrorKind::kOverloaded;
  }
  limits::AdmissionRequest request =
      AdmissionRequestOf(terms, LatestStart(node, terms, now), now);
  request.others_ahead = admission.arriving_bodies;
  return limits::ExpectedRefusal(admission.limiter, request, now);
}

std::uint32_t InFlight(const Node& node) {
  return node.admission.limiter.in_flight + node.admission.limiter.queued +
         node.admission.arriving_bodies;
}

void RefreshAdmission(Node& node) {
  RefreshLink(node);
  limits::TargetLimiter& limiter = node.admission.limiter;
  const catalogue::RoutedService* const service =
      node.routes ? catalogue::FindService(*node.routes, node.settings.service)
                  : nullptr;
  if (service != nullptr) {
    limiter.pace.requests_per_second = service->cold_requests_per_second;
  }
  if (service != nullptr && node.target.slots > 0) {
    limits::SetTargetBounds(
        limiter, node.target.slots,
        std::max(node.target.slots, service->max_connections),
        base::BootClock::now());
  }
  RefreshCapacity(node);
  limits::SetAccepting(limiter, TargetTakesRequests(node));
  limits::RefuseUnreachable(limiter, base::BootClock::now());
  DispatchWaiters(node);
}

}  // namespace eelgrassbridge::node
