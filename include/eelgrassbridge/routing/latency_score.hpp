// Decaying moving average (EWMA) of the latency of one target, measured on this
// daemon's own requests.
#ifndef EELGRASSBRIDGE_ROUTING_LATENCY_SCORE_HPP
#define EELGRASSBRIDGE_ROUTING_LATENCY_SCORE_HPP

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::routing {

struct LatencyScoreOptions {
  /// Time constant of the exponential decay of old samples.
  base::Duration decay{base::milliseconds{1000}};
};

/// @brief EWMA that rises to a slower sample at once and decays over time, so
/// that a straggler is detected at its first slow answer.
struct LatencyScore {
  double ewma_us = 0;
  base::TimePoint updated_at{};
};

void AddLatencySample(LatencyScore& score,
                      base::Duration sample,
                      base::TimePoint now,
                      const LatencyScoreOptions& options = {});

/// @brief Returns the score at `now` in microseconds, or zero if there is no
/// sample yet. Without new samples the score decays towards zero, so that a
/// former straggler is tried again.
double ScoreAt(const LatencyScore& score,
               base::TimePoint now,
               const LatencyScoreOptions& options = {});

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_LATENCY_SCORE_HPP
