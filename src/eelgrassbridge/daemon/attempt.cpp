// Collects the inputs of routing::PlanRequest and executes its result: run
// here, forward, or refuse.
#include "eelgrassbridge/daemon/attempt.hpp"

#include <algorithm>

#include "eelgrassbridge/daemon/forwarder.hpp"
#include "eelgrassbridge/daemon/local_run.hpp"
#include "eelgrassbridge/daemon/suspect_watch.hpp"
#include "eelgrassbridge/routing/residency_check.hpp"

namespace eelgrassbridge::daemon {

namespace {

routing::RequestFacts RequestFactsOf(const ResolvedRequest& resolved) {
  const CallerRequest& request = resolved.request;
  routing::RequestFacts facts;
  facts.service = request.service;
  facts.kind = request.kind;
  facts.account = request.account;
  facts.key = request.key;
  facts.has_id = !request.request_id.empty();
  facts.id_malformed = facts.has_id && !resolved.id;
  if (resolved.id) {
    facts.id_issuer = resolved.id->issuer;
  }
  facts.hops = request.hops;
  facts.body_bytes = request.body.size();
  facts.deadline = resolved.deadline;
  return facts;
}

routing::RoutingFacts CommonFacts(RequestContext& context,
                                  const RoutingView& view,
                                  const ResolvedRequest& resolved) {
  routing::RoutingFacts facts;
  facts.self = view.self;
  facts.ready = view.ready;
  facts.draining = view.draining;
  facts.own_region = context.settings.region;
  facts.catalogue = view.catalogue.get();
  facts.poison = SuspectVerdict(context, resolved.request);
  return facts;
}

const PeerView* FindHomePeer(const RoutingView& view,
                             const ResolvedRequest& resolved,
                             base::DaemonId id) {
  if (view.peers == nullptr) {
    return nullptr;
  }
  const auto found = view.peers->find(id);
  const bool is_usable =
      found != view.peers->end() &&
      routing::IsHomeRegion(*resolved.entry.home_regions, found->second.region);
  return is_usable ? &found->second : nullptr;
}

CallerAnswer CarryOut(RequestContext& context,
                      const RoutingView& view,
                      const ResolvedRequest& resolved,
                      const routing::RequestPlan& plan,
                      GroupGate* gate) {
  if (const auto* const serve = std::get_if<routing::ServeHere>(&plan)) {
    return ServeLocally(context, view, resolved, *serve, gate);
  }
  if (const auto* const forward = std::get_if<routing::ForwardTo>(&plan)) {
    const PeerView* const peer = FindHomePeer(view, resolved, forward->peer);
    if (peer == nullptr) {
      return ErrorAnswer(base::ErrorKind::kPeerUnreachable,
                         "the daemon to forward to is no longer known");
    }
    CallerAnswer answer = ForwardToPeer(context, resolved, *peer);
    if (answer.error == base::ErrorKind::kTargetLost) {
      RecordRemoteTargetDeath(context, resolved.request, answer);
    }
    return answer;
  }
  const base::ErrorKind refusal = std::get<routing::RefusePlan>(plan).kind;
  if (refusal == base::ErrorKind::kIdRequired) {
    return MakeIdRequiredAnswer(context, view, resolved, gate);
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
                            const ResolvedRequest& resolved) {
  if (IsResidencySettling(view.replaced_catalogues, *resolved.entry.service,
                          resolved.request.account,
                          *resolved.entry.home_regions,
                          base::BootClock::now())) {
    return ErrorAnswer(base::ErrorKind::kNoOwner,
                       "the home regions of the account changed recently and "
                       "its keys are being moved");
  }
  const base::GroupId group = GroupForKey(
      view, *resolved.entry.service, resolved.residency, resolved.request.key);
  const auto gate = view.owned.find(group);
  const GroupOwner owner = FindOwner(view, group);
  routing::RoutingFacts facts = CommonFacts(context, view, resolved);
  facts.owned_here = gate != view.owned.end();
  facts.owner = owner.owner;
  facts.owner_reachable = FindHomePeer(view, resolved, owner.owner) != nullptr;
  const routing::RequestPlan plan = routing::PlanRequest(
      RequestFactsOf(resolved), facts, base::BootClock::now());
  return CarryOut(context, view, resolved, plan,
                  facts.owned_here ? gate->second.get() : nullptr);
}

Attempt AttemptUndivided(RequestContext& context,
                         const RoutingView& view,
                         const ResolvedRequest& resolved,
                         std::span<const base::DaemonId> tried) {
  routing::RoutingFacts facts = CommonFacts(context, view, resolved);
  facts.served_here =
      context.settings.target.service == resolved.entry.service->name;
  facts.chosen =
      SelectTarget(context, view, resolved, tried, resolved.farthest);
  if (resolved.id) {
    facts.issuer_reachable =
        resolved.id->issuer == view.self ||
        FindHomePeer(view, resolved, resolved.id->issuer) != nullptr;
  }
  if (facts.poison == routing::PoisonVerdict::kSingleRun) {
    facts.suspect_daemon =
        routing::DaemonForSuspect(FingerprintOf(resolved.request),
                                  EligibleDaemons(context, view, resolved));
  }
  const routing::RequestPlan plan = routing::PlanRequest(
      RequestFactsOf(resolved), facts, base::BootClock::now());
  const auto target = PlannedTarget(plan, view.self);
  if (!target) {
    return {CarryOut(context, view, resolved, plan, nullptr), std::nullopt};
  }
  if (resolved.chosen_target != nullptr) {
    resolved.chosen_target->store(target->value);
  }
  const base::TimePoint sent_at = base::BootClock::now();
  RecordAttempt(context, resolved, *target, tried.empty());
  CallerAnswer answer = CarryOut(context, view, resolved, plan, nullptr);
  RecordAttemptEnd(context, resolved, *target, answer,
                   base::BootClock::now() - sent_at);
  return {std::move(answer), target};
}

}  // namespace eelgrassbridge::daemon
