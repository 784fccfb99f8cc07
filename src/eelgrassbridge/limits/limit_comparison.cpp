// Sums up samples, and decides by a sequential test of two hypotheses.
#include "eelgrassbridge/limits/limit_comparison.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::limits {

namespace {

/// Bound of a sample's logarithm relative to the mean: one run in 30 takes
/// seven times as long as the others.
constexpr double kMaxDeviation = 1.0;
/// Share of the growth in concurrency by which the goodput must grow for the
/// higher limit to be kept.
constexpr double kMinGain = 0.5;
/// Logarithm of the likelihood ratio at which a comparison is decided; it is
/// wrong about once in 20 times.
constexpr double kDecisiveRatio = 3;
/// Periods under each limit before a decision.
constexpr std::uint32_t kMinPeriods = 2;

/// Variance of one sample. Samples of one period are alike where a disturbance
/// covers it, so the differences between periods count if they are larger than
/// those between samples explain.
double VarianceOf(const CapacityArm& low, const CapacityArm& high) {
  double between = 0;
  double within = 0;
  for (const CapacityArm* const arm : {&low, &high}) {
    const double mean_part = arm->sum * arm->sum / arm->count;
    between += arm->sum_of_squared_means - mean_part;
    within += arm->sum_of_squares - mean_part;
  }
  between /= std::max(1.0, low.periods + high.periods - 2.0);
  within /= std::max(1.0, low.count + high.count - 2);
  // Few samples may be alike by chance.
  constexpr double kMinVariance = 0.2;
  return std::max({between, within, kMinVariance});
}

/// Logarithm of the factor by which the share of runs within their objective is
/// larger under the higher limit; zero unless the difference is significant. It
/// would otherwise only add noise to the comparison.
double GainInTime(const CapacityArm& low, const CapacityArm& high) {
  constexpr double kSignificant = 2;
  double variance = 0;
  double gain = 0;
  for (const CapacityArm* const arm : {&low, &high}) {
    const double share = (arm->in_time + 1) / (arm->count + 2);
    variance += (1 - share) / (share * arm->count);
    gain += (arm == &high ? 1 : -1) * std::log(share);
  }
  return std::abs(gain) < kSignificant * std::sqrt(variance) ? 0 : gain;
}

}  // namespace

void AddSample(CapacityPeriod& period, const RunSample& sample, double mean) {
  const auto microseconds =
      static_cast<double>(std::max<std::int64_t>(1, sample.run_time.count()));
  const double deviation =
      std::clamp(std::log(microseconds) - mean, -kMaxDeviation, kMaxDeviation);
  period.count += 1;
  period.sum += deviation;
  period.sum_of_squares += deviation * deviation;
  period.in_time +=
      !sample.late && sample.run_time <= sample.kind.objective ? 1 : 0;
}

void AddPeriod(CapacityArm& arm, const CapacityPeriod& period) {
  ++arm.periods;
  arm.count += period.count;
  arm.sum += period.sum;
  arm.sum_of_squares += period.sum_of_squares;
  arm.in_time += period.in_time;
  arm.sum_of_squared_means += period.sum * period.sum / period.count;
}

std::optional<bool> IsHigherBetter(const CapacityArm& low,
                                   const CapacityArm& high) {
  if (std::min(low.periods, high.periods) < kMinPeriods) {
    return std::nullopt;
  }
  const double growth = std::log(static_cast<double>(high.limit) / low.limit);
  const double gain = growth - (high.sum / high.count - low.sum / low.count) +
                      GainInTime(low, high);
  const double variance =
      VarianceOf(low, high) * (1 / low.count + 1 / high.count);
  // Tells a gain in proportion to the concurrency from none at all.
  const double ratio = (gain - kMinGain * growth) * growth / variance;
  if (std::abs(ratio) < kDecisiveRatio) {
    return std::nullopt;
  }
  return ratio > 0;
}

}  // namespace eelgrassbridge::limits
