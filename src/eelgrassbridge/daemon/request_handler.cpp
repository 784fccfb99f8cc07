// The steps of handling a request: parse it, resolve it in the catalogue,
// acquire the account's limits, and make attempts until one is final.
#include "eelgrassbridge/daemon/request_handler.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <thread>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/daemon/attempt.hpp"
#include "eelgrassbridge/daemon/forward_proof.hpp"
#include "eelgrassbridge/daemon/hedger.hpp"
#include "eelgrassbridge/routing/deadline.hpp"
#include "eelgrassbridge/routing/residency_check.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Delay between attempts while no owner or target is available.
constexpr base::Duration kUnavailableRetryDelay = base::milliseconds{20};
/// Maximum number of targets tried for a request of an undivided service.
constexpr std::size_t kMaxTargetsTried = 3;

CallerAnswer WrongRegion(const RoutingView& view,
                         const std::vector<std::string>& home_regions) {
  CallerAnswer answer =
      ErrorAnswer(base::ErrorKind::kWrongRegion,
                  "the client account may not be served in this region");
  if (view.peers == nullptr) {
    return answer;
  }
  for (const auto& [id, peer] : *view.peers) {
    if (peer.accepts_requests &&
        routing::IsHomeRegion(home_regions, peer.region)) {
      answer.headers.push_back(
          {std::string(kOwnerHeader),
           fmt::format("{}:{}", peer.http.ip, peer.http.port)});
      break;
    }
  }
  return answer;
}

/// @brief The limits that apply to a request. `refs` refers to `names`.
struct RequestLimits {
  std::array<std::string, 3> names;
  std::vector<limits::LimitRef> refs;
};

void AddLimit(RequestLimits& request_limits,
              std::size_t place,
              std::string name,
              const catalogue::Limits& bound) {
  if (bound.requests_per_second == 0 && bound.in_flight == 0) {
    return;
  }
  request_limits.names[place] = std::move(name);
  request_limits.refs.push_back({request_limits.names[place],
                                 bound.requests_per_second, bound.in_flight});
}

void FillLimits(RequestLimits& request_limits,
                const routing::EntryFacts& entry) {
  if (entry.account != nullptr) {
    AddLimit(request_limits, 0, limits::AccountLimitName(entry.account->name),
             entry.account->limits);
  }
  AddLimit(request_limits, 1, limits::ServiceLimitName(entry.service->name),
           entry.service->limits);
  AddLimit(request_limits, 2,
           limits::KindLimitName(entry.service->name, entry.kind->name),
           entry.kind->limits);
}

/// Returns whether the request failed without being run, for a reason that a
/// newer routing view may remove.
bool IsRetryableWithNewView(const CallerAnswer& answer) {
  if (!answer.error) {
    return false;
  }
  switch (*answer.error) {
    case base::ErrorKind::kNoOwner:
    case base::ErrorKind::kNotOwner:
    case base::ErrorKind::kPeerUnreachable:
    case base::ErrorKind::kNoTarget:
    case base::ErrorKind::kDraining:
      return true;
    default:
      return false;
  }
}

/// Returns whether the request failed without being run, for a reason that may
/// not apply to another target of the service.
bool IsRetryableElsewhere(const CallerAnswer& answer) {
  if (!answer.error || answer.outcome != base::Outcome::kNotRun) {
    return false;
  }
  switch (*answer.error) {
    case base::ErrorKind::kOverloaded:
    case base::ErrorKind::kTargetRefused:
    case base::ErrorKind::kTargetUnreachable:
    case base::ErrorKind::kPeerUnreachable:
    case base::ErrorKind::kDraining:
    case base::ErrorKind::kNotOwner:
    case base::ErrorKind::kNotReady:
      return true;
    default:
      return false;
  }
}

/// Returns whether the connection to another daemon was lost while it handled
/// an idempotent request, which may be run again. After target_lost it may not,
/// since the request is suspected of killing the target.
bool IsRepeatable(const ResolvedRequest& resolved, const CallerAnswer& answer) {
  return resolved.entry.kind->idempotent &&
         answer.error == base::ErrorKind::kPeerLost;
}

bool HasTimeForRetry(const ResolvedRequest& resolved) {
  return base::BootClock::now() + kUnavailableRetryDelay < resolved.deadline;
}

/// Makes attempts at the owner of the key. Retries with newer routing views
/// while no owner is available.
CallerAnswer RunDivided(RequestContext& context,
                        const ResolvedRequest& resolved) {
  for (;;) {
    const auto view = context.routing.view.load();
    CallerAnswer answer = AttemptDivided(context, *view, resolved);
    const bool may_retry =
        resolved.request.hops == 0 && HasTimeForRetry(resolved);
    if (!may_retry ||
        !(IsRetryableWithNewView(answer) || IsRepeatable(resolved, answer))) {
      return answer;
    }
    std::this_thread::sleep_for(kUnavailableRetryDelay);
  }
}

