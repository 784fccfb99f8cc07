// Updates the run-time statistics of each kind of request.
#include "eelgrassbridge/limits/run_times.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::limits {

namespace {

/// EWMA weight of one run: a change of speed shows after about 20 runs.
constexpr double kWeight = 0.05;
/// EWMA weight of one run in the slow mean, which has to stay nearly constant
/// while two limits are compared.
constexpr double kSlowWeight = 0.005;
/// Runs of a kind before its expected run time is used.
constexpr std::uint64_t kMinRuns = 10;
/// Expected run times older than this are not used.
constexpr base::Duration kMaxAge = base::seconds{1};
/// Part of the maximum wait, as a divisor, that a request may use although its
/// run will probably miss the objective. Without any queue, a slot that becomes
/// free would stay empty until the next request arrives.
constexpr std::int64_t kMinWaitDivisor = 4;

RunTimeStatistics& FindOrAdd(RunTimes& times, const RunKind& kind) {
  const auto found =
      std::ranges::find(times.kinds, kind, &RunTimeStatistics::kind);
  if (found != times.kinds.end()) {
    return *found;
  }
  if (times.kinds.size() < kMaxRunKinds) {
    times.kinds.emplace_back();
  } else {
    const auto oldest =
        std::ranges::min_element(times.kinds, {}, &RunTimeStatistics::last_run);
    *oldest = {};
    std::iter_swap(oldest, times.kinds.end() - 1);
  }
  times.kinds.back().kind = kind;
  return times.kinds.back();
}

}  // namespace

RunTimeStatistics& RecordRunTime(RunTimes& times,
                                 const RunKind& kind,
                                 base::Duration run_time,
                                 base::TimePoint now) {
  RunTimeStatistics& statistics = FindOrAdd(times, kind);
  ++statistics.count;
  statistics.last_run = now;
  const double first_weight = 1.0 / static_cast<double>(statistics.count);
  const double weight = std::max(kWeight, first_weight);
  const auto microseconds =
      static_cast<double>(std::max<std::int64_t>(1, run_time.count()));
  const double sample = std::log(microseconds);
  const double difference = sample - statistics.mean;
  statistics.mean += weight * difference;
  statistics.variance = statistics.count == 1
                            ? 0
                            : (1 - weight) * (statistics.variance +
                                              weight * difference * difference);
  statistics.slow_mean +=
      std::max(kSlowWeight, first_weight) * (sample - statistics.slow_mean);
  return statistics;
}

std::optional<ExpectedRun> ExpectedRunTime(const RunTimes& times,
                                           const RunKind& kind,
                                           base::TimePoint now) {
  const auto found =
      std::ranges::find(times.kinds, kind, &RunTimeStatistics::kind);
  if (found == times.kinds.end() || found->count < kMinRuns ||
      now - found->last_run > kMaxAge) {
    return std::nullopt;
  }
  const auto duration = [](double logarithm) {
    return base::Duration{static_cast<std::int64_t>(std::exp(logarithm))};
  };
  return ExpectedRun{duration(found->mean + std::sqrt(found->variance)),
                     duration(found->mean)};
}

base::TimePoint LatestStart(const WaitTerms& terms,
                            const ExpectedRun& run,
                            bool starts_now,
                            base::TimePoint now) {
  const base::Duration max_wait = std::max(base::Duration{0}, terms.max_wait);
  if (starts_now) {
    return std::min(terms.deadline - run.half, now + max_wait);
  }
  const base::Duration wait = std::clamp(terms.objective_left - run.half,
                                         max_wait / kMinWaitDivisor, max_wait);
  return std::min(terms.deadline - run.most, now + wait);
}

}  // namespace eelgrassbridge::limits
