// Decaying latency (EWMA) of one target as seen by this daemon's own requests.
#ifndef EELGRASSBRIDGE_ROUTING_LATENCY_SCORE_HPP
#define EELGRASSBRIDGE_ROUTING_LATENCY_SCORE_HPP

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::routing {

struct LatencyScoreOptions {
  /// Time constant with which old samples lose weight.
  base::Duration decay{base::milliseconds{1000}};
};

/// @brief EWMA that jumps to a slower sample at once and falls with time, so
/// a straggler is seen at its first slow answer.
struct LatencyScore {
  double ewma_us = 0;
  base::TimePoint updated_at{};
};

void NoteLatency(LatencyScore& score,
                 base::Duration sample,
                 base::TimePoint now,
                 const LatencyScoreOptions& options = {});

/// @brief The score at that time; zero if there is no sample yet. A score
/// decays towards zero without samples, so a former straggler is tried again.
double ScoreAt(const LatencyScore& score,
               base::TimePoint now,
               const LatencyScoreOptions& options = {});

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_LATENCY_SCORE_HPP
