// Tests of snapshots, in particular that corrupt ones are rejected.
#include "eelgrassbridge/store/table_snapshot.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::store {

TEST_CASE("a stored snapshot contains the catalogue and group rows") {
  Store store = MakeMemoryStore(std::make_shared<MemoryTable>());
  const auto written =
      Transact(store, {"op",
                       {{"catalogue/current", 0, "{\"version\":1}"},
                        {"group/listing/sur/0", 0, "row \"quoted\""},
                        {"member/1", 0, "not copied"}}});
  REQUIRE(written.status == TransactionResult::Status::kApplied);
  const auto taken = TakeTableSnapshot(store);
  REQUIRE(taken.has_value());
  REQUIRE(taken.value().rows.size() == 2);
  REQUIRE(SaveSnapshot(store, "snapshot", taken.value()).has_value());
  const auto loaded = LoadSnapshot(store, "snapshot");
  REQUIRE(loaded.has_value());
  CHECK(loaded.value().rows == taken.value().rows);
  CHECK(loaded.value().revision == taken.value().revision);
  CHECK_FALSE(LoadSnapshot(store, "absent").has_value());
}

TEST_CASE("truncated snapshots, corrupt ones and other rows are rejected") {
  const std::string good =
      EncodeSnapshot({7, {{"group/listing/sur/0", 3, "value"}}, "astillas", 5});
  CHECK(DecodeSnapshot(good).has_value());
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK_FALSE(DecodeSnapshot(good.substr(0, size)).has_value());
  }
  for (std::size_t at = 0; at < good.size(); ++at) {
    std::string damaged = good;
    damaged[at] = static_cast<char>(damaged[at] ^ 1);
    CHECK_FALSE(DecodeSnapshot(damaged).has_value());
  }
  CHECK_FALSE(
      DecodeSnapshot(EncodeSnapshot({7, {{"member/1", 1, "x"}}, "astillas", 5}))
          .has_value());
}

// Guards against routing by the rows of another site, or by rows so old that
// their owners can no longer be serving.
TEST_CASE("snapshots of another site or outside the age limits are rejected") {
  const auto read =
      DecodeSnapshot(EncodeSnapshot({7, {}, "astillas del plata", 100'000}));
  REQUIRE(read.has_value());
  const TableSnapshot& snapshot = read.value();
  const auto is_accepted = [&](std::string_view site, std::int64_t now_ms) {
    return CheckSnapshot(snapshot, site, now_ms, base::seconds{900})
        .has_value();
  };
  CHECK(is_accepted("astillas del plata", 100'000));
  CHECK(is_accepted("astillas del plata", 1'000'000));
  CHECK_FALSE(is_accepted("astillas del plata", 1'000'001));
  CHECK(is_accepted("astillas del plata", 40'000));
  CHECK_FALSE(is_accepted("astillas del plata", 39'999));
  CHECK_FALSE(is_accepted("astillas", 100'000));
}

}  // namespace eelgrassbridge::store
