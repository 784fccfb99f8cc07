// Tests which owners a plan assigns keys to and when it moves them.
#include "eelgrassbridge/ranges/planning.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "eelgrassbridge/ranges/demand.hpp"

namespace eelgrassbridge::ranges {
namespace {

LeaseRecord MakeLease(int number, double rate = 10, double run_seconds = 0.1) {
  LeaseRecord record;
  const std::string text = std::to_string(number);
  record.owner = {"10.0.0." + text + ":1", "target-" + text, 100};
  record.accepting = true;
  record.load.requests_per_second = rate;
  record.load.run_seconds = run_seconds;
  record.load.slots = 9;
  return record;
}

RangeMap MakeDividedMap(std::span<const LeaseRecord> leases) {
  const auto map = Plan(RangeMap{}, {leases, false});
  return map.value();
}

std::map<std::string, std::uint32_t> CountKeys(const RangeMap& map) {
  std::map<std::string, std::uint32_t> keys;
  for (const RangeEntry& entry : map.entries) {
    keys[entry.owner.daemon] += SizeOf(entry.keys);
  }
  return keys;
}

TEST_CASE("the first plan divides all keys among the live owners") {
  const std::vector<LeaseRecord> live = {MakeLease(1), MakeLease(2),
                                         MakeLease(3)};
  const auto keys = CountKeys(MakeDividedMap(live));
  REQUIRE(keys.size() == 3);
  for (const auto& [daemon, count] : keys) {
    CHECK(count >= (kLastKey + 1) / 3 - 1);
  }
}

TEST_CASE("all other owners share a lost owner's keys under new tokens") {
  // Guards against keys that stay assigned to a lost machine, and against one
  // owner that receives all of its load.
  const std::vector<LeaseRecord> all = {MakeLease(1), MakeLease(2),
                                        MakeLease(3), MakeLease(4)};
  const RangeMap before = MakeDividedMap(all);
  const std::vector<LeaseRecord> live(all.begin() + 1, all.end());
  const auto after = Plan(before, {live, false});
  REQUIRE(after);
  const auto keys = CountKeys(*after);
  CHECK(!keys.contains("10.0.0.1:1"));
  CHECK(keys.size() == 3);
  for (const auto& [daemon, count] : keys) {
    CHECK(count > (kLastKey + 1) / 4);
  }
  for (std::uint32_t key = 0; key < (kLastKey + 1) / 4; key += 100) {
    CHECK(FindEntry(*after, key)->fencing_token >= before.next_token);
  }
}

TEST_CASE("no plan is made while no owner is live") {
  const std::vector<LeaseRecord> all = {MakeLease(1)};
  CHECK(!Plan(MakeDividedMap(all), {{}, true}));
}

TEST_CASE("keys of a leaving target move without a forced reassignment") {
  // Guards against replacing an owner while its target still holds the keys.
  std::vector<LeaseRecord> all = {MakeLease(1), MakeLease(2)};
  const RangeMap before = MakeDividedMap(all);
  all[0].accepting = false;
  const auto after = Plan(before, {all, false});
  REQUIRE(after);
  for (const RangeEntry& entry : after->entries) {
    if (entry.owner.daemon == all[0].owner.daemon) {
      CHECK(entry.next_daemon == all[1].owner.daemon);
    }
    CHECK(entry.fencing_token < before.next_token);
  }
}

TEST_CASE("lost keys are reassigned although no owner may get more entries") {
  // Guards against keys that nobody serves until an owner has fewer entries.
  std::vector<LeaseRecord> all;
  all.reserve(8);
  for (int i = 0; i < 8; ++i) {
    all.push_back(MakeLease(i));
  }
  const PlanningOptions options{.max_entries_per_owner = 1};
  const RangeMap before = MakeDividedMap(all);
  const std::vector<LeaseRecord> live(all.begin(), all.begin() + 3);
  const auto after = Plan(before, {live, false}, options);
  REQUIRE(after);
  std::map<std::string, int> entries;
  for (const RangeEntry& entry : after->entries) {
    ++entries[entry.owner.daemon];
    CHECK(std::ranges::any_of(live, [&entry](const LeaseRecord& lease) {
      return lease.owner == entry.owner;
    }));
  }
  for (const auto& [daemon, count] : entries) {
    CHECK(count == 1);
  }
  CHECK(CountKeys(*after).size() == 3);
  for (std::uint32_t key = kLastKey / 8 * 3 + 8; key <= kLastKey; key += 100) {
    CHECK(FindEntry(*after, key)->fencing_token >= before.next_token);
  }
}

TEST_CASE("a leaving target is emptied although no owner may get entries") {
  // Guards against a target that leaves with keys that nobody is to take.
  std::vector<LeaseRecord> all = {MakeLease(1), MakeLease(2)};
  const RangeMap before = MakeDividedMap(all);
  all[0].accepting = false;
  const auto after = Plan(before, {all, false}, {.max_entries_per_owner = 1});
  REQUIRE(after);
  for (const RangeEntry& entry : after->entries) {
    const bool leaves = entry.owner == all[0].owner;
    CHECK(entry.next_daemon == (leaves ? all[1].owner.daemon : ""));
  }
}

TEST_CASE("a pending move to a lost owner is cancelled") {
  std::vector<LeaseRecord> all = {MakeLease(1), MakeLease(2), MakeLease(3)};
  RangeMap map = MakeDividedMap(all);
  map.entries[0].next_daemon = all[2].owner.daemon;
  const std::vector<LeaseRecord> live = {all[0], all[1]};
  const auto after = Plan(map, {live, false});
  REQUIRE(after);
  CHECK(after->entries[0].next_daemon != all[2].owner.daemon);
}

TEST_CASE("load moves from a busy owner to idle ones until it is even") {
  std::vector<LeaseRecord> all = {MakeLease(1, 80), MakeLease(2, 10),
                                  MakeLease(3, 10)};
  const RangeMap map = MakeDividedMap(all);
  for (std::uint32_t key = 1365; key < 21845; key += 1365) {
    all[0].load.quantiles.push_back(key);
  }
  const auto moved = Plan(map, {all, true});
  REQUIRE(moved);
  CHECK(std::ranges::any_of(moved->entries, [](const RangeEntry& entry) {
    return !entry.next_daemon.empty();
  }));
  all[0].load.requests_per_second = 33;
  all[1].load.requests_per_second = 33;
  all[2].load.requests_per_second = 33;
  CHECK(!Plan(map, {all, true}));
}

/// Demand of an owner, nearly all of it for one key in the middle of its range.
void MakeHot(LeaseRecord& lease, const KeyRange& keys, double rate) {
  constexpr std::uint32_t kKeysPerBucket = 64;
  std::vector<float> counts((kLastKey + 1) / kKeysPerBucket, 0);
  for (std::uint32_t key = keys.first; key <= keys.last;
       key += kKeysPerBucket) {
    counts[key / kKeysPerBucket] = 1;
  }
  const std::uint32_t hot = (keys.first + keys.last) / 2 / kKeysPerBucket;
  counts[hot] = static_cast<float>(counts.size()) * 4;
  lease.load.requests_per_second = rate;
  lease.load.quantiles = QuantileKeys(counts, kKeysPerBucket, 16);
}

TEST_CASE("a hot key keeps no other owner from moving load away") {
  // Guards against owners that refuse requests for as long as one key outgrows
  // its owner: the plan looked only at the most loaded owner, which had nothing
  // that it could move.
  std::vector<LeaseRecord> all = {MakeLease(1), MakeLease(2, 120),
                                  MakeLease(3, 5), MakeLease(4, 5),
                                  MakeLease(5, 5)};
  const RangeMap before = MakeDividedMap(all);
  constexpr double kHotRate = 400;
  MakeHot(all[0], before.entries[0].keys, kHotRate);
  for (std::uint32_t i = 1; i < 16; ++i) {
    all[1].load.quantiles.push_back(before.entries[1].keys.first +
                                    SizeOf(before.entries[1].keys) * i / 16);
  }
  const auto after = Plan(before, {all, true});
  REQUIRE(after);
  CHECK(std::ranges::any_of(after->entries, [&all](const RangeEntry& entry) {
    return entry.owner == all[1].owner && !entry.next_daemon.empty();
  }));
}

TEST_CASE("the neighbours of a hot key move away from it, and it stays") {
  // Guards against requests for other keys that are refused because the slots
  // of their owner are taken for the hot key, and against a hot key that moves
  // from one owner to the next, none of which can serve it.
  std::vector<LeaseRecord> all = {MakeLease(1), MakeLease(2, 5),
                                  MakeLease(3, 5), MakeLease(4, 5)};
  const RangeMap before = MakeDividedMap(all);
  const KeyRange keys = before.entries[0].keys;
  const std::uint32_t hot = (keys.first + keys.last) / 2;
  constexpr double kHotRate = 400;
  MakeHot(all[0], keys, kHotRate);
  const auto after = Plan(before, {all, true});
  REQUIRE(after);
  CHECK(FindEntry(*after, hot)->next_daemon.empty());
  CHECK(!FindEntry(*after, keys.first)->next_daemon.empty());
  CHECK(!FindEntry(*after, keys.last)->next_daemon.empty());
}

TEST_CASE("one plan adopts all targets that have restarted") {
  // Guards against keys that nobody serves for seconds after all machines had
  // lost power: each of a hundred daemons had to change the map for its own
  // target, and each change failed for all others.
  for (const int owners : {3, 100}) {
    std::vector<LeaseRecord> all;
    all.reserve(static_cast<std::size_t>(owners));
    for (int i = 0; i < owners; ++i) {
      all.push_back(MakeLease(i + 1));
    }
    const RangeMap before = MakeDividedMap(all);
    for (LeaseRecord& lease : all) {
      lease.owner.target += "-restarted";
      lease.owner.born += 1;
    }
    const auto after = Plan(before, {all, false});
    REQUIRE(after);
    for (const RangeEntry& entry : after->entries) {
      CHECK(entry.owner.target.ends_with("-restarted"));
      CHECK(entry.fencing_token >= before.next_token);
    }
  }
}

TEST_CASE("a plan never goes back to a former incarnation of a target") {
  // Guards against keys of a target that is gone: the planner read a lease that
  // was written before the target's restart, and the map after it.
  std::vector<LeaseRecord> all = {MakeLease(1), MakeLease(2)};
  RangeMap map = MakeDividedMap(all);
  OwnerId restarted = all[0].owner;
  restarted.target += "-restarted";
  restarted.born += 1;
  REQUIRE(ReassignAfterRestart(map, restarted));
  CHECK(!Plan(map, {all, false}));
}

TEST_CASE("idle targets exchange no keys") {
  // Guards against moves that cost more availability than they gain.
  const std::vector<LeaseRecord> all = {MakeLease(1, 5), MakeLease(2, 0.1)};
  CHECK(!Plan(MakeDividedMap(all), {all, true}));
}

TEST_CASE("every plan yields a valid map and keeps tokens of unmoved keys") {
  // Guards against replacing an owner that still has a lease.
  rc::check("plans", [] {
    const int count = *rc::gen::inRange(1, 9);
    std::vector<LeaseRecord> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      all.push_back(MakeLease(i, *rc::gen::inRange(0, 100)));
    }
    RangeMap map = MakeDividedMap(all);
    for (int step = 0; step < 6; ++step) {
      std::vector<LeaseRecord> live;
      for (const LeaseRecord& lease : all) {
        if (*rc::gen::inRange(0, 4) != 0) {
          live.push_back(lease);
          live.back().accepting = *rc::gen::inRange(0, 5) != 0;
        }
      }
      const auto planned = Plan(map, {live, *rc::gen::arbitrary<bool>()});
      if (!planned) {
        continue;
      }
      RC_ASSERT(static_cast<bool>(DecodeMap(EncodeMap(*planned))));
      for (const RangeEntry& entry : planned->entries) {
        const RangeEntry* const old = FindEntry(map, entry.keys.first);
        if (old->owner == entry.owner) {
          RC_ASSERT(old->fencing_token == entry.fencing_token);
        } else {
          // Only owners without a lease lose keys without a pending move.
          RC_ASSERT(std::ranges::none_of(live, [old](const LeaseRecord& lease) {
            return lease.owner.daemon == old->owner.daemon;
          }));
          RC_ASSERT(entry.fencing_token >= map.next_token);
        }
      }
      map = *planned;
    }
  });
}

}  // namespace
}  // namespace eelgrassbridge::ranges
