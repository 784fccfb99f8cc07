// Updates and reads the decaying latency average of a target.
#include "eelgrassbridge/routing/latency_score.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::routing {

namespace {

double Weight(const LatencyScore& score,
              base::TimePoint now,
              const LatencyScoreOptions& options) {
  const auto elapsed = std::max(base::Duration{0}, now - score.updated_at);
  return std::exp(-static_cast<double>(elapsed.count()) /
                  static_cast<double>(options.decay.count()));
}

}  // namespace

void AddLatencySample(LatencyScore& score,
                      base::Duration sample,
                      base::TimePoint now,
                      const LatencyScoreOptions& options) {
  const auto value = static_cast<double>(sample.count());
  if (value >= score.ewma_us) {
    score.ewma_us = value;
  } else {
    const double weight = Weight(score, now, options);
    score.ewma_us = score.ewma_us * weight + value * (1 - weight);
  }
  score.updated_at = std::max(score.updated_at, now);
}

double ScoreAt(const LatencyScore& score,
               base::TimePoint now,
               const LatencyScoreOptions& options) {
  return score.ewma_us * Weight(score, now, options);
}

}  // namespace eelgrassbridge::routing
