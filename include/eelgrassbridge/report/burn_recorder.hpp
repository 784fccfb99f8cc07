// Counts the outcomes of a daemon's requests in ring buffers of time buckets.
//
// Counts of several daemons can be added, but quantiles can't be merged. The
// buckets therefore count the answers that exceeded the latency objective, from
// which the latency burn rate is computed; the quantile is per bucket only.
#ifndef EELGRASSBRIDGE_REPORT_BURN_RECORDER_HPP
#define EELGRASSBRIDGE_REPORT_BURN_RECORDER_HPP

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "eelgrassbridge/base/error_table.hpp"
#include "eelgrassbridge/base/latency.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::report {

/// @brief Requests with different keys are counted separately.
struct BurnKey {
  std::string service;
  std::string kind;
  /// Result of AccountClass; never the name of an account.
  std::string account_class;

  bool operator==(const BurnKey&) const = default;
  bool operator<(const BurnKey& other) const {
    return std::tie(this->service, this->kind, this->account_class) <
           std::tie(other.service, other.kind, other.account_class);
  }
};

/// @brief Returns "no-account", "any-region" or the home regions joined by '+'.
/// Grouping accounts by home regions makes the failure of a single region
/// visible without exposing account names outside their home regions.
std::string AccountClass(const catalogue::ClientAccount* account);

/// @brief Counts and latencies of one time interval.
struct BurnBucket {
  /// Unix time in seconds, a multiple of the ring's bucket width.
  std::int64_t start_s = 0;
  std::uint64_t answered = 0;
  /// Answers that exceeded the latency objective; included in `answered`.
  std::uint64_t slow = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  base::Duration mean{};
  base::Duration p99{};
  base::Duration max{};

  bool operator==(const BurnBucket&) const = default;
};

/// @brief Returns the number of requests, and of those without an answer.
inline std::uint64_t Total(const BurnBucket& bucket) {
  return bucket.answered + bucket.not_run + bucket.unknown;
}
inline std::uint64_t Failed(const BurnBucket& bucket) {
  return bucket.not_run + bucket.unknown;
}

/// @brief Width and maximum number of the buckets of a ring.
struct RingShape {
  std::int64_t width_s;
  std::size_t count;
};

/// @brief One hour in buckets of 30 s for the short windows, and three days in
/// buckets of 10 min for the long ones.
inline constexpr std::array<RingShape, 2> kRingShapes{{{30, 120}, {600, 432}}};

/// @brief Buckets of one key and one shape. Invariant: at most shape.count
/// buckets, sorted by time.
struct BurnRing {
  std::vector<BurnBucket> buckets;
  /// Latency of the newest bucket.
  std::unique_ptr<base::LatencyStats> latency;
};

/// @brief All counts of one daemon; any thread may add to them.
///
/// Invariant: at most kMaxKeys keys (about 35 KB each); outcomes of further
/// keys are only counted in `dropped`.
struct BurnRecorder {
  static constexpr std::size_t kMaxKeys = 256;

  mutable std::mutex mutex;
  std::map<BurnKey, std::array<BurnRing, kRingShapes.size()>> rings;
  std::uint64_t dropped = 0;
  /// Unix time in seconds of the first outcome; zero before it.
  std::int64_t since_s = 0;
};

/// @brief Counts one completed request. Must not be called for requests that
/// failed through the caller's fault (such as bad_request), because they don't
/// reflect the availability of the service.
/// @param objective latency that 99 of 100 answers must not exceed
/// @param now_s wall clock time in Unix seconds, so that the buckets of all
/// daemons cover the same intervals
void RecordOutcome(BurnRecorder& recorder,
                   const BurnKey& key,
                   base::Outcome outcome,
                   base::Duration latency,
                   base::Duration objective,
                   std::int64_t now_s);

}  // namespace eelgrassbridge::report

#endif  // EELGRASSBRIDGE_REPORT_BURN_RECORDER_HPP