/// Makes attempts at different targets, within the retry budget.
CallerAnswer RunUndivided(RequestContext& context,
                          const ResolvedRequest& resolved) {
  std::vector<base::DaemonId> tried;
  for (;;) {
    const auto view = context.routing.view.load();
    Attempt attempt =
        context.hedger == nullptr
            ? AttemptUndivided(context, *view, resolved, tried)
            : AttemptHedged(*context.hedger, view, resolved, tried);
    if (resolved.request.hops > 0 || !HasTimeForRetry(resolved)) {
      return std::move(attempt.answer);
    }
    const bool is_retryable = IsRetryableElsewhere(attempt.answer) ||
                              IsRepeatable(resolved, attempt.answer);
    if (attempt.target && is_retryable) {
      tried.push_back(*attempt.target);
      if (tried.size() >= kMaxTargetsTried ||
          !TakeRetry(context, resolved, *attempt.target)) {
        return std::move(attempt.answer);
      }
      context.request_counters.retried.fetch_add(1);
    } else if (attempt.answer.error == base::ErrorKind::kNoTarget &&
               tried.empty()) {
      std::this_thread::sleep_for(kUnavailableRetryDelay);
    } else {
      return std::move(attempt.answer);
    }
  }
}

CallerAnswer RunResolved(RequestContext& context,
                         const ResolvedRequest& resolved) {
  return resolved.entry.service->divided_by_key
             ? RunDivided(context, resolved)
             : RunUndivided(context, resolved);
}

/// Runs the request within its limits. Only the entry daemon acquires them, so
/// that a forwarded request is not counted twice.
CallerAnswer RunWithinLimits(RequestContext& context,
                             const ResolvedRequest& resolved) {
  RequestLimits request_limits;
  if (!resolved.request.is_forwarded) {
    FillLimits(request_limits, resolved.entry);
  }
  if (request_limits.refs.empty()) {
    return RunResolved(context, resolved);
  }
  {
    const std::scoped_lock lock(context.accounts.mutex);
    const auto refusal = limits::AcquireAll(
        context.accounts.limiter, request_limits.refs, base::BootClock::now());
    if (refusal) {
      return ErrorAnswer(*refusal, "a limit set in the catalogue is exceeded");
    }
  }
  CallerAnswer answer = RunResolved(context, resolved);
  const std::scoped_lock lock(context.accounts.mutex);
  limits::Release(context.accounts.limiter, request_limits.refs);
  return answer;
}

void RecordBurn(RequestContext& context,
                const CallerRequest& request,
                const routing::EntryFacts& entry,
                const CallerAnswer& answer) {
  if (request.is_forwarded) {
    return;
  }
  report::RecordOutcome(
      context.burn,
      {entry.service->name, entry.kind->name,
       report::AccountClass(entry.account)},
      answer.outcome, base::BootClock::now() - request.received_at,
      entry.kind->objective.p99, base::UnixMilliseconds() / 1000);
}

/// Returns whether another daemon forwarded the request. Without keys, all
/// daemons use loopback addresses of one machine, and the hop count is trusted.
bool IsForwarded(const RequestContext& context, const CallerRequest& request) {
  return request.hops > 0 &&
         (!context.settings.keys ||
          IsValidForwardProof(context.settings.keys->secret_key,
                              FindHeader(request.headers, kForwardProofHeader),
                              base::UnixMilliseconds()));
}

CallerAnswer ResolveAndRun(RequestContext& context,
                           const CallerRequest& request) {
  const auto view = context.routing.view.load();
  if (view == nullptr) {
    return ErrorAnswer(base::ErrorKind::kNotReady,
                       "this daemon has no catalogue yet");
  }
  routing::RequestFacts facts;
  facts.service = request.service;
  facts.kind = request.kind;
  facts.account = request.account;
  routing::RoutingFacts known;
  known.ready = view->ready;
  known.own_region = context.settings.region;
  known.catalogue = view->catalogue.get();
  const auto entry = routing::FindEntry(facts, known);
  if (!entry) {
    if (entry.error().kind == base::ErrorKind::kWrongRegion) {
      const auto* service =
          catalogue::FindService(*view->catalogue, request.service);
      return WrongRegion(
          *view, catalogue::HomeRegions(
                     *service, catalogue::FindAccount(*view->catalogue,
                                                      request.account)));
    }
    return ErrorAnswer(entry.error().kind,
                       "the request is not allowed by the catalogue");
  }
  const ResolvedRequest resolved{
      request, entry.value(),
      catalogue::ResidencyName(*entry.value().home_regions),
      limits::ParseRequestId(request.request_id),
      routing::DeadlineOf(request.allowed_time, *entry.value().kind,
                          request.received_at)};
  CallerAnswer answer =
      DowngradeUnconfirmedRefusal(request, RunWithinLimits(context, resolved));
  if (answer.error != base::ErrorKind::kBadRequest &&
      answer.error != base::ErrorKind::kIdRequired) {
    RecordBurn(context, request, entry.value(), answer);
  }
  return answer;
}

void CountOutcome(RequestContext& context, const CallerAnswer& answer) {
  if (answer.error) {
    context.request_counters.failed[static_cast<std::size_t>(*answer.error)]
        ->fetch_add(1);
  } else {
    context.request_counters.answered.fetch_add(1);
  }
}

}  // namespace

CallerAnswer HandleRequest(RequestContext& context, CallerRequest request) {
  request.received_at = base::BootClock::now();
  CallerAnswer answer;
  if (auto parsed = ParseCallerRequest(request); !parsed) {
    answer = ErrorAnswer(parsed.error().kind, parsed.error().detail);
  } else {
    request.is_forwarded = IsForwarded(context, request);
    answer = ResolveAndRun(context, request);
  }
  answer = DowngradeUnconfirmedRefusal(request, std::move(answer));
  base::AddSample(context.latency,
                  base::BootClock::now() - request.received_at);
  CountOutcome(context, answer);
  return answer;
}

}  // namespace eelgrassbridge::daemon
