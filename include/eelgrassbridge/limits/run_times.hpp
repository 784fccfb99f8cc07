// Run times of one target, by kind of request. Kinds differ in length, so a
// mean over all of them would say little about a single request.
#ifndef EELGRASSBRIDGE_LIMITS_RUN_TIMES_HPP
#define EELGRASSBRIDGE_LIMITS_RUN_TIMES_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"

namespace eelgrassbridge::limits {

/// @brief Requests that are expected to run for about as long.
struct RunKind {
  catalogue::RequestClass request_class =
      catalogue::RequestClass::kNonIdempotent;
  /// Latency objective of the route.
  base::Duration objective{};

  bool operator==(const RunKind&) const = default;
};

/// @brief Statistics of the logarithms of run times in microseconds. Run times
/// are spread over a factor, not over a difference, and a mean of logarithms is
/// robust to a few very long ones.
struct RunTimeStatistics {
  RunKind kind;
  std::uint64_t count = 0;
  /// Follow the last few runs.
  double mean = 0;
  double variance = 0;
  /// Follows the last few hundred runs.
  double slow_mean = 0;
  base::TimePoint last_run{};
};

/// @brief Invariant: at most kMaxRunKinds kinds, none twice.
struct RunTimes {
  std::vector<RunTimeStatistics> kinds;
};

inline constexpr std::size_t kMaxRunKinds = 16;

/// @brief Records a run that has ended. A new kind beyond the maximum replaces
/// the one whose last run is the longest ago.
/// @return The statistics of its kind; valid until the next call.
RunTimeStatistics& RecordRunTime(RunTimes& times,
                                 const RunKind& kind,
                                 base::Duration run_time,
                                 base::TimePoint now);

/// @brief Time within which most runs of the kind end, five of six if run times
/// are log-normal, and within which half of them end.
struct ExpectedRun {
  base::Duration most{};
  base::Duration half{};
};

/// @brief Returns the expected run time of a kind. Nothing if there are too few
/// recent runs: a target that got no runs because they seemed too long is tried
/// again.
std::optional<ExpectedRun> ExpectedRunTime(const RunTimes& times,
                                           const RunKind& kind,
                                           base::TimePoint now);

/// @brief How long a request may wait for its run.
struct WaitTerms {
  base::TimePoint deadline;
  /// Time left until its latency objective.
  base::Duration objective_left{};
  base::Duration max_wait{};
};

/// @brief Latest time to start a run. One that has to wait is to end by its
/// deadline most probably, and within its objective with even odds: others that
/// would meet theirs wait for the same slot. A quarter of the maximum wait is
/// allowed in spite of the objective.
/// @param starts_now A slot is free, so the run takes the place of no other.
/// Even odds of meeting the deadline are then enough, and the objective does
/// not count.
base::TimePoint LatestStart(const WaitTerms& terms,
                            const ExpectedRun& run,
                            bool starts_now,
                            base::TimePoint now);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_RUN_TIMES_HPP
