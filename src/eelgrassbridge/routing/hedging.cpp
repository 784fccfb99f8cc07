// Estimates the 95th percentile with the P-square algorithm of
// Boost.Accumulators over windows of a fixed number of samples.
#include "eelgrassbridge/routing/hedging.hpp"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace eelgrassbridge::routing {

namespace {

namespace accumulators = boost::accumulators;

constexpr double kHedgeQuantile = 0.95;

using Samples = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::p_square_quantile>>;

}  // namespace

namespace detail {

struct HedgeWindow {
  Samples samples{accumulators::quantile_probability = kHedgeQuantile};
};

}  // namespace detail

HedgeTracker::HedgeTracker(const HedgeOptions& hedge_options)
    : options(hedge_options),
      current_window(std::make_unique<detail::HedgeWindow>()) {}
HedgeTracker::~HedgeTracker() = default;
HedgeTracker::HedgeTracker(HedgeTracker&&) noexcept = default;
HedgeTracker& HedgeTracker::operator=(HedgeTracker&&) noexcept = default;

void AddHedgeSample(HedgeTracker& tracker, base::Duration latency) {
  Samples& samples = tracker.current_window->samples;
  samples(static_cast<double>(latency.count()));
  if (accumulators::count(samples) < tracker.options.window) {
    return;
  }
  tracker.p95 = base::Duration{
      static_cast<std::int64_t>(accumulators::p_square_quantile(samples))};
  tracker.current_window = std::make_unique<detail::HedgeWindow>();
}

std::optional<base::Duration> HedgeDelay(const HedgeTracker& tracker,
                                         const catalogue::Service& service,
                                         const catalogue::RequestKind& kind) {
  if (service.divided_by_key || !kind.idempotent ||
      tracker.p95 == base::Duration{0}) {
    return std::nullopt;
  }
  return std::max(tracker.p95, tracker.options.min_delay);
}

}  // namespace eelgrassbridge::routing
