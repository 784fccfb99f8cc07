// Tests that a range map stays small enough for one row of the store.
#include "eelgrassbridge/ranges/map_size.hpp"

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
  LimitEncodedSize(fleet.map);
}

void RestartOneTarget(Fleet& fleet) {
  LeaseRecord& lease =
      fleet
          .leases[Draw(fleet, static_cast<std::uint32_t>(fleet.leases.size()))];
  lease.owner.born += 1000;
  ReassignAfterRestart(fleet.map, lease.owner);
  LimitEncodedSize(fleet.map);
}

/// Counts keys whose token is lower than before, or not above all former ones
/// although the owner is another.
std::size_t CountTokensThatWentBack(const RangeMap& before,
                                    const RangeMap& after) {
  std::size_t count = 0;
  for (std::uint32_t key = 0; key <= kLastKey; key += 7) {
    const RangeEntry& old_entry = *FindEntry(before, key);
    const RangeEntry& new_entry = *FindEntry(after, key);
    const std::uint64_t lowest = old_entry.owner == new_entry.owner
                                     ? old_entry.fencing_token
                                     : before.next_token;
    if (new_entry.fencing_token < lowest) {
      ++count;
    }
  }
  return count;
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

/// A map of entries with drawn owners, tokens, handovers and pending moves.
RangeMap DrawMap() {
  std::vector<OwnerId> owners;
  for (int i = 0; i < 6; ++i) {
    const std::string number = std::to_string(i);
    owners.push_back({"d" + number, "t" + number, 1});
  }
  RangeMap map;
  DivideEvenly(map, owners);
  map.next_token = 1000;
  const auto cuts = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, kLastKey + 1));
  for (const std::uint32_t cut : cuts) {
    SplitAt(map, cut);
  }
  for (RangeEntry& entry : map.entries) {
    entry.owner = *rc::gen::elementOf(owners);
    entry.fencing_token = *rc::gen::inRange<std::uint64_t>(1, map.next_token);
    entry.handover = *rc::gen::element<std::string>("", "0123456789abcdef");
    entry.next_daemon = *rc::gen::element<std::string>("", "", "d1", "d9");
  }
  return map;
}

TEST_CASE("limiting the size changes no owner and lowers no token") {
  // Guards against keys that are granted twice or refused by their target, and
  // against a map that grows or loses data although it fits.
  rc::check("limit", [] {
    const RangeMap before = DrawMap();
    RangeMap equal_merged = before;
    MergeAdjacent(equal_merged);
    const std::size_t size = EncodeMap(before).size();
    const auto limit = *rc::gen::inRange<std::size_t>(size / 4, size + 100);
    RangeMap map = before;
    LimitEncodedSize(map, limit);
    RC_ASSERT(static_cast<bool>(DecodeMap(EncodeMap(map))));
    RC_ASSERT(EncodeMap(map).size() <= size);
    RC_ASSERT(map.next_token == before.next_token);
    if (size <= limit) {
      RC_ASSERT(map == equal_merged);
    }
    if (EncodeMap(map).size() > limit) {
      // Only what can't be dropped is left.
      for (std::size_t i = 0; i < map.entries.size(); ++i) {
        RC_ASSERT(map.entries[i].handover.empty());
        RC_ASSERT(map.entries[i].next_daemon.empty());
        // RC_ASSERT evaluates both operands of ||.
        if (i > 0) {
          RC_ASSERT(map.entries[i].owner != map.entries[i - 1].owner);
        }
      }
    }
    for (const RangeEntry& entry : before.entries) {
      const RangeEntry& now = *FindEntry(map, entry.keys.first);
      RC_ASSERT(now.owner == entry.owner);
      RC_ASSERT(now.keys.last >= entry.keys.last);
      RC_ASSERT(now.fencing_token >= entry.fencing_token);
      RC_ASSERT(now.fencing_token < before.next_token);
    }
  });
}

TEST_CASE("compaction keeps handovers that a target may not have yet") {
  // Guards against targets that start cold because the map is compacted
  // between an assignment and the next heartbeat.
  RangeMap map;
  const std::vector<OwnerId> owners = {{"d1", "t1", 1}, {"d2", "t2", 1}};
  DivideEvenly(map, owners);
  Reassign(map, map.entries[0], owners[1], "old");
  map.next_token = 1000;
  Reassign(map, map.entries[1], owners[0], "new");
  CompactMap(map, AnyEntry);
  CHECK(map.entries[0].handover.empty());
  CHECK(map.entries[1].handover == "new");
}

TEST_CASE("a map whose splits reach the limit fits with any pending moves") {
  // Guards against a plan that fills the map with splits, after which pending
  // moves or later tokens no longer fit.
  for (const std::size_t owners : {1U, 48U, 300U}) {
    CAPTURE(owners);
    const Fleet fleet = MakeFleet(1, owners);
    RangeMap map = fleet.map;
    map.next_token = 10000000000;
    const std::size_t entries = MaxEntries(map, {}, kMaxEncodedMapSize);
    REQUIRE(entries > owners);
    for (std::uint32_t key = 31; map.entries.size() < entries; key += 31) {
      SplitAt(map, key);
    }
    for (RangeEntry& entry : map.entries) {
      entry.fencing_token = map.next_token - 1;
      entry.next_daemon = fleet.leases.back().owner.daemon;
    }
    CHECK(EncodeMap(map).size() <= kMaxEncodedMapSize);
  }
}

TEST_CASE("the map of any number of owners stays within its limit") {
  // Guards against a fleet whose entries outgrow a row although each is short,
  // and against a token that goes back when entries are merged.
  for (const std::size_t owners : {100U, 300U}) {
    CAPTURE(owners);
    Fleet fleet = MakeFleet(1, owners);
    std::size_t largest = 0;
    for (int step = 0; step < 60; ++step) {
      const RangeMap before = fleet.map;
      DrawLoads(fleet);
      PlanWithLosses(fleet, {});
      largest = std::max(largest, EncodeMap(fleet.map).size());
      CompleteMoves(fleet);
      largest = std::max(largest, EncodeMap(fleet.map).size());
      RestartOneTarget(fleet);
      largest = std::max(largest, EncodeMap(fleet.map).size());
      CHECK(CountTokensThatWentBack(before, fleet.map) == 0);
    }
    CHECK(largest <= kMaxEncodedMapSize);
  }
}

}  // namespace
}  // namespace eelgrassbridge::ranges
