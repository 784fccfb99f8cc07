// Checks, residency, choice of owner or peer, and bounded waiting for an owner.
#include "eelgrassbridge/daemon/request_handler.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <thread>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Pause between two attempts while a group has no owner that answers.
constexpr base::Duration kOwnerRetryPause = base::milliseconds{20};

/// @brief A request with all that the catalogue says about it.
struct PlannedRequest {
  const CallerRequest& request;
  const catalogue::Service& service;
  const catalogue::RequestKind& kind;
  const std::vector<std::string>& home_regions;
  base::TimePoint deadline;
};

bool IsHomeRegion(const PlannedRequest& planned, std::string_view region) {
  return std::ranges::find(planned.home_regions, region) !=
         planned.home_regions.end();
}

CallerAnswer WrongRegion(const PlannedRequest& planned,
                         const RoutingView& view) {
  CallerAnswer answer =
      ErrorAnswer(base::ErrorKind::kWrongRegion,
                  "the client account may not be served in this region");
  if (view.peers != nullptr) {
    for (const auto& [id, peer] : *view.peers) {
      if (peer.may_get_work && IsHomeRegion(planned, peer.region)) {
        answer.headers.push_back(
            {std::string(kOwnerHeader),
             fmt::format("{}:{}", peer.http.ip, peer.http.port)});
        break;
      }
    }
  }
  return answer;
}

CallerAnswer Forward(RequestContext& context,
                     const PlannedRequest& planned,
                     const PeerView& peer) {
  const CallerRequest& request = planned.request;
  if (request.hops >= kMaxHops) {
    return ErrorAnswer(base::ErrorKind::kTooManyHops,
                       "the request was forwarded too often");
  }
  ExchangeRequest exchange{request.method, request.target, {}, request.body};
  for (const Header& header : request.headers) {
    if (header.name != kHopsHeader && header.name != kDeadlineHeader) {
      exchange.headers.push_back(header);
    }
  }
  const auto left = std::chrono::duration_cast<base::milliseconds>(
      planned.deadline - base::BootClock::now());
  exchange.headers.push_back(
      {std::string(kHopsHeader), std::to_string(request.hops + 1)});
  exchange.headers.push_back(
      {std::string(kDeadlineHeader),
       std::to_string(std::max<std::int64_t>(0, left.count()))});
  base::GetCounter(context.counters, "forwarded_requests_total").fetch_add(1);
  auto answer = Exchange(context.peers, peer.http, exchange, planned.deadline,
                         kPeerErrors);
  if (!answer) {
    return ErrorAnswer(answer.error().kind, answer.error().detail);
  }
  CallerAnswer converted = ReadPeerAnswer(std::move(answer).value());
  if (FindHeader(converted.headers, kOwnerHeader).empty()) {
    converted.headers.push_back(
        {std::string(kOwnerHeader),
         fmt::format("{}:{}", peer.http.ip, peer.http.port)});
  }
  return converted;
}

CallerAnswer RunOwned(RequestContext& context,
                      const PlannedRequest& planned,
                      GroupGate& gate) {
  if (!TryEnter(gate, base::BootClock::now())) {
    return ErrorAnswer(base::ErrorKind::kNoOwner,
                       "this daemon may not serve the group now");
  }
  CallerAnswer answer =
      RunOnTarget(context.target, planned.request,
                  {&gate, planned.service.run_limit, planned.deadline});
  Leave(gate);
  return answer;
}

CallerAnswer TryDivided(RequestContext& context,
                        const PlannedRequest& planned,
                        const RoutingView& view) {
  const base::GroupId group = GroupForKey(
      view, planned.service, catalogue::ResidencyName(planned.home_regions),
      planned.request.key);
  if (const auto gate = view.owned.find(group); gate != view.owned.end()) {
    return RunOwned(context, planned, *gate->second);
  }
  const GroupOwner owner = FindOwner(view, group);
  if (!owner.owner || owner.owner == view.self || view.peers == nullptr) {
    return ErrorAnswer(base::ErrorKind::kNoOwner,
                       "the group of the key has no owner now");
  }
  const auto peer = view.peers->find(owner.owner);
  if (peer == view.peers->end()) {
    return ErrorAnswer(base::ErrorKind::kNoOwner,
                       "the owner of the group is not reachable now");
  }
  return Forward(context, planned, peer->second);
}

