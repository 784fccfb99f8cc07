// The map of ranges and its invariants.
#include "eelgrassbridge/ranges/range_map.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace eelgrassbridge::ranges {
namespace {

std::vector<OwnerId> Owners(std::size_t count) {
  std::vector<OwnerId> owners;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    owners.push_back({"10.0.0." + number + ":1", "target-" + number, 100});
  }
  return owners;
}

RangeMap Divided(std::size_t count) {
  RangeMap map;
  const std::vector<OwnerId> owners = Owners(count);
  DivideEvenly(map, owners);
  return map;
}

TEST_CASE("each key has exactly one entry after any splits and merges") {
  // Guards against keys that nobody or two owners serve.
  rc::check("cover", [] {
    RangeMap map = Divided(*rc::gen::inRange<std::size_t>(1, 60));
    const auto cuts = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, kLastKey + 1));
    for (const std::uint32_t cut : cuts) {
      SplitAt(map, cut);
      RC_ASSERT(FindEntry(map, cut)->keys.first == cut);
    }
    if (*rc::gen::arbitrary<bool>()) {
      Merge(map);
    }
    const auto decoded = DecodeMap(EncodeMap(map));
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded.value() == map);
    const auto key = *rc::gen::inRange<std::uint32_t>(0, kLastKey + 1);
    RC_ASSERT(Contains(FindEntry(map, key)->keys, key));
  });
}

TEST_CASE("a new owner has a fencing token above all earlier ones") {
  RangeMap map = Divided(3);
  const std::uint64_t before = map.next_token;
  Reassign(map, map.entries[1], Owners(3)[2], "left over");
  CHECK(map.entries[1].fencing_token == before);
  CHECK(map.next_token == before + 1);
  CHECK(map.entries[1].handover == "left over");
}

TEST_CASE("a target that starts again is another owner") {
  // Guards against a new life that acts under the token of the old one.
  RangeMap map = Divided(2);
  OwnerId again = map.entries[0].owner;
  again.born = 200;
  const std::uint64_t old_token = map.entries[0].fencing_token;
  CHECK(AdoptNewLife(map, again));
  CHECK(map.entries[0].fencing_token > old_token);
  CHECK(map.entries[0].owner == again);
  CHECK(!AdoptNewLife(map, again));
}

TEST_CASE("rows that break the invariants are refused") {
  // Guards against a row that another writer has spoiled.
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
