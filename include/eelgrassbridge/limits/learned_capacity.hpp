// Learned capacity of one target: the number of concurrent requests that it
// handles well, which may be fewer than its slots.
//
// The number in flight depends on the run time, so run times at different
// numbers in flight must not be compared as they come: a slow call of the
// target, or a noisy neighbour, raises both. Instead, while more requests ask
// for the target than its limit admits, the limit alternates between two values
// in short periods of random order and length, and the run times under both are
// compared. Whatever else changes the run times changes both alike. The higher
// value is kept if the runs that end within their objective grow by at least
// half as much as the requests in flight; otherwise the lower one is kept.
//
// docs/design/learned-capacity.md has the alternatives and the measurements.
#ifndef EELGRASSBRIDGE_LIMITS_LEARNED_CAPACITY_HPP
#define EELGRASSBRIDGE_LIMITS_LEARNED_CAPACITY_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/limits/limit_comparison.hpp"
#include "eelgrassbridge/limits/run_times.hpp"

namespace eelgrassbridge::limits {

/// @brief A change of the limit that is worth a log line.
struct CapacityChange {
  std::uint32_t before = 0;
  std::uint32_t after = 0;
};

/// @brief State of the learned capacity of one target.
///
/// Invariants: floor <= limit of each period <= slots; low.limit < high.limit
/// unless the floor equals the slots, in which case nothing is learned;
/// low.limit <= level <= high.limit.
struct LearnedCapacity {
  std::uint32_t slots = 0;
  /// Best known limit. It is in force while no comparison runs.
  std::uint32_t level = 0;
  CapacityArm low;
  CapacityArm high;
  /// Distance of the two limits, which falls when a decision reverses the one
  /// before.
  std::uint32_t step = 1;
  /// Whether the last decision raised the level.
  std::optional<bool> last_raised;
  /// Length of the last rest, and the level in it.
  base::Duration rest{};
  std::uint32_t rested_level = 0;
  /// No comparison begins before this time.
  base::TimePoint rest_until{};
  /// Remaining periods of the running round of the comparison, the next one
  /// last: true for the higher limit. The order high, low, low, high, or its
  /// opposite, cancels a steady change of speed.
  std::vector<bool> round;
  bool comparing = false;
  /// Since when there has been demand above the limit; nothing if there is
  /// none.
  std::optional<base::TimePoint> at_limit_since;
  /// When a period was last taken into the comparison.
  base::TimePoint compared_at{};
  /// The present period, and before it the former one, whose runs are ending.
  CapacityPeriod period;
  CapacityPeriod former;
  /// When the run times became longer than usual; nothing if they are not.
  std::optional<base::TimePoint> slow_since;
  RunTimes run_times;
  /// State of the random numbers for the order and the length of periods.
  std::uint64_t random = 0;
  std::uint64_t changes_total = 0;
  /// Level in the last CapacityChange, and since when the level has differed
  /// from it by a quarter or more.
  std::uint32_t reported_level = 0;
  std::optional<base::TimePoint> differs_since;
};

/// @brief Returns the lowest limit that is learned: 2 or a quarter of the
/// slots, whichever is more, but no more than the slots.
std::uint32_t CapacityFloor(std::uint32_t slots);

/// @brief Begins anew at the stated slots, for a new target.
/// @param seed Of the order and the length of periods.
void Restart(LearnedCapacity& capacity,
             std::uint32_t slots,
             std::uint64_t seed,
             base::TimePoint now);

/// @brief Returns the limit that is in force now.
std::uint32_t CapacityOf(const LearnedCapacity& capacity);

/// @brief Records that a run begins.
/// @param in_flight Includes the run itself.
RunStart RecordStart(LearnedCapacity& capacity,
                     std::uint32_t in_flight,
                     base::TimePoint now);

/// @brief Records a run that has ended.
void RecordRun(LearnedCapacity& capacity,
               const RunSample& sample,
               base::TimePoint now);

/// @brief Returns a change by a quarter or more that has lasted for 2 s, once.
std::optional<CapacityChange> TakeChange(LearnedCapacity& capacity,
                                         base::TimePoint now);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_LEARNED_CAPACITY_HPP
