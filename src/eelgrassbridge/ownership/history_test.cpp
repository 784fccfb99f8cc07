// Random histories of the model in bench/histories, in a small number.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "checker.hpp"
#include "history_model.hpp"

namespace eelgrassbridge::histories {
namespace {

TEST_CASE("histories: no two servers, no epoch back, no lost assignment") {
  CHECK(rc::check([] {
    HistoryOptions options;
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    const HistoryResult result = RunHistory(options);
    RC_ASSERT(result.violation == std::string{});
    RC_ASSERT(result.unserved_keys == 0U);
  }));
}

// In these histories a former owner heard of newer rows only, never read one,
// and so kept a write of unknown result open. A take-over that waited for that
// write never began, and the key stayed without an owner.
TEST_CASE("histories: an open write of a lost group blocks no take-over") {
  for (const std::uint64_t seed : {2067107U, 2078650U}) {
    HistoryOptions options;
    options.seed = seed;
    const HistoryResult result = RunHistory(options);
    CHECK(result.violation.empty());
    CHECK(result.unserved_keys == 0U);
  }
}

// Guards the checker itself: a check that sees nothing would pass everything.
TEST_CASE("histories: the checker sees each kind of violation") {
  const base::GroupId group{"listing", "sur", 0, std::nullopt};
  History history;
  history.served = {{1, group, 1, {1}, 0, 100}, {1, group, 2, {2}, 99, 200}};
  CHECK(CheckHistory(history).starts_with("two servers"));
  history.served = {{1, group, 2, {1}, 0, 100}, {1, group, 1, {2}, 100, 200}};
  CHECK(CheckHistory(history).starts_with("epoch went back"));
  history.served = {{1, group, 1, {1}, 0, 100}, {1, group, 2, {2}, 100, 200}};
  CHECK(CheckHistory(history).empty());
  ownership::GroupRow row;
  row.group = group;
  row.owner = {1};
  row.epoch = 1;
  history.told.emplace_back(row, 0);
  CHECK(CheckHistory(history).starts_with("a told assignment"));
  history.table.push_back(row);
  CHECK(CheckHistory(history).empty());
  row.owner = {2};
  history.table.push_back(row);
  CHECK(CheckHistory(history).starts_with("two owners"));
}

TEST_CASE("histories: breaking the wait before a take-over is caught") {
  HistoryOptions options;
  options.broken_rules.no_wait_before_take_over = true;
  std::string violation;
  for (options.seed = 1; options.seed <= 20 && violation.empty();
       ++options.seed) {
    violation = RunHistory(options).violation;
  }
  CHECK_FALSE(violation.empty());
}

}  // namespace
}  // namespace eelgrassbridge::histories
