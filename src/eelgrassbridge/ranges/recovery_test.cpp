// Tests which owners the keys have after the store was restored.
#include "eelgrassbridge/ranges/recovery.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace eelgrassbridge::ranges {
namespace {

LeaseRecord MakeLease(int number, std::vector<Claim> claims = {}) {
  LeaseRecord record;
  const std::string text = std::to_string(number);
  record.owner = {"10.0.0." + text + ":1", "target-" + text, 100};
  record.accepting = true;
  record.load.slots = 9;
  record.claims = std::move(claims);
  return record;
}

TEST_CASE("claims keep their owner and fencing token") {
  // Guards against keys that change hands, and against tokens that go back,
  // because a restored store has an older map or none.
  const std::vector<LeaseRecord> live = {
      MakeLease(1, {{{0, 999}, 7}, {{2000, 2999}, 12}}),
      MakeLease(2, {{{1000, 1999}, 9}})};
  const RangeMap map = RecoverMap(live, 3).value();
  CHECK(FindEntry(map, 500)->owner == live[0].owner);
  CHECK(FindEntry(map, 500)->fencing_token == 7);
  CHECK(FindEntry(map, 1000)->owner == live[1].owner);
  CHECK(FindEntry(map, 1999)->fencing_token == 9);
  CHECK(FindEntry(map, 2999)->fencing_token == 12);
}

TEST_CASE("keys without a claim get owners with tokens of the new era") {
  // Guards against a token that a lost owner may have had, and that is unknown
  // since the store was restored.
  const std::vector<LeaseRecord> live = {MakeLease(1, {{{0, 999}, 7}}),
                                         MakeLease(2)};
  const RangeMap map = RecoverMap(live, 3).value();
  for (std::uint32_t key = 1000; key <= kLastKey; key += 100) {
    const RangeEntry* const entry = FindEntry(map, key);
    REQUIRE(entry != nullptr);
    CHECK(entry->fencing_token >= std::uint64_t{3} << 32U);
    CHECK((entry->owner == live[0].owner || entry->owner == live[1].owner));
  }
  CHECK(DecodeMap(EncodeMap(map)));
}

TEST_CASE("without claims all keys are divided among the targets") {
  const std::vector<LeaseRecord> live = {MakeLease(1), MakeLease(2),
                                         MakeLease(3)};
  const RangeMap map = RecoverMap(live, 1).value();
  REQUIRE(map.entries.size() == 3);
  for (std::size_t i = 0; i < live.size(); ++i) {
    CHECK(map.entries[i].owner == live[i].owner);
    CHECK(SizeOf(map.entries[i].keys) >= (kLastKey + 1) / 3);
  }
}

TEST_CASE("no map is made while keys without a claim have no recipient") {
  // Guards against a first map with owners that have no name: no daemon can
  // read it, and it keeps a valid one from being written.
  std::vector<LeaseRecord> live = {MakeLease(1, {{{0, 999}, 7}})};
  live[0].accepting = false;
  CHECK(!RecoverMap(live, 3));
  live.push_back(MakeLease(2));
  const auto map = RecoverMap(live, 3);
  REQUIRE(map.has_value());
  CHECK(DecodeMap(EncodeMap(*map)));
}

TEST_CASE("a target that leaves keeps its claims if no other accepts keys") {
  std::vector<LeaseRecord> live = {MakeLease(1, {{{0, kLastKey}, 7}})};
  live[0].accepting = false;
  const auto map = RecoverMap(live, 3);
  REQUIRE(map.has_value());
  CHECK(FindEntry(*map, 0)->owner == live[0].owner);
}

TEST_CASE("of two claims of a key the higher fencing token counts") {
  const std::vector<LeaseRecord> live = {
      MakeLease(1, {{{0, kLastKey}, 20}}),
      MakeLease(2, {{{100, 200}, 10}, {{300, 400}, 30}})};
  const RangeMap map = RecoverMap(live, 1).value();
  CHECK(FindEntry(map, 150)->owner == live[0].owner);
  CHECK(FindEntry(map, 350)->owner == live[1].owner);
  CHECK(FindEntry(map, 401)->owner == live[0].owner);
}

TEST_CASE("a recovered map satisfies the invariants of range maps") {
  rc::check("any claims", [] {
    std::vector<LeaseRecord> live;
    const int owners = *rc::gen::inRange(0, 4);
    for (int i = 0; i < owners; ++i) {
      std::vector<Claim> claims;
      const int count = *rc::gen::inRange(0, 5);
      for (int j = 0; j < count; ++j) {
        const auto first = *rc::gen::inRange<std::uint32_t>(0, kLastKey + 1);
        const auto last = *rc::gen::inRange<std::uint32_t>(first, kLastKey + 1);
        claims.push_back(
            {{first, last}, *rc::gen::inRange<std::uint64_t>(1, 1000)});
      }
      live.push_back(MakeLease(i, std::move(claims)));
    }
    const RangeMap map = RecoverMap(live, 1).value();
    const auto decoded = DecodeMap(EncodeMap(map));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value() == map);
    for (const LeaseRecord& lease : live) {
      for (const Claim& claim : lease.claims) {
        const RangeEntry* const entry = FindEntry(map, claim.keys.first);
        RC_ASSERT(entry->fencing_token >= claim.fencing_token);
      }
    }
  });
}

TEST_CASE("a range that is moving is not claimed") {
  // Guards against two claims of a range whose next owner was written to the
  // store although the answer to that write was lost.
  RangeMap map = RecoverMap({{MakeLease(1)}}, 1).value();
  SplitAt(map, 100);
  map.entries[0].next_daemon = "10.0.0.2:1";
  const auto claims = ClaimsOf(map, MakeLease(1).owner);
  REQUIRE(claims.size() == 1);
  CHECK(claims[0].keys == KeyRange{100, kLastKey});
  OwnerId restarted = MakeLease(1).owner;
  restarted.born += 1;
  CHECK(ClaimsOf(map, restarted).empty());
}

TEST_CASE("claims end after every lease that a restore may have lost") {
  const LeaseOptions options;
  const RecoveryRecord record{RecoveryPhase::kCollecting, base::seconds{50}};
  LeaseRight right;
  Extend(right, base::TimePoint{} + base::seconds{50}, options);
  CHECK(EndOfClaims(record, options) > right.ends.time_since_epoch());
}

TEST_CASE("recovery rows are encoded and malformed ones are rejected") {
  const RecoveryRecord record{RecoveryPhase::kClosed, base::seconds{50}};
  const auto decoded = DecodeRecovery(EncodeRecovery(record));
  REQUIRE(decoded);
  CHECK(decoded.value() == record);
  CHECK(!DecodeRecovery(""));
  CHECK(!DecodeRecovery(R"({"phase":"open","since_us":1})"));
  CHECK(!DecodeRecovery(R"({"phase":"closed","since_us":"x"})"));
}

}  // namespace
}  // namespace eelgrassbridge::ranges
