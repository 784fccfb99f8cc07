// Tests of the target stand-in's rules: a fault in them would hide a fault of
// the product.
#include "target_state.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::standins {
namespace {

constexpr std::int64_t kNowMs = 1'000'000;

TargetState& Start(TargetState& state, TargetOptions options) {
  state.options = std::move(options);
  StartInstance(state, "a");
  return state;
}

// Guards against a cold target that takes any load.
TEST_CASE("A cold target falls over under load and warms up by successes") {
  TargetState state;
  Start(state, {.slots = 3, .cold_capacity = 1});
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kFellOver);
  EndRun(state);
  CHECK(state.capacity == 2);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kFellOver);
  CHECK(state.capacity == 1);
}

// Guards against runs beyond the slots, or after drain and deadline.
TEST_CASE("Refusals are not counted as runs") {
  TargetState state;
  Start(state, {.slots = 1, .starts_cold = false});
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kShed);
  CHECK(BeginRun(state, {.not_after_ms = kNowMs}, kNowMs) ==
        Admission::kTooLate);
  state.draining = true;
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kDraining);
  CHECK(state.runs == 1);
}

// Guards against a fencing target that lets an older epoch run.
TEST_CASE("A fencing target refuses an older epoch") {
  TargetState state;
  Start(state, {.starts_cold = false, .checks_fencing = true});
  CHECK(AcceptGrant(state, "g", 5));
  CHECK(!AcceptGrant(state, "g", 4));
  CHECK(BeginRun(state, {.group = "g", .epoch = 4}, kNowMs) ==
        Admission::kOldEpoch);
  CHECK(BeginRun(state, {.group = "g", .epoch = 5}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {.group = "other", .epoch = 1}, kNowMs) ==
        Admission::kRun);
}

}  // namespace
}  // namespace eelgrassbridge::standins
