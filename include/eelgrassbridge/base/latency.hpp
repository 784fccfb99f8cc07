// Streaming latency statistics, based on Boost.Accumulators.
#ifndef EELGRASSBRIDGE_BASE_LATENCY_HPP
#define EELGRASSBRIDGE_BASE_LATENCY_HPP

#include <cstdint>
#include <memory>
#include <mutex>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::base {

struct LatencySummary {
  std::uint64_t count = 0;
  Duration mean{};
  Duration p50{};
  Duration p99{};
  Duration max{};
};

namespace detail {
struct LatencyAccumulator;
}  // namespace detail

/// @brief Accumulates latency samples in constant memory; any thread may use
/// it.
struct LatencyStats {
  LatencyStats();
  ~LatencyStats();
  LatencyStats(const LatencyStats&) = delete;
  LatencyStats& operator=(const LatencyStats&) = delete;

  mutable std::mutex mutex;
  std::unique_ptr<detail::LatencyAccumulator> accumulator;
};

void AddSample(LatencyStats& latency, Duration sample);

/// @brief Returns the statistics of all samples so far. The quantiles are
/// estimates.
LatencySummary Summarize(const LatencyStats& latency);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_LATENCY_HPP
