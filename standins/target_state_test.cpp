// Tests of the target stand-in's admission rules, since a defect in them could
// mask a defect in the product.
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

// Guards against a cold target that accepts any load.
TEST_CASE("A cold target is overloaded beyond its capacity and warms up") {
  TargetState state;
  Start(state, {.slots = 3, .cold_capacity = 1});
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kOverloaded);
  EndRun(state);
  CHECK(state.capacity == 2);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kOverloaded);
  CHECK(state.capacity == 1);
}

// Guards against runs beyond the slots, while draining, or after the deadline.
TEST_CASE("Refusals are not counted as runs") {
  TargetState state;
  Start(state, {.slots = 1, .starts_cold = false});
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kShed);
  CHECK(BeginRun(state, {.not_after_ms = kNowMs}, kNowMs) ==
        Admission::kDeadlinePassed);
  state.draining = true;
  CHECK(BeginRun(state, {}, kNowMs) == Admission::kDraining);
  CHECK(state.runs == 1);
}

// Guards against a fencing target that runs requests of an older epoch.
TEST_CASE("A fencing target refuses an older epoch") {
  TargetState state;
  Start(state, {.starts_cold = false, .checks_fencing = true});
  CHECK(AcceptGrant(state, "g", 5));
  CHECK(!AcceptGrant(state, "g", 4));
  CHECK(BeginRun(state, {.group = "g", .epoch = 4}, kNowMs) ==
        Admission::kStaleEpoch);
  CHECK(BeginRun(state, {.group = "g", .epoch = 5}, kNowMs) == Admission::kRun);
  CHECK(BeginRun(state, {.group = "other", .epoch = 1}, kNowMs) ==
        Admission::kRun);
}

}  // namespace
}  // namespace eelgrassbridge::standins
