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

/// A map with entries of drawn owners, tokens, handovers and pending moves,
/// some of them to daemons that own nothing.
RangeMap DrawMap() {
  RangeMap map = MakeDividedMap(*rc::gen::inRange<std::size_t>(1, 9));
  map.next_token = 1000000;
  const auto cuts = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, kLastKey + 1));
  for (const std::uint32_t cut : cuts) {
    SplitAt(map, cut);
  }
  const std::vector<OwnerId> owners = MakeOwners(12);
  for (RangeEntry& entry : map.entries) {
    entry.owner = *rc::gen::elementOf(owners);
    entry.owner.born += *rc::gen::inRange(0, 2);
    entry.fencing_token = *rc::gen::inRange<std::uint64_t>(1, map.next_token);
    if (*rc::gen::arbitrary<bool>()) {
      entry.handover = *rc::gen::nonEmpty(
          rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')));
    }
    if (*rc::gen::arbitrary<bool>()) {
      entry.next_daemon = (*rc::gen::elementOf(owners)).daemon;
    }
  }
  return map;
}

TEST_CASE("any map is equal to itself after encoding and decoding") {
  // Guards against an entry that refers to the wrong owner or next daemon, in
  // particular to a daemon that owns nothing.
  rc::check("round trip", [] {
    const RangeMap map = DrawMap();
    const auto decoded = DecodeMap(EncodeMap(map));
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded.value() == map);
  });
}

TEST_CASE("a map in the former encoding is decoded") {
  // Guards against an upgraded daemon that rejects the map in the store.
  const auto map = DecodeMap(
      R"({"next_token":9,"entries":[{"first":0,"last":99,"token":8,)"
      R"("daemon":"d1","target":"t1","born":5,"handover":"h","next":"d3"},)"
      R"({"first":100,"last":65535,"token":2,)"
      R"("daemon":"d2","target":"t2","born":6}]})");
  REQUIRE(map);
  const RangeMap expected{9,
                          {{{0, 99}, 8, {"d1", "t1", 5}, "h", "d3"},
                           {{100, kLastKey}, 2, {"d2", "t2", 6}, "", ""}}};
  CHECK(map.value() == expected);
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

TEST_CASE("adjacent entries of a restarted target become one") {
  // Guards against a map that keeps the former divisions of keys that are
  // assigned anew together.
  RangeMap map = MakeDividedMap(2);
  SplitAt(map, 100);
  Reassign(map, map.entries[0], map.entries[0].owner, "handover data");
  const std::uint64_t before = map.next_token;
  OwnerId restarted = map.entries[0].owner;
  restarted.born = 200;
  REQUIRE(ReassignAfterRestart(map, restarted));
  MergeAdjacent(map);
  REQUIRE(map.entries.size() == 2);
  CHECK(map.entries[0].owner == restarted);
  CHECK(map.entries[0].fencing_token >= before);
  CHECK(map.entries[0].fencing_token < map.next_token);
}

TEST_CASE("maps that are malformed or break the invariants are rejected") {
  // Guards against using a row that another writer has corrupted.
  for (const char* text :
       {"", "[]", "{}", R"({"next_token":1,"entries":[{}]})",
        R"({"next_token":9,"entries":[{"first":0,"last":9,"token":1,)"
        R"("daemon":"d","target":"t","born":1}]})",
        R"({"next_token":1,"entries":[{"first":0,"last":65535,"token":1,)"
        R"("daemon":"d","target":"t","born":1}]})",
        R"({"next_token":"x","entries":[]})",
        R"({"next_token":9,"owners":[],"others":[],"entries":[[0,1,0]]})",
        R"({"next_token":9,"owners":[["d","t",1]],"entries":[[0,1,0]]})",
        R"({"next_token":9,"owners":[["d","t",1]],"others":[],)"
        R"("entries":[[0,1,-1]]})",
        R"({"next_token":9,"owners":[["d","t",1]],"others":[],)"
        R"("entries":[[0,1,0,"",1]]})",
        R"({"next_token":9,"owners":[["d","t",1]],"others":[],)"
        R"("entries":[[5,1,0]]})",
        R"({"next_token":9,"owners":[["d","t",1]],"others":[],)"
        R"("entries":[[0,1,0],[0,1,0]]})",
        R"({"next_token":9,"owners":[["d","t",1]],"others":[],)"
        R"("entries":[[0,9,0]]})",
        R"({"next_token":9,"owners":[["d","t"]],"others":[],)"
        R"("entries":[[0,1,0]]})"}) {
    CAPTURE(text);
    CHECK(!DecodeMap(text));
  }
}

TEST_CASE("maps with numbers that do not fit are rejected") {
  // Guards against numbers that wrap to valid ones, and against a next token
  // that overflows, after which tokens would start again.
  const auto map = [](const std::string& next_token, const std::string& entry) {
    return DecodeMap(R"({"next_token":)" + next_token + R"(,"entries":[{)" +
                     entry + R"("daemon":"d","target":"t"}]})");
  };
  const std::string good = R"("first":0,"last":65535,"token":1,"born":1,)";
  CHECK(map("9", good));
  CHECK(!map("18446744073709551615", good));
  CHECK(!map("-1", good));
  CHECK(!map("9.5", good));
  CHECK(!map("9", R"("first":4294967296,"last":65535,"token":1,"born":1,)"));
  CHECK(!map("9", R"("first":0,"last":4295032831,"token":1,"born":1,)"));
  CHECK(!map("9", R"("first":0.5,"last":65535,"token":1,"born":1,)"));
  CHECK(!map("9", R"("first":0,"last":65535,"token":1.5,"born":1,)"));
  CHECK(!map("9", R"("first":0,"last":65535,"token":1,"born":1e300,)"));
  CHECK(!DecodeMap(
      R"({"next_token":9,"entries":[{"first":0,"last":65535,"token":1,)"
      R"("born":1,"daemon":"d","target":"t\r\nX: y"}]})"));
}

}  // namespace
}  // namespace eelgrassbridge::ranges
