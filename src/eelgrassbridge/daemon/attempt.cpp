// Facts for the plan, and the three things a plan can say.
#include "eelgrassbridge/daemon/attempt.hpp"

#include <algorithm>

#include "eelgrassbridge/daemon/forwarder.hpp"
#include "eelgrassbridge/daemon/local_run.hpp"
#include "eelgrassbridge/daemon/suspect_watch.hpp"
#include "eelgrassbridge/routing/residency_check.hpp"

namespace eelgrassbridge::daemon {

namespace {

routing::RequestFacts RequestFactsOf(const PlannedRequest& planned) {
  const CallerRequest& request = planned.request;
  routing::RequestFacts facts;
  facts.service = request.service;
  facts.kind = request.kind;
  facts.account = request.account;
  facts.key = request.key;
  facts.has_id = !request.request_id.empty();
  facts.id_malformed = facts.has_id && !planned.id;
  if (planned.id) {
    facts.id_issuer = planned.id->issuer;
  }
  facts.hops = request.hops;
  facts.body_bytes = request.body.size();
  facts.deadline = planned.deadline;
  return facts;
}

routing::RoutingFacts CommonFacts(RequestContext& context,
                                  const RoutingView& view,
                                  const PlannedRequest& planned) {
  routing::RoutingFacts facts;
  facts.self = view.self;
  facts.ready = view.ready;
  facts.draining = view.draining;
  facts.own_region = context.settings.region;
  facts.catalogue = view.catalogue.get();
  facts.poison = SuspectVerdict(context, planned.request);
  return facts;
}

const PeerView* FindHomePeer(const RoutingView& view,
                             const PlannedRequest& planned,
                             base::DaemonId id) {
  if (view.peers == nullptr) {
    return nullptr;
  }
  const auto found = view.peers->find(id);
  const bool is_usable =
      found != view.peers->end() &&
      routing::IsHomeRegion(*planned.entry.home_regions, found->second.region);
  return is_usable ? &found->second : nullptr;
}

CallerAnswer CarryOut(RequestContext& context,
                      const RoutingView& view,
                      const PlannedRequest& planned,
                      const routing::RequestPlan& plan,
                      GroupGate* gate) {
  if (const auto* const serve = std::get_if<routing::ServeHere>(&plan)) {
    return ServeLocally(context, view, planned, *serve, gate);
  }
  if (const auto* const forward = std::get_if<routing::ForwardTo>(&plan)) {
    const PeerView* const peer = FindHomePeer(view, planned, forward->peer);
    if (peer == nullptr) {
      return ErrorAnswer(base::ErrorKind::kPeerUnreachable,
                         "the daemon to forward to is not known any more");
    }
    CallerAnswer answer = ForwardToPeer(context, planned, *peer);
    if (answer.error == base::ErrorKind::kTargetLost) {
      NoteRemoteDeath(context, planned.request, answer);
    }
    return answer;
  }
  const base::ErrorKind refusal = std::get<routing::RefusePlan>(plan).kind;
  if (refusal == base::ErrorKind::kIdRequired) {
    return AskForId(context, view, planned, gate);
  }
  return ErrorAnswer(refusal, "the request was refused before it was run");
}

std::optional<base::DaemonId> PlannedTarget(const routing::RequestPlan& plan,
                                            base::DaemonId self) {
  if (const auto* const forward = std::get_if<routing::ForwardTo>(&plan)) {
    return forward->peer;
  }
  if (std::holds_alternative<routing::ServeHere>(plan)) {
    return self;
  }
  return std::nullopt;
}

}  // namespace

CallerAnswer AttemptDivided(RequestContext& context,
                            const RoutingView& view,
                            const PlannedRequest& planned) {
  if (IsResidencySettling(view.past, *planned.entry.service,
                          planned.request.account, *planned.entry.home_regions,
                          base::BootClock::now())) {
    return ErrorAnswer(base::ErrorKind::kNoOwner,
                       "the home regions of the account changed a moment ago "
                       "and its keys are moving");
  }
  const base::GroupId group = GroupForKey(
      view, *planned.entry.service, planned.residency, planned.request.key);
  const auto gate = view.owned.find(group);
  const GroupOwner owner = FindOwner(view, group);
  routing::RoutingFacts facts = CommonFacts(context, view, planned);
  facts.owned_here = gate != view.owned.end();
  facts.owner = owner.owner;
  facts.owner_reachable = FindHomePeer(view, planned, owner.owner) != nullptr;
  const routing::RequestPlan plan = routing::PlanRequest(
      RequestFactsOf(planned), facts, base::BootClock::now());
  return CarryOut(context, view, planned, plan,
                  facts.owned_here ? gate->second.get() : nullptr);
}

Attempt AttemptUndivided(RequestContext& context,
                         const RoutingView& view,
                         const PlannedRequest& planned,
                         std::span<const base::DaemonId> tried) {
  routing::RoutingFacts facts = CommonFacts(context, view, planned);
  facts.served_here =
      context.settings.target.service == planned.entry.service->name;
  facts.chosen = SelectTarget(context, view, planned, tried, planned.farthest);
  if (planned.id) {
    facts.issuer_reachable =
        planned.id->issuer == view.self ||
        FindHomePeer(view, planned, planned.id->issuer) != nullptr;
  }
  if (facts.poison == routing::PoisonVerdict::kSingleRun) {
    facts.suspect_daemon =
        routing::DaemonForSuspect(FingerprintOf(planned.request),
                                  EligibleDaemons(context, view, planned));
  }
  const routing::RequestPlan plan = routing::PlanRequest(
      RequestFactsOf(planned), facts, base::BootClock::now());
  const auto target = PlannedTarget(plan, view.self);
  if (!target) {
    return {CarryOut(context, view, planned, plan, nullptr), std::nullopt};
  }
  if (planned.chosen != nullptr) {
    planned.chosen->store(target->value);
  }
  const base::TimePoint sent_at = base::BootClock::now();
  NoteAttempt(context, planned, *target, tried.empty());
  CallerAnswer answer = CarryOut(context, view, planned, plan, nullptr);
  NoteAttemptEnd(context, planned, *target, answer,
                 base::BootClock::now() - sent_at);
  return {std::move(answer), target};
}

}  // namespace eelgrassbridge::daemon
