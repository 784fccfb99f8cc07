// Estimates the quantiles with the P-square algorithm, which needs constant
// memory.
#include "eelgrassbridge/base/latency.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace eelgrassbridge::base {

namespace accumulators = boost::accumulators;

namespace detail {

using Quantile = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::p_square_quantile>>;

struct LatencyAccumulator {
  accumulators::accumulator_set<double,
                                accumulators::stats<accumulators::tag::count,
                                                    accumulators::tag::mean,
                                                    accumulators::tag::max>>
      moments;
  Quantile p50{accumulators::quantile_probability = 0.5};
  Quantile p99{accumulators::quantile_probability = 0.99};
};

}  // namespace detail

namespace {

Duration ToDuration(double value) {
  return Duration{static_cast<std::int64_t>(value)};
}

}  // namespace

LatencyStats::LatencyStats()
    : accumulator(std::make_unique<detail::LatencyAccumulator>()) {}

LatencyStats::~LatencyStats() = default;

void AddSample(LatencyStats& stats, Duration sample) {
  const auto value = static_cast<double>(sample.count());
  const std::scoped_lock lock(stats.mutex);
  stats.accumulator->moments(value);
  stats.accumulator->p50(value);
  stats.accumulator->p99(value);
}

LatencySummary Summarize(const LatencyStats& stats) {
  const std::scoped_lock lock(stats.mutex);
  const detail::LatencyAccumulator& samples = *stats.accumulator;
  LatencySummary summary;
  summary.count = accumulators::count(samples.moments);
  if (summary.count == 0) {
    return summary;
  }
  summary.mean = ToDuration(accumulators::mean(samples.moments));
  summary.p50 = ToDuration(accumulators::p_square_quantile(samples.p50));
  summary.p99 = ToDuration(accumulators::p_square_quantile(samples.p99));
  summary.max = ToDuration(accumulators::max(samples.moments));
  return summary;
}

}  // namespace eelgrassbridge::base
