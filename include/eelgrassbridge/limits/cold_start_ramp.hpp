// Cold-start ramp: how many requests a target may have in flight while it
// warms up. The level follows observed answers, never the passing of time, so
// a target that warms up slowly is not overloaded by a schedule.
#ifndef EELGRASSBRIDGE_LIMITS_COLD_START_RAMP_HPP
#define EELGRASSBRIDGE_LIMITS_COLD_START_RAMP_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

struct RampOptions {
  /// A round whose mean latency exceeds the healthy latency by this factor
  /// does not raise the level and takes the last step back. Overload by one
  /// request shows as a factor of 1 + 1 / level, so it must be small.
  double healthy_factor = 1.25;
  /// A round whose mean latency exceeds it by this factor halves the level.
  double jump_factor = 3.0;
  /// Weight of one round in the healthy latency.
  double healthy_weight = 0.2;
  /// Successes of a round for each unit of the level. One would be enough for
  /// a target that warms up at the pace of the ramp; more leave a margin for
  /// slower ones and make the mean of a round steadier.
  std::uint32_t round_length = 4;
  /// Overload doubles the length of the rounds up to this one, because it
  /// shows that the target warms up slower than the ramp grew.
  std::uint32_t most_round_length = 16;
};

/// @brief State of the ramp of one target.
///
/// Invariants: 1 <= level <= capacity; every answer belongs to at most one
/// round; answers of requests sent before a restart are ignored.
struct ColdStartRamp {
  RampOptions options;
  /// What the target bears when warm: its slots, or less if it reports less.
  std::uint32_t capacity = 1;
  std::uint32_t level = 1;
  std::string instance_id;
  /// Increased at each change of level down; answers of earlier generations
  /// say nothing about the present level.
  std::uint64_t generation = 0;
  /// Present length of the rounds; kept over restarts, since a target of the
  /// same kind warms up at the same pace. Halved, down to the option's, each
  /// time the level reaches the capacity.
  std::uint32_t round_length = 1;
  std::uint32_t round_successes = 0;
  double round_latency_sum_us = 0;
  /// EWMA of the mean latency of healthy rounds; zero before the first one.
  double healthy_latency_us = 0;
};

/// @brief Starts a ramp at level 1.
ColdStartRamp MakeRamp(std::uint32_t capacity, const RampOptions& options = {});

/// @brief Takes note of the target's instance id; a fresh one restarts the
/// ramp. Returns whether it restarted.
bool SetInstance(ColdStartRamp& ramp, std::string_view instance_id);

/// @brief Changes what the target bears; lowers the level if necessary.
void SetCapacity(ColdStartRamp& ramp, std::uint32_t capacity);

/// @brief A whole answer of a request that was sent in that generation, with
/// the number in flight when it came. Before the level reaches the capacity,
/// answers at less than the level are not counted: they say nothing about what
/// the target bears at the level.
void NoteSuccess(ColdStartRamp& ramp,
                 base::Duration latency,
                 std::uint32_t in_flight,
                 std::uint64_t generation);

/// @brief The target refused a request of that generation: halves the level.
void NoteRefusal(ColdStartRamp& ramp, std::uint64_t generation);

/// @brief The target died or became unreachable: back to level 1.
void Restart(ColdStartRamp& ramp);

/// @brief Whether the level has reached the capacity.
bool IsWarm(const ColdStartRamp& ramp);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_COLD_START_RAMP_HPP
