// Growth and fall of the ramp.
#include "eelgrassbridge/limits/cold_start_ramp.hpp"

#include <algorithm>

namespace eelgrassbridge::limits {

namespace {

void StartRound(ColdStartRamp& ramp) {
  ramp.round_successes = 0;
  ramp.round_latency_sum_us = 0;
}

void Fall(ColdStartRamp& ramp, std::uint32_t level) {
  ramp.level = std::max(1U, level);
  ++ramp.generation;
  StartRound(ramp);
}

void EndRound(ColdStartRamp& ramp) {
  const double mean = ramp.round_latency_sum_us / ramp.round_successes;
  const double healthy = ramp.healthy_latency_us;
  StartRound(ramp);
  if (healthy == 0 || mean < healthy) {
    ramp.healthy_latency_us = mean;
  } else {
    // A slower round moves the healthy latency too, so that a lasting change
    // in the mix of requests does not hold the level down for ever.
    ramp.healthy_latency_us += ramp.options.healthy_weight * (mean - healthy);
  }
  if (healthy != 0 && mean > healthy * ramp.options.jump_factor) {
    Fall(ramp, ramp.level / 2);
  } else if (healthy == 0 || mean <= healthy * ramp.options.healthy_factor) {
    ramp.level = std::min(ramp.level + 1, ramp.capacity);
  }
}

}  // namespace

ColdStartRamp MakeRamp(std::uint32_t capacity, const RampOptions& options) {
  ColdStartRamp ramp;
  ramp.options = options;
  ramp.capacity = std::max(1U, capacity);
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
  if (generation != ramp.generation || in_flight < ramp.level) {
    return;
  }
  ++ramp.round_successes;
  ramp.round_latency_sum_us += static_cast<double>(latency.count());
  if (ramp.round_successes >= ramp.level) {
    EndRound(ramp);
  }
}

void NoteRefusal(ColdStartRamp& ramp, std::uint64_t generation) {
  if (generation == ramp.generation) {
    Fall(ramp, ramp.level / 2);
  }
}

void Restart(ColdStartRamp& ramp) {
  ramp.healthy_latency_us = 0;
  Fall(ramp, 1);
}

bool IsWarm(const ColdStartRamp& ramp) {
  return ramp.level >= ramp.capacity;
}

}  // namespace eelgrassbridge::limits
