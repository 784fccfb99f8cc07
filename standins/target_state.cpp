// Admission rules of the target stand-in.
#include "target_state.hpp"

#include <utility>

namespace eelgrassbridge::standins {

namespace {

void ResetToCold(TargetState& state) {
  state.capacity = state.options.cold_capacity;
  state.successes = 0;
}

// The caller holds the state's mutex.
bool IsFenced(TargetState& state, const RunRequest& request) {
  if (!state.options.checks_fencing || request.group.empty()) {
    return false;
  }
  auto& highest = state.highest_epoch[request.group];
  if (request.epoch < highest) {
    return true;
  }
  highest = request.epoch;
  return false;
}

}  // namespace

void StartInstance(TargetState& state, std::string instance) {
  const std::scoped_lock lock(state.mutex);
  state.instance = std::move(instance);
  state.capacity = state.options.slots;
  state.draining = false;
  if (state.options.starts_cold) {
    ResetToCold(state);
  }
}

Admission BeginRun(TargetState& state,
                   const RunRequest& request,
                   std::int64_t now_ms) {
  const std::scoped_lock lock(state.mutex);
  if (state.draining) {
    return Admission::kDraining;
  }
  if (request.not_after_ms != 0 && now_ms >= request.not_after_ms) {
    return Admission::kDeadlinePassed;
  }
  if (IsFenced(state, request)) {
    return Admission::kStaleEpoch;
  }
  if (state.in_flight >= state.options.slots) {
    ++state.shed;
    return Admission::kShed;
  }
  if (state.in_flight >= state.capacity) {
    ++state.overloads;
    ResetToCold(state);
    return Admission::kOverloaded;
  }
  ++state.in_flight;
  ++state.runs;
  return Admission::kRun;
}

void EndRun(TargetState& state) {
  const std::scoped_lock lock(state.mutex);
  --state.in_flight;
  if (state.capacity < state.options.slots &&
      ++state.successes >= state.capacity) {
    ++state.capacity;
    state.successes = 0;
  }
}

bool AcceptGrant(TargetState& state,
                 const std::string& group,
                 std::uint64_t epoch) {
  const std::scoped_lock lock(state.mutex);
  auto& highest = state.highest_epoch[group];
  if (epoch < highest) {
    return false;
  }
  highest = epoch;
  return true;
}

std::uint64_t CountKey(TargetState& state, const std::string& key) {
  const std::scoped_lock lock(state.mutex);
  return ++state.key_counts[key];
}

}  // namespace eelgrassbridge::standins
