// Latency figures on Boost.Accumulators.
#ifndef EELGRASSBRIDGE_BASE_LATENCY_HPP
#define EELGRASSBRIDGE_BASE_LATENCY_HPP

#include <cstdint>
#include <memory>
#include <mutex>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::base {

/// @brief What an accumulator has seen.
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

/// @brief Streaming latency figures; memory does not grow with the count.
struct LatencyStats {
  LatencyStats();
  ~LatencyStats();
  LatencyStats(const LatencyStats&) = delete;
  LatencyStats& operator=(const LatencyStats&) = delete;

  mutable std::mutex mutex;
  std::unique_ptr<detail::LatencyAccumulator> accumulator;
};

/// @brief Adds one sample.
void AddSample(LatencyStats& latency, Duration sample);

/// @brief Figures of all samples so far.
LatencySummary Summarize(const LatencyStats& latency);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_LATENCY_HPP
