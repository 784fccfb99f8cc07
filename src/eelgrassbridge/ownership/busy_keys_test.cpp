// Guards against a hot key that is not detected and stays on its overloaded
// owner, and against counts whose memory grows with the number of keys.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "eelgrassbridge/ownership/busy_keys.hpp"

namespace eelgrassbridge::ownership {

static_assert(sizeof(BusyKeys) <= 400, "every owned group has one");

TEST_CASE(
    "busy keys: every key above 1/kEntries is found, no share is too low") {
  CHECK(rc::check([] {
    // A few values are repeated and many occur only once, in any order.
    const auto stream = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::weightedOneOf<std::uint64_t>(
            {{3, rc::gen::inRange<std::uint64_t>(0, 6)},
             {2, rc::gen::inRange<std::uint64_t>(6, 60)},
             {5, rc::gen::arbitrary<std::uint64_t>()}}));
    BusyKeys keys;
    std::map<std::uint64_t, std::uint32_t> exact;
    // Ten rounds, so that entries are replaced when all are used.
    for (std::uint64_t round = 0; round < 10; ++round) {
      for (const std::uint64_t key : stream) {
        const std::uint64_t named = key < 60 ? key : key + round;
        CountKey(keys, named);
        ++exact[named];
      }
    }
    const auto busiest = BusiestKeys(keys);
    RC_ASSERT(busiest.size() <= BusyKeys::kEntries);
    const double bound = 1.0 / BusyKeys::kEntries;
    for (const auto& [key, count] : exact) {
      const double share = static_cast<double>(count) / keys.total;
      const auto found = std::ranges::find(busiest, key, &KeyShare::key_hash);
      RC_ASSERT(share <= bound || found != busiest.end());
      if (found != busiest.end()) {
        RC_ASSERT(found->share >= share);
        RC_ASSERT(found->share <= share + bound + 1e-9);
      }
    }
  }));
}

TEST_CASE("busy keys: a key that becomes hot late replaces keys seen once") {
  BusyKeys keys;
  for (std::uint64_t key = 1; key <= 10'000; ++key) {
    CountKey(keys, key);
  }
  for (int i = 0; i < 5'000; ++i) {
    CountKey(keys, 77'777);
  }
  const auto busiest = BusiestKeys(keys);
  REQUIRE_FALSE(busiest.empty());
  CHECK(busiest.front().key_hash == 77'777);
  CHECK(busiest.front().share >= 1.0 / 3);
}

}  // namespace eelgrassbridge::ownership