CallerAnswer TryUndivided(RequestContext& context,
                          const PlannedRequest& planned,
                          const RoutingView& view) {
  const settings::Settings& own = context.settings;
  if (own.target.service == planned.service.name && !view.draining) {
    return RunOnTarget(context.target, planned.request,
                       {nullptr, planned.service.run_limit, planned.deadline});
  }
  if (view.peers != nullptr) {
    for (const auto& [id, peer] : *view.peers) {
      if (peer.may_get_work && peer.service == planned.service.name &&
          IsHomeRegion(planned, peer.region)) {
        return Forward(context, planned, peer);
      }
    }
  }
  return ErrorAnswer(base::ErrorKind::kNoTarget,
                     "no target of the service takes requests now");
}

/// A refusal that is proved not run and that a newer view may cure.
bool IsCuredByNewView(const CallerAnswer& answer) {
  if (!answer.error) {
    return false;
  }
  switch (*answer.error) {
    case base::ErrorKind::kNoOwner:
    case base::ErrorKind::kNotOwner:
    case base::ErrorKind::kPeerUnreachable:
    case base::ErrorKind::kNoTarget:
      return true;
    default:
      return false;
  }
}

CallerAnswer RunPlanned(RequestContext& context,
                        const PlannedRequest& planned) {
  for (;;) {
    const auto view = context.routing.view.load();
    CallerAnswer answer = planned.service.divided_by_key
                              ? TryDivided(context, planned, *view)
                              : TryUndivided(context, planned, *view);
    const bool is_entry = planned.request.hops == 0;
    const bool has_time =
        base::BootClock::now() + kOwnerRetryPause < planned.deadline;
    if (!IsCuredByNewView(answer) || !is_entry || !has_time) {
      return answer;
    }
    std::this_thread::sleep_for(kOwnerRetryPause);
  }
}

CallerAnswer Plan(RequestContext& context, const CallerRequest& request) {
  const auto view = context.routing.view.load();
  if (view == nullptr || !view->ready || view->catalogue == nullptr) {
    return ErrorAnswer(base::ErrorKind::kNotReady,
                       "this daemon has no catalogue yet");
  }
  const catalogue::Catalogue& catalogue = *view->catalogue;
  const catalogue::Service* service =
      catalogue::FindService(catalogue, request.service);
  if (service == nullptr) {
    return ErrorAnswer(base::ErrorKind::kUnknownService,
                       "the catalogue has no such service");
  }
  const catalogue::RequestKind* kind =
      catalogue::FindKind(*service, request.kind);
  if (kind == nullptr) {
    return ErrorAnswer(base::ErrorKind::kUnknownKind,
                       "the service has no such request kind");
  }
  const base::Duration allowed =
      std::min(request.allowed_time.value_or(kind->deadline), kind->deadline);
  const PlannedRequest planned{
      request, *service, *kind,
      catalogue::HomeRegions(
          *service, catalogue::FindAccount(catalogue, request.account)),
      request.received_at + allowed};
  if (!IsHomeRegion(planned, context.settings.region)) {
    return WrongRegion(planned, *view);
  }
  if (service->divided_by_key && request.key.empty()) {
    return ErrorAnswer(base::ErrorKind::kBadRequest,
                       "the service needs the header Eelgrassbridge-Key");
  }
  return RunPlanned(context, planned);
}

void CountOutcome(RequestContext& context, const CallerAnswer& answer) {
  const std::string_view name =
      answer.error ? base::ErrorName(*answer.error) : "none";
  base::GetCounter(context.counters, "requests_total",
                   fmt::format("outcome=\"{}\",error=\"{}\"",
                               base::OutcomeName(answer.outcome), name))
      .fetch_add(1);
}

}  // namespace

CallerAnswer HandleRequest(RequestContext& context, CallerRequest request) {
  request.received_at = base::BootClock::now();
  CallerAnswer answer;
  if (auto parsed = ParseCallerRequest(request); !parsed) {
    answer = ErrorAnswer(parsed.error().kind, parsed.error().detail);
  } else {
    answer = Plan(context, request);
  }
  base::Record(context.latency, base::BootClock::now() - request.received_at);
  CountOutcome(context, answer);
  return answer;
}

}  // namespace eelgrassbridge::daemon
