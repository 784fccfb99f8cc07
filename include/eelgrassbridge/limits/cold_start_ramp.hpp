// Cold-start ramp: limits the number of requests in flight to a target while
// it warms up. The level follows observed answers, never elapsed time, so that
// a target that warms up slowly is not overloaded.
#ifndef EELGRASSBRIDGE_LIMITS_COLD_START_RAMP_HPP
#define EELGRASSBRIDGE_LIMITS_COLD_START_RAMP_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

struct RampOptions {
  /// A round whose mean latency exceeds the healthy latency by this factor
  /// lowers the level by one instead of raising it, unless the target is warm.
  /// One request too many raises the latency by a factor of only 1 + 1 / level,
  /// so this factor must be small.
  double healthy_factor = 1.25;
  /// A round whose mean latency exceeds the healthy latency by this factor
  /// halves the level.
  double overload_factor = 3.0;
  /// EWMA weight of one round in the healthy latency.
  double healthy_weight = 0.2;
  /// Successes per round for each unit of the level. One is enough for a
  /// target that warms up as fast as the ramp grows; more leave a margin for
  /// slower targets and reduce the variance of a round's mean.
  std::uint32_t round_length = 4;
  /// Maximum round length. Each overload doubles the length up to this, because
  /// the target warms up more slowly than the ramp grows.
  std::uint32_t max_round_length = 16;
};

/// @brief State of the ramp of one target.
///
/// Invariants: 1 <= level <= capacity; every answer counts in at most one
/// round; answers to requests sent before a restart are ignored.
struct ColdStartRamp {
  RampOptions options;
  /// Concurrent requests that the target can serve when warm: its slots, or
  /// fewer if it reports fewer.
  std::uint32_t capacity = 1;
  std::uint32_t level = 1;
  std::string instance_id;
  /// Increases each time an answer or a restart lowers the level. Answers of
  /// earlier generations carry no information about the current level.
  std::uint64_t generation = 0;
  /// Current round length. Kept across restarts, since a restarted target is
  /// expected to warm up at the same rate as before. Halved, down to the
  /// option's value, each time the level reaches the capacity.
  std::uint32_t round_length = 1;
  std::uint32_t round_successes = 0;
  double round_latency_sum_us = 0;
  /// Reference for the latency of a healthy round: EWMA of the mean latencies
  /// of all rounds since the last restart; zero before the first one ends.
  double healthy_latency_us = 0;
};

/// @brief Starts a ramp at level 1.
ColdStartRamp MakeRamp(std::uint32_t capacity, const RampOptions& options = {});

/// @brief Records the target's instance id; a new id restarts the ramp.
/// Returns whether the ramp restarted.
bool SetInstance(ColdStartRamp& ramp, std::string_view instance_id);

/// @brief Changes the capacity; lowers the level if it exceeds it.
void SetCapacity(ColdStartRamp& ramp, std::uint32_t capacity);

/// @brief Records a complete answer to a request of that generation, with the
/// number of requests in flight when it arrived. Before the level reaches the
/// capacity, answers with fewer requests in flight than the level are ignored:
/// they don't show whether the target can serve that level.
void NoteSuccess(ColdStartRamp& ramp,
                 base::Duration latency,
                 std::uint32_t in_flight,
                 std::uint64_t generation);

/// @brief Halves the level after the target refused a request of that
/// generation.
void NoteRefusal(ColdStartRamp& ramp, std::uint64_t generation);

/// @brief Returns to level 1 after the target died or became unreachable.
void Restart(ColdStartRamp& ramp);

/// @brief Returns whether the level has reached the capacity.
bool IsWarm(const ColdStartRamp& ramp);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_COLD_START_RAMP_HPP
