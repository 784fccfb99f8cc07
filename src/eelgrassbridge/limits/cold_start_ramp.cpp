// Raises and lowers the level of a cold-start ramp.
#include "eelgrassbridge/limits/cold_start_ramp.hpp"

#include <algorithm>

namespace eelgrassbridge::limits {

namespace {

void StartRound(ColdStartRamp& ramp) {
  ramp.round_successes = 0;
  ramp.round_latency_sum_us = 0;
}

void LowerLevel(ColdStartRamp& ramp, std::uint32_t level) {
  ramp.level = std::max(1U, level);
  ++ramp.generation;
  StartRound(ramp);
}

/// Lowers the level because the target showed signs of overload.
void LowerLevelOnOverload(ColdStartRamp& ramp, std::uint32_t level) {
  // A single request in flight is the minimum and never counts as overload.
  if (ramp.level > 1) {
    ramp.round_length =
        std::min(2 * ramp.round_length, ramp.options.max_round_length);
  }
  LowerLevel(ramp, level);
}

void RaiseLevel(ColdStartRamp& ramp) {
  if (IsWarm(ramp)) {
    return;
  }
  ++ramp.level;
  if (IsWarm(ramp)) {
    ramp.round_length =
        std::max(ramp.round_length / 2, ramp.options.round_length);
  }
}

void EndRound(ColdStartRamp& ramp) {
  const double mean = ramp.round_latency_sum_us / ramp.round_successes;
  const double healthy = ramp.healthy_latency_us;
  StartRound(ramp);
  if (healthy == 0) {
    ramp.healthy_latency_us = mean;
    RaiseLevel(ramp);
    return;
  }
  // Slow rounds also update the healthy latency, so that a lasting change in
  // the mix of requests does not keep the level low forever.
  ramp.healthy_latency_us += ramp.options.healthy_weight * (mean - healthy);
  if (mean > healthy * ramp.options.overload_factor) {
    LowerLevelOnOverload(ramp, ramp.level / 2);
  } else if (mean <= healthy * ramp.options.healthy_factor) {
    RaiseLevel(ramp);
  } else if (!IsWarm(ramp)) {
    LowerLevelOnOverload(ramp, ramp.level - 1);
  }
}

}  // namespace

ColdStartRamp MakeRamp(std::uint32_t capacity, const RampOptions& options) {
  ColdStartRamp ramp;
  ramp.options = options;
  ramp.capacity = std::max(1U, capacity);
  ramp.round_length = std::max(1U, options.round_length);
  return ramp;
}

bool SetInstance(ColdStartRamp& ramp, std::string_view instance_id) {
  if (ramp.instance_id == instance_id) {
    return false;
  }
  ramp.instance_id = instance_id;
  Restart(ramp);
  return true;
}

void SetCapacity(ColdStartRamp& ramp, std::uint32_t capacity) {
  ramp.capacity = std::max(1U, capacity);
  ramp.level = std::min(ramp.level, ramp.capacity);
}

void NoteSuccess(ColdStartRamp& ramp,
                 base::Duration latency,
                 std::uint32_t in_flight,
                 std::uint64_t generation) {
  if (generation != ramp.generation ||
      (in_flight < ramp.level && !IsWarm(ramp))) {
    return;
  }
  ++ramp.round_successes;
  ramp.round_latency_sum_us += static_cast<double>(latency.count());
  if (ramp.round_successes >= ramp.level * ramp.round_length) {
    EndRound(ramp);
  }
}

void NoteRefusal(ColdStartRamp& ramp, std::uint64_t generation) {
  if (generation == ramp.generation) {
    LowerLevelOnOverload(ramp, ramp.level / 2);
  }
}

void Restart(ColdStartRamp& ramp) {
  ramp.healthy_latency_us = 0;
  LowerLevel(ramp, 1);
}

bool IsWarm(const ColdStartRamp& ramp) {
  return ramp.level >= ramp.capacity;
}

}  // namespace eelgrassbridge::limits
