// Guards against shares that add up to more than the limit while daemons learn
// each other's demand late and at different times.
#include "eelgrassbridge/limits/account_share.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <tuple>

namespace eelgrassbridge::limits::detail {

namespace {

using base::DaemonId;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

constexpr std::uint32_t kDaemons = 4;

/// A change of demand that is still in transit.
struct Change {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  TimePoint due;
  Millionths demand = 0;
};

struct Simulation {
  std::array<LimitShare, kDaemons> shares;
  std::vector<Change> changes;
  std::array<std::array<TimePoint, kDaemons>, kDaemons> last_due{};
  TimePoint now{seconds{1000}};
};

Fleet MakeFleetFor(std::uint32_t daemon) {
  return {DaemonId{daemon + 1}, kDaemons, daemon, 0.2, seconds{5}};
}

void Publish(Simulation& simulation,
             std::uint32_t who,
             Millionths demand,
             unsigned seed) {
  SetOwnDemand(simulation.shares[who], demand, simulation.now);
  for (std::uint32_t to = 0; to < kDaemons; ++to) {
    if (to != who) {
      TimePoint& due = simulation.last_due[who][to];
      due =
          std::max(due, simulation.now + milliseconds{seed * (to + 7) % 3500});
      simulation.changes.push_back({who, to, due, demand});
    }
  }
}

void AdvanceOneSecond(Simulation& simulation) {
  simulation.now += seconds{1};
  std::erase_if(simulation.changes, [&](const Change& change) {
    if (change.due > simulation.now) {
      return false;
    }
    SetPeerDemand(simulation.shares[change.to], MakeFleetFor(change.to),
                  DaemonId{change.from + 1}, change.demand, simulation.now);
    return true;
  });
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    Advance(simulation.shares[i], MakeFleetFor(i), simulation.now);
  }
}

void CheckSharesWithinLimit(const Simulation& simulation) {
  // The demands are small integers of requests per second, so these limits lie
  // both below and above their sum.
  for (std::uint32_t limit = 1; limit < 24; ++limit) {
    double rate = 0;
    for (std::uint32_t i = 0; i < kDaemons; ++i) {
      rate += RateShare(simulation.shares[i], MakeFleetFor(i), limit);
    }
    RC_ASSERT(rate <= 1 + 1e-9);
  }
  for (std::uint32_t limit = 1; limit < 12; ++limit) {
    double in_flight = 0;
    for (std::uint32_t i = 0; i < kDaemons; ++i) {
      in_flight += InFlightShare(simulation.shares[i], MakeFleetFor(i), limit,
                                 1, simulation.now);
    }
    RC_ASSERT(in_flight <= limit);
  }
}

}  // namespace

TEST_CASE("shares stay within the limit for any arrival order of demands") {
  using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>;
  CHECK(rc::check([](const std::vector<Step>& steps) {
    Simulation simulation;
    for (const auto& [who, demand, seed] : steps) {
      Publish(simulation, who % kDaemons, ToMillionths(demand % 6), seed * 31U);
      // Some steps are followed by a pause, often long enough to settle.
      const unsigned quiet = seed % 5 == 0 ? 1 + seed % 14 : 1;
      for (unsigned i = 0; i < quiet; ++i) {
        AdvanceOneSecond(simulation);
        CheckSharesWithinLimit(simulation);
      }
    }
  }));
}

TEST_CASE("settled daemons divide the whole limit") {
  Simulation simulation;
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    Publish(simulation, i, 1 + i, 0);
  }
  for (int i = 0; i < 20; ++i) {
    AdvanceOneSecond(simulation);
  }
  for (std::uint32_t limit = 1; limit < 12; ++limit) {
    double in_flight = 0;
    for (std::uint32_t i = 0; i < kDaemons; ++i) {
      in_flight += InFlightShare(simulation.shares[i], MakeFleetFor(i), limit,
                                 1, simulation.now);
    }
    CHECK(in_flight == limit);
  }
}

}  // namespace eelgrassbridge::limits::detail
