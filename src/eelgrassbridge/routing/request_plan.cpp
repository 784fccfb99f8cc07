// Checks a request in a fixed order: residency and catalogue first, then the
// request itself, then ownership or the choice of a target.
#include "eelgrassbridge/routing/request_plan.hpp"

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/routing/residency_check.hpp"

namespace eelgrassbridge::routing {

namespace {

using base::ErrorKind;

RequestPlan Refuse(ErrorKind kind) {
  return RefusePlan{kind};
}

bool IsOver(std::uint64_t bytes, const catalogue::Limits& limits) {
  return limits.max_body_bytes != 0 && bytes > limits.max_body_bytes;
}

bool IsBodyTooLarge(std::uint64_t bytes, const EntryFacts& entry) {
  return IsOver(bytes, entry.service->limits) ||
         IsOver(bytes, entry.kind->limits) ||
         (entry.account != nullptr && IsOver(bytes, entry.account->limits));
}

RequestPlan Forward(const RequestFacts& request, base::DaemonId peer) {
  if (request.hops >= kMaxHops) {
    return Refuse(ErrorKind::kTooManyHops);
  }
  return ForwardTo{peer};
}

/// Serves the request at this daemon, which holds the record of its id.
RequestPlan Serve(const RequestFacts& request,
                  const RoutingFacts& facts,
                  const EntryFacts& entry) {
  if (!entry.kind->idempotent && !request.has_id) {
    return Refuse(ErrorKind::kIdRequired);
  }
  const bool quarantined = facts.poison == PoisonVerdict::kQuarantined;
  // A resend of a non-idempotent request may refer to a run from before the
  // quarantine: its recorded answer is still returned, and "not run" would be
  // false for an id that has run.
  if (quarantined && entry.kind->idempotent) {
    return Refuse(ErrorKind::kQuarantined);
  }
  return ServeHere{facts.poison == PoisonVerdict::kSingleRun, quarantined};
}

RequestPlan PlanDivided(const RequestFacts& request,
                        const RoutingFacts& facts,
                        const EntryFacts& entry) {
  if (request.key.empty()) {
    return Refuse(ErrorKind::kBadRequest);
  }
  if (facts.owned_here) {
    return Serve(request, facts, entry);
  }
  if (!facts.owner || facts.owner == facts.self || !facts.owner_reachable) {
    return Refuse(ErrorKind::kNoOwner);
  }
  // The daemon that forwarded the request has a stale ownership map; it gets
  // the newer row with this response and forwards again.
  if (request.hops > 0) {
    return Refuse(ErrorKind::kNotOwner);
  }
  return Forward(request, facts.owner);
}

/// An id pins its request to the daemon that issued it.
RequestPlan PlanPinned(const RequestFacts& request,
                       const RoutingFacts& facts,
                       const EntryFacts& entry) {
  if (request.id_issuer != facts.self) {
    return facts.issuer_reachable ? Forward(request, request.id_issuer)
                                  : Refuse(ErrorKind::kPeerLost);
  }
  RequestPlan plan = Serve(request, facts, entry);
  if (auto* const serve = std::get_if<ServeHere>(&plan);
      serve != nullptr && serve->single_run &&
      facts.suspect_daemon != facts.self) {
    // Only the admitting daemon may run a suspect: copies of the request with
    // ids of several daemons would otherwise run on several targets at once.
    *serve = {false, true};
  }
  return plan;
}

RequestPlan PlanUndivided(const RequestFacts& request,
                          const RoutingFacts& facts,
                          const EntryFacts& entry) {
  if (!entry.kind->idempotent && request.has_id) {
    return PlanPinned(request, facts, entry);
  }
  if (facts.poison == PoisonVerdict::kQuarantined) {
    return Refuse(ErrorKind::kQuarantined);
  }
  const bool single_run = facts.poison == PoisonVerdict::kSingleRun;
  if (request.hops > 0 && !single_run) {
    // The forwarding daemon chose this target; choosing again could cause a
    // loop.
    if (!facts.served_here) {
      return Refuse(ErrorKind::kNotOwner);
    }
    return facts.draining ? Refuse(ErrorKind::kDraining)
                          : Serve(request, facts, entry);
  }
  const auto target = single_run ? facts.suspect_daemon : facts.chosen;
  if (!target) {
    return Refuse(ErrorKind::kNoTarget);
  }
  return *target == facts.self ? Serve(request, facts, entry)
                               : Forward(request, *target);
}

}  // namespace

base::Result<EntryFacts> FindEntry(const RequestFacts& request,
                                   const RoutingFacts& facts) {
  if (!facts.ready || facts.catalogue == nullptr) {
    return base::Fail(ErrorKind::kNotReady);
  }
  EntryFacts entry;
  entry.service = catalogue::FindService(*facts.catalogue, request.service);
  if (entry.service == nullptr) {
    return base::Fail(ErrorKind::kUnknownService);
  }
  entry.kind = catalogue::FindKind(*entry.service, request.kind);
  if (entry.kind == nullptr) {
    return base::Fail(ErrorKind::kUnknownKind);
  }
  entry.account = catalogue::FindAccount(*facts.catalogue, request.account);
  entry.home_regions = &catalogue::HomeRegions(*entry.service, entry.account);
  if (!IsHomeRegion(*entry.home_regions, facts.own_region)) {
    return base::Fail(ErrorKind::kWrongRegion);
  }
  return entry;
}

RequestPlan PlanRequest(const RequestFacts& request,
                        const RoutingFacts& facts,
                        base::TimePoint now) {
  const auto found = FindEntry(request, facts);
  if (!found) {
    return Refuse(found.error().kind);
  }
  const EntryFacts& entry = found.value();
  if (request.hops > kMaxHops) {
    return Refuse(ErrorKind::kTooManyHops);
  }
  if (request.id_malformed) {
    return Refuse(ErrorKind::kBadRequest);
  }
  if (IsBodyTooLarge(request.body_bytes, entry)) {
    return Refuse(ErrorKind::kBodyTooLarge);
  }
  if (request.deadline <= now) {
    return Refuse(ErrorKind::kDeadlineBeforeRun);
  }
  return entry.service->divided_by_key ? PlanDivided(request, facts, entry)
                                       : PlanUndivided(request, facts, entry);
}

}  // namespace eelgrassbridge::routing
