// The accumulator set behind LatencyStats: P-square quantiles need constant
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

void AddSample(LatencyStats& latency, Duration sample) {
  const auto value = static_cast<double>(sample.count());
  const std::scoped_lock lock(latency.mutex);
  latency.accumulator->moments(value);
  latency.accumulator->p50(value);
  latency.accumulator->p99(value);
}

LatencySummary Summarize(const LatencyStats& latency) {
  const std::scoped_lock lock(latency.mutex);
  const detail::LatencyAccumulator& set = *latency.accumulator;
  LatencySummary figures;
  figures.count = accumulators::count(set.moments);
  if (figures.count == 0) {
    return figures;
  }
  figures.mean = ToDuration(accumulators::mean(set.moments));
  figures.p50 = ToDuration(accumulators::p_square_quantile(set.p50));
  figures.p99 = ToDuration(accumulators::p_square_quantile(set.p99));
  figures.max = ToDuration(accumulators::max(set.moments));
  return figures;
}

}  // namespace eelgrassbridge::base
