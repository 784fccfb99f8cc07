// Runs a small number of random histories of the model in bench/histories.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "checker.hpp"
#include "history_model.hpp"

namespace eelgrassbridge::histories {
namespace {

TEST_CASE(
    "histories: one server for a key, no epoch decrease, no lost assignment") {
  CHECK(rc::check([] {
    HistoryOptions options;
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    const HistoryResult result = RunHistory(options);
    RC_ASSERT(result.violation == std::string{});
    RC_ASSERT(result.unserved_keys == 0U);
  }));
}

// Guards against a take-over that waits forever for an open write, so that the
// key stays without an owner. In these histories a former owner received newer
// rows from other daemons but never read one from the table, and so kept a
// write of unknown result open.
TEST_CASE(
    "histories: an open write of a former owner does not block a take-over") {
  for (const std::uint64_t seed : {2067107U, 2078650U}) {
    HistoryOptions options;
    options.seed = seed;
    const HistoryResult result = RunHistory(options);
    CHECK(result.violation.empty());
    CHECK(result.unserved_keys == 0U);
  }
}

// Guards against a checker that accepts every history.
TEST_CASE("histories: the checker detects each kind of violation") {
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
  history.acted_on.emplace_back(row, 0);
  CHECK(CheckHistory(history).starts_with("an assignment acted on"));
  history.table.push_back(row);
  CHECK(CheckHistory(history).empty());
  row.owner = {2};
  history.table.push_back(row);
  CHECK(CheckHistory(history).starts_with("two owners"));
}

TEST_CASE("histories: a take-over without the wait is detected") {
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
