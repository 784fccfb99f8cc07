// Tests of the outcome checker: it must find each kind of violation, and none
// in a correct history.
#include "outcome_checker.hpp"

#include <doctest/doctest.h>

#include <sstream>

namespace eelgrassbridge::bench {
namespace {

RunLine MakeRun(std::string target, std::uint64_t epoch, std::int64_t start) {
  return {.tag = "t",
          .id = {},
          .service = "listing",
          .key = "k",
          .group = "g",
          .target = std::move(target),
          .epoch = epoch,
          .start_us = start,
          .end_us = start + 10};
}

// Guards against a checker that reports a regular change of owner.
TEST_CASE("A move under a higher epoch is not a violation") {
  const auto found = Check({}, {MakeRun("a", 1, 100), MakeRun("b", 2, 200)});
  CHECK(found.two_targets == 0);
  CHECK(found.epochs_back == 0);
}

// Guards against undetected concurrent owners.
TEST_CASE("Overlapping targets and older epochs are found") {
  CHECK(Check({}, {MakeRun("a", 1, 100), MakeRun("b", 2, 105)}).two_targets ==
        1);
  CHECK(Check({}, {MakeRun("a", 1, 100), MakeRun("b", 1, 200)}).two_targets ==
        1);
  CHECK(Check({}, {MakeRun("a", 2, 100), MakeRun("b", 1, 200)}).epochs_back ==
        1);
}

// Guards against an undetected false "not-run" outcome or second run.
TEST_CASE("Refusals that ran and second runs are found") {
  AttemptLine refused;
  refused.tag = "t";
  refused.outcome = "not-run";
  CHECK(Check({refused}, {MakeRun("a", 1, 100)}).refusals_that_ran == 1);
  AttemptLine once;
  once.tag = "u";
  once.id = "id-1";
  once.idempotent = false;
  once.outcome = "answered";
  auto first = MakeRun("a", 1, 100);
  first.id = "id-1";
  auto second = MakeRun("a", 1, 200);
  second.id = "id-1";
  CHECK(Check({once}, {first, second}).ran_twice == 1);
  CHECK(Check({once}, {first}).ran_twice == 0);
}

// Guards against dropping runs whose target was killed.
TEST_CASE("A run without an end line is read") {
  std::istringstream lines(
      "{\"tag\":\"x\",\"target\":\"a\",\"start\":5}\n"
      "{\"tag\":\"y\",\"target\":\"a\",\"start\":6}\n"
      "{\"tag\":\"y\",\"target\":\"a\",\"start\":6,\"end\":9}\n");
  const auto runs = ReadRuns(lines);
  REQUIRE(runs.size() == 2);
  CHECK(runs[0].end_us == 0);
  CHECK(runs[1].end_us == 9);
}

}  // namespace
}  // namespace eelgrassbridge::bench
