// Guards against checks in the wrong order (residency comes first), forwarding
// loops, and "not run" for a request that has run.
#include "eelgrassbridge/routing/request_plan.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "eelgrassbridge/routing/cross_region_meter.hpp"
#include "eelgrassbridge/routing/deadline.hpp"

namespace eelgrassbridge::routing {

namespace {

using base::DaemonId;
using base::ErrorKind;
using base::milliseconds;
using base::TimePoint;

constexpr TimePoint kNow{base::seconds{5}};
constexpr DaemonId kSelf{1};
constexpr DaemonId kPeer{2};

catalogue::Catalogue MakeCatalogue() {
  catalogue::Catalogue catalogue;
  for (const bool divided : {true, false}) {
    catalogue::Service service;
    service.name = divided ? "listing" : "booking";
    service.divided_by_key = divided;
    service.regions = {"litoral", "sur"};
    service.limits.max_body_bytes = 100;
    for (const bool idempotent : {true, false}) {
      catalogue::RequestKind kind;
      kind.name = idempotent ? "get" : "claim";
      kind.idempotent = idempotent;
      service.kinds.push_back(kind);
    }
    catalogue.services.push_back(service);
  }
  catalogue.accounts.push_back({"far", {"litoral"}, {}});
  return catalogue;
}

const catalogue::Catalogue kTestCatalogue = MakeCatalogue();

RequestFacts Ask(std::string_view service, std::string_view kind) {
  RequestFacts request;
  request.service = service;
  request.kind = kind;
  request.account = "yard";
  request.key = "k";
  request.deadline = kNow + milliseconds{100};
  return request;
}

RoutingFacts Facts() {
  RoutingFacts facts;
  facts.self = kSelf;
  facts.ready = true;
  facts.own_region = "sur";
  facts.catalogue = &kTestCatalogue;
  facts.owner = kPeer;
  facts.owner_reachable = true;
  facts.served_here = true;
  facts.chosen = kPeer;
  facts.issuer_reachable = true;
  return facts;
}

const RequestPlan kToPeer = ForwardTo{kPeer};
const RequestPlan kHere = ServeHere{};
RequestPlan Refused(ErrorKind kind) {
  return RefusePlan{kind};
}

}  // namespace

TEST_CASE("residency is checked before anything else about the request") {
  RequestFacts request = Ask("listing", "claim");
  request.account = "far";
  request.id_malformed = true;
  request.body_bytes = 1000;
  request.deadline = kNow;
  CHECK(PlanRequest(request, Facts(), kNow) ==
        Refused(ErrorKind::kWrongRegion));
  RoutingFacts there = Facts();
  there.own_region = "litoral";
  CHECK(PlanRequest(request, there, kNow) == Refused(ErrorKind::kBadRequest));
}

TEST_CASE("requests for a divided key are forwarded to its owner, once") {
  RequestFacts request = Ask("listing", "get");
  RoutingFacts facts = Facts();
  CHECK(PlanRequest(request, facts, kNow) == kToPeer);
  request.hops = 1;
  CHECK(PlanRequest(request, facts, kNow) == Refused(ErrorKind::kNotOwner));
  facts.owned_here = true;
  CHECK(PlanRequest(request, facts, kNow) == kHere);
  request.hops = kMaxHops + 1;
  CHECK(PlanRequest(request, facts, kNow) == Refused(ErrorKind::kTooManyHops));
  facts = Facts();
  facts.owner = kSelf;
  CHECK(PlanRequest(Ask("listing", "get"), facts, kNow) ==
        Refused(ErrorKind::kNoOwner));
  facts.owner = kPeer;
  facts.owner_reachable = false;
  CHECK(PlanRequest(Ask("listing", "get"), facts, kNow) ==
        Refused(ErrorKind::kNoOwner));
}

TEST_CASE("bad requests are refused before they are queued") {
  RequestFacts request = Ask("listing", "get");
  request.key = "";
  CHECK(PlanRequest(request, Facts(), kNow) == Refused(ErrorKind::kBadRequest));
  request = Ask("listing", "get");
  request.body_bytes = 101;
  CHECK(PlanRequest(request, Facts(), kNow) ==
        Refused(ErrorKind::kBodyTooLarge));
  request = Ask("listing", "get");
  request.deadline = kNow;
  CHECK(PlanRequest(request, Facts(), kNow) ==
        Refused(ErrorKind::kDeadlineBeforeRun));
  CHECK(PlanRequest(Ask("nothing", "get"), Facts(), kNow) ==
        Refused(ErrorKind::kUnknownService));
  CHECK(PlanRequest(Ask("listing", "nothing"), Facts(), kNow) ==
        Refused(ErrorKind::kUnknownKind));
  CHECK(PlanRequest(Ask("listing", "get"), {}, kNow) ==
        Refused(ErrorKind::kNotReady));
}

TEST_CASE("a non-idempotent request needs an id from the daemon running it") {
  RequestFacts request = Ask("booking", "claim");
  RoutingFacts facts = Facts();
  CHECK(PlanRequest(request, facts, kNow) == kToPeer);
  facts.chosen = kSelf;
  CHECK(PlanRequest(request, facts, kNow) == Refused(ErrorKind::kIdRequired));
  request.has_id = true;
  request.id_issuer = kPeer;
  CHECK(PlanRequest(request, facts, kNow) == kToPeer);
  facts.issuer_reachable = false;
  CHECK(PlanRequest(request, facts, kNow) == Refused(ErrorKind::kPeerLost));
  request.id_issuer = kSelf;
  CHECK(PlanRequest(request, facts, kNow) == kHere);
}

TEST_CASE("a forwarded undivided request keeps its target") {
  RequestFacts request = Ask("booking", "get");
  request.hops = 1;
  RoutingFacts facts = Facts();
  CHECK(PlanRequest(request, facts, kNow) == kHere);
  facts.draining = true;
  CHECK(PlanRequest(request, facts, kNow) == Refused(ErrorKind::kDraining));
  facts.served_here = false;
  CHECK(PlanRequest(request, facts, kNow) == Refused(ErrorKind::kNotOwner));
  facts.chosen = std::nullopt;
  CHECK(PlanRequest(Ask("booking", "get"), facts, kNow) ==
        Refused(ErrorKind::kNoTarget));
}

TEST_CASE("suspects run at one daemon only, quarantined requests nowhere") {
  RoutingFacts facts = Facts();
  facts.poison = PoisonVerdict::kSingleRun;
  facts.suspect_daemon = kPeer;
  facts.chosen = kSelf;
  CHECK(PlanRequest(Ask("booking", "get"), facts, kNow) == kToPeer);
  facts.suspect_daemon = kSelf;
  CHECK(PlanRequest(Ask("booking", "get"), facts, kNow) ==
        RequestPlan{ServeHere{true, false}});
  RequestFacts pinned = Ask("booking", "claim");
  pinned.has_id = true;
  pinned.id_issuer = kSelf;
  facts.suspect_daemon = kPeer;
  CHECK(PlanRequest(pinned, facts, kNow) ==
        RequestPlan{ServeHere{false, true}});
  facts.poison = PoisonVerdict::kQuarantined;
  CHECK(PlanRequest(Ask("booking", "get"), facts, kNow) ==
        Refused(ErrorKind::kQuarantined));
  // An id that has run must not be reported as "not run".
  CHECK(PlanRequest(pinned, facts, kNow) ==
        RequestPlan{ServeHere{false, true}});
}

TEST_CASE("no hop extends the deadline of a request") {
  CHECK(rc::check([](std::uint16_t asked_ms, std::uint16_t spent_ms) {
    catalogue::Service service = kTestCatalogue.services[0];
    const catalogue::RequestKind& kind = service.kinds[0];
    const TimePoint deadline = DeadlineOf(milliseconds{asked_ms}, kind, kNow);
    RC_ASSERT(deadline <= kNow + kind.deadline);
    RC_ASSERT(deadline <= kNow + milliseconds{asked_ms});
    const TimePoint later = kNow + milliseconds{spent_ms % 3000};
    if (const auto left = TimeForNextHop(deadline, later)) {
      RC_ASSERT(*left >= milliseconds{1});
      RC_ASSERT(later + *left < deadline);
    }
    const TimePoint lease_end = later + milliseconds{asked_ms % 1000};
    const TimePoint not_after = NotAfter(deadline, service, lease_end, later);
    RC_ASSERT(not_after <= deadline);
    RC_ASSERT(not_after <= later + service.run_limit);
    RC_ASSERT(not_after <= lease_end + service.run_limit);
  }));
  CHECK(DeadlineOf(milliseconds{-5}, kTestCatalogue.services[0].kinds[0],
                   kNow) == kNow);
}

TEST_CASE("bytes across regions are counted under their own reason") {
  CrossRegionMeter meter;
  AddBytes(meter, CrossRegionReason::kRetry, 7);
  AddBytes(meter, CrossRegionReason::kRetry, 5);
  CHECK(BytesOf(meter, CrossRegionReason::kRetry) == 12);
  CHECK(BytesOf(meter, CrossRegionReason::kAnswer) == 0);
  CHECK(ReasonName(CrossRegionReason::kStore) == "store");
}

}  // namespace eelgrassbridge::routing
