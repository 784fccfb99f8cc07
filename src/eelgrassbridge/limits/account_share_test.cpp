// Guards against parts of a limit that add up to more than the limit while
// daemons know each other's demand late and at different times.
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

/// A change of demand on its way.
struct Change {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  TimePoint due;
  Millionths demand = 0;
};

struct World {
  std::array<LimitShare, kDaemons> shares;
  std::vector<Change> changes;
  std::array<std::array<TimePoint, kDaemons>, kDaemons> last_due{};
  TimePoint now{seconds{1000}};
};

Fleet FleetOf(std::uint32_t daemon) {
  return {DaemonId{daemon + 1}, kDaemons, daemon, 0.2, seconds{5}};
}

void Publish(World& world,
             std::uint32_t who,
             Millionths demand,
             unsigned seed) {
  SetOwn(world.shares[who], demand, world.now);
  for (std::uint32_t to = 0; to < kDaemons; ++to) {
    if (to != who) {
      TimePoint& due = world.last_due[who][to];
      due = std::max(due, world.now + milliseconds{seed * (to + 7) % 3500});
      world.changes.push_back({who, to, due, demand});
    }
  }
}

void PassSecond(World& world) {
  world.now += seconds{1};
  std::erase_if(world.changes, [&](const Change& change) {
    if (change.due > world.now) {
      return false;
    }
    SetPeer(world.shares[change.to], FleetOf(change.to),
            DaemonId{change.from + 1}, change.demand, world.now);
    return true;
  });
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    Advance(world.shares[i], FleetOf(i), world.now);
  }
}

void CheckParts(const World& world) {
  // The demands are whole requests per second, so the limits are both below
  // and above their sum.
  for (std::uint32_t limit = 1; limit < 24; ++limit) {
    double rate = 0;
    for (std::uint32_t i = 0; i < kDaemons; ++i) {
      rate += RatePart(world.shares[i], FleetOf(i), limit);
    }
    RC_ASSERT(rate <= 1 + 1e-9);
  }
  for (std::uint32_t limit = 1; limit < 12; ++limit) {
    double in_flight = 0;
    for (std::uint32_t i = 0; i < kDaemons; ++i) {
      in_flight +=
          InFlightPart(world.shares[i], FleetOf(i), limit, 1, world.now);
    }
    RC_ASSERT(in_flight <= limit);
  }
}

}  // namespace

TEST_CASE("parts stay within the limit whatever is heard when") {
  using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>;
  CHECK(rc::check([](const std::vector<Step>& steps) {
    World world;
    for (const auto& [who, demand, seed] : steps) {
      Publish(world, who % kDaemons, ToMillionths(demand % 6), seed * 31U);
      // Now and then all is quiet for long enough to settle.
      const unsigned quiet = seed % 5 == 0 ? 1 + seed % 14 : 1;
      for (unsigned i = 0; i < quiet; ++i) {
        PassSecond(world);
        CheckParts(world);
      }
    }
  }));
}

TEST_CASE("settled daemons divide the whole limit") {
  World world;
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    Publish(world, i, 1 + i, 0);
  }
  for (int i = 0; i < 20; ++i) {
    PassSecond(world);
  }
  for (std::uint32_t limit = 1; limit < 12; ++limit) {
    double in_flight = 0;
    for (std::uint32_t i = 0; i < kDaemons; ++i) {
      in_flight +=
          InFlightPart(world.shares[i], FleetOf(i), limit, 1, world.now);
    }
    CHECK(in_flight == limit);
  }
}

}  // namespace eelgrassbridge::limits::detail
