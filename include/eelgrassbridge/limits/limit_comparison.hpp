// Compares two limits of one target by the runs that began while each was in
// force and fully used.
#ifndef EELGRASSBRIDGE_LIMITS_LIMIT_COMPARISON_HPP
#define EELGRASSBRIDGE_LIMITS_LIMIT_COMPARISON_HPP

#include <cstdint>
#include <optional>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/limits/run_times.hpp"

namespace eelgrassbridge::limits {

/// @brief What is known of a run when it begins.
struct RunStart {
  /// Number of the period in which the run begins.
  std::uint64_t period = 0;
  /// Whether the run takes the last place under the limit of the period.
  bool at_limit = false;
};

/// @brief A run that has ended, with an answer or at its deadline. Runs on a
/// cold target and cancelled runs are no samples.
struct RunSample {
  RunStart start;
  RunKind kind;
  base::Duration run_time{};
  /// The target has not answered by the deadline, so the run would have taken
  /// longer.
  bool late = false;
};

/// @brief Runs that began in one period, in which the limit is constant.
struct CapacityPeriod {
  std::uint64_t number = 0;
  std::uint32_t limit = 0;
  base::TimePoint begin{};
  base::TimePoint end{};
  std::uint32_t starts = 0;
  std::uint32_t starts_at_limit = 0;
  /// Runs that ended late in the period, whenever they began.
  std::uint32_t late = 0;
  /// Samples that began at the limit.
  double count = 0;
  /// Of the logarithms of their run times, relative to the mean of their kind.
  double sum = 0;
  double sum_of_squares = 0;
  /// Samples that ended within their objective.
  double in_time = 0;
};

/// @brief Samples under one of the two limits that are compared.
struct CapacityArm {
  std::uint32_t limit = 0;
  std::uint32_t periods = 0;
  double count = 0;
  double sum = 0;
  double sum_of_squares = 0;
  double in_time = 0;
  /// Sum of the squared means of the periods, weighted by their counts.
  double sum_of_squared_means = 0;
};

/// @brief Adds a sample that began at the limit of the period.
/// @param mean Of the logarithms of the run times of its kind.
void AddSample(CapacityPeriod& period, const RunSample& sample, double mean);

/// @brief Adds a period with at least one sample, whose runs have ended.
void AddPeriod(CapacityArm& arm, const CapacityPeriod& period);

/// @brief Returns whether the goodput is larger under the higher limit by at
/// least half as much as the limit; nothing if there are too few samples to
/// tell.
std::optional<bool> IsHigherBetter(const CapacityArm& low,
                                   const CapacityArm& high);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_LIMIT_COMPARISON_HPP
