// Tests that a range map stays small enough for one row of the store.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "eelgrassbridge/ranges/planning.hpp"

namespace eelgrassbridge::ranges {
namespace {

/// Largest value of a row that the store accepts (platform.row_bytes).
constexpr std::size_t kRowBytes = 65536;

/// Owners of one service with random load, losses and restarts. Names are as
/// long as on the grown sites.
struct Fleet {
  std::mt19937 random;
  std::vector<LeaseRecord> leases;
  RangeMap map;
};

std::uint32_t Draw(Fleet& fleet, std::uint32_t bound) {
  return std::uniform_int_distribution<std::uint32_t>(0,
                                                      bound - 1)(fleet.random);
}

Fleet MakeFleet(std::uint32_t seed, std::size_t owners) {
  Fleet fleet{std::mt19937(seed), {}, {}};
  for (std::size_t i = 0; i < owners; ++i) {
    const std::string number = std::to_string(i);
    LeaseRecord lease;
    lease.owner = {"10.1." + std::to_string(i / 200) + "." + number + ":8306",
                   "huvo11a-sur-cerro-" + number, 1796460000000};
    lease.accepting = true;
    lease.load.run_seconds = 0.1;
    lease.load.slots = 9;
    fleet.leases.push_back(lease);
  }
  fleet.map = Plan(RangeMap{}, {fleet.leases, false}).value();
  return fleet;
}

/// Draws the load of each owner, with the keys that divide it into 16 parts.
void DrawLoads(Fleet& fleet) {
  for (LeaseRecord& lease : fleet.leases) {
    lease.load.requests_per_second = Draw(fleet, 120);
    lease.load.quantiles.clear();
    std::vector<KeyRange> owned;
    for (const RangeEntry& entry : fleet.map.entries) {
      if (entry.owner == lease.owner) {
        owned.push_back(entry.keys);
      }
    }
    for (std::uint32_t i = 0; i < 15 && !owned.empty(); ++i) {
      const KeyRange& range =
          owned[Draw(fleet, static_cast<std::uint32_t>(owned.size()))];
      lease.load.quantiles.push_back(range.first + Draw(fleet, SizeOf(range)));
    }
    std::ranges::sort(lease.load.quantiles);
  }
}

/// Plans while the drawn owners have no lease, a drawn one leaves, or neither.
void PlanWithLosses(Fleet& fleet, const PlanningOptions& options) {
  std::vector<LeaseRecord> live = fleet.leases;
  for (std::uint32_t lost = Draw(fleet, 4); lost > 0; --lost) {
    live.erase(live.begin() +
               Draw(fleet, static_cast<std::uint32_t>(live.size())));
  }
  if (Draw(fleet, 4) == 0) {
    live[Draw(fleet, static_cast<std::uint32_t>(live.size()))].accepting =
        false;
  }
  const auto planned = Plan(fleet.map, {live, true}, options);
  if (planned) {
    fleet.map = *planned;
  }
}

/// Completes all pending moves, each with data that the target passed on.
void CompleteMoves(Fleet& fleet) {
  for (RangeEntry& entry : fleet.map.entries) {
    for (const LeaseRecord& lease : fleet.leases) {
      if (lease.owner.daemon == entry.next_daemon) {
        Reassign(fleet.map, entry, lease.owner, "5c0e7a21d94b36f8");
        break;
      }
    }
  }
  MergeAdjacent(fleet.map);
}

void RestartOneTarget(Fleet& fleet) {
  LeaseRecord& lease =
      fleet
          .leases[Draw(fleet, static_cast<std::uint32_t>(fleet.leases.size()))];
  lease.owner.born += 1000;
  ReassignAfterRestart(fleet.map, lease.owner);
  MergeAdjacent(fleet.map);
}

TEST_CASE("the map of 48 owners fits into a row after a day of changes") {
  // Guards against a store that refuses each further change of the map, after
  // which no keys can be reassigned.
  std::size_t largest = 0;
  std::size_t entries = 0;
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    Fleet fleet = MakeFleet(seed, 48);
    for (int step = 0; step < 60; ++step) {
      DrawLoads(fleet);
      PlanWithLosses(fleet, {});
      largest = std::max(largest, EncodeMap(fleet.map).size());
      entries = std::max(entries, fleet.map.entries.size());
      CompleteMoves(fleet);
      if (Draw(fleet, 2) == 0) {
        RestartOneTarget(fleet);
      }
    }
  }
  CAPTURE(entries);
  CHECK(largest < kRowBytes);
}

}  // namespace
}  // namespace eelgrassbridge::ranges
