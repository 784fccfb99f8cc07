// Tests the operations on range maps, their invariants and their decoding.
#include "eelgrassbridge/ranges/range_map.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace eelgrassbridge::ranges {
namespace {

std::vector<OwnerId> MakeOwners(std::size_t count) {
  std::vector<OwnerId> owners;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    owners.push_back({"10.0.0." + number + ":1", "target-" + number, 100});
  }
  return owners;
}

RangeMap MakeDividedMap(std::size_t count) {
  RangeMap map;
  const std::vector<OwnerId> owners = MakeOwners(count);
  DivideEvenly(map, owners);
  return map;
}

TEST_CASE("each key has exactly one entry after any splits and merges") {
  // Guards against keys that have no owner or two owners.
  rc::check("key coverage", [] {
    RangeMap map = MakeDividedMap(*rc::gen::inRange<std::size_t>(1, 60));
    const auto cuts = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, kLastKey + 1));
    for (const std::uint32_t cut : cuts) {
      SplitAt(map, cut);
      RC_ASSERT(FindEntry(map, cut)->keys.first == cut);
    }
    if (*rc::gen::arbitrary<bool>()) {
      MergeAdjacent(map);
    }
    const auto decoded = DecodeMap(EncodeMap(map));
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded.value() == map);
    const auto key = *rc::gen::inRange<std::uint32_t>(0, kLastKey + 1);
    RC_ASSERT(Contains(FindEntry(map, key)->keys, key));
  });
}

TEST_CASE("a new owner gets a fencing token above all earlier ones") {
  RangeMap map = MakeDividedMap(3);
  const std::uint64_t before = map.next_token;
  Reassign(map, map.entries[1], MakeOwners(3)[2], "handover data");
  CHECK(map.entries[1].fencing_token == before);
  CHECK(map.next_token == before + 1);
  CHECK(map.entries[1].handover == "handover data");
}

TEST_CASE("a restarted target is a new owner") {
  // Guards against a restarted target that acts under the fencing token of its
  // previous run.
  RangeMap map = MakeDividedMap(2);
  OwnerId restarted = map.entries[0].owner;
  restarted.born = 200;
  const std::uint64_t old_token = map.entries[0].fencing_token;
  CHECK(ReassignAfterRestart(map, restarted));
  CHECK(map.entries[0].fencing_token > old_token);
  CHECK(map.entries[0].owner == restarted);
  CHECK(!ReassignAfterRestart(map, restarted));
}

TEST_CASE("maps that are malformed or break the invariants are rejected") {
  // Guards against using a row that another writer has corrupted.
  for (const char* text :
       {"", "[]", "{}", R"({"next_token":1,"entries":[{}]})",
        R"({"next_token":9,"entries":[{"first":0,"last":9,"token":1,)"
        R"("daemon":"d","target":"t","born":1}]})",
        R"({"next_token":1,"entries":[{"first":0,"last":65535,"token":1,)"
        R"("daemon":"d","target":"t","born":1}]})",
        R"({"next_token":"x","entries":[]})"}) {
    CAPTURE(text);
    CHECK(!DecodeMap(text));
  }
}

}  // namespace
}  // namespace eelgrassbridge::ranges
