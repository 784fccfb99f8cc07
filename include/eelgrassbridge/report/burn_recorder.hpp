// Outcomes of requests, counted by a daemon in rings of time buckets.
//
// Counts can be added up over daemons; quantiles cannot. So the buckets count
// the answers that were slower than the objective, which is what the report
// needs, and keep the quantile of their own bucket only.
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

/// @brief What is counted apart.
struct BurnKey {
  std::string service;
  std::string kind;
  /// As from AccountClass; never the name of an account.
  std::string account_class;

  bool operator==(const BurnKey&) const = default;
  bool operator<(const BurnKey& other) const {
    return std::tie(this->service, this->kind, this->account_class) <
           std::tie(other.service, other.kind, other.account_class);
  }
};

/// @brief "no-account", "any-region" or the home regions joined by '+': with
/// the classes by residency a fault of one region shows as such, and no name
/// of an account leaves its home regions.
std::string AccountClass(const catalogue::ClientAccount* account);

/// @brief Counts of one span of time.
struct BurnBucket {
  /// Unix seconds, a multiple of the ring's width.
  std::int64_t start_s = 0;
  std::uint64_t answered = 0;
  /// Of answered: slower than the objective.
  std::uint64_t slow = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  base::Duration mean{};
  base::Duration p99{};
  base::Duration max{};

  bool operator==(const BurnBucket&) const = default;
};

/// @brief Total of a bucket, and those of it that were not answered.
inline std::uint64_t Total(const BurnBucket& bucket) {
  return bucket.answered + bucket.not_run + bucket.unknown;
}
inline std::uint64_t Failed(const BurnBucket& bucket) {
  return bucket.not_run + bucket.unknown;
}

/// @brief Width and number of the buckets of a ring.
struct RingShape {
  std::int64_t width_s;
  std::size_t count;
};

/// @brief One hour for the short windows, three days for the long ones.
inline constexpr std::array<RingShape, 2> kRingShapes{{{30, 120}, {600, 432}}};

/// @brief The buckets of one key and one shape. Invariant: at most
/// shape.count buckets, in the order of time.
struct BurnRing {
  std::vector<BurnBucket> buckets;
  /// Latency of the newest bucket.
  std::unique_ptr<base::LatencyStats> latency;
};

/// @brief All counts of one daemon; any thread may record.
///
/// Invariant: at most kMaxKeys keys are held (about 35 KB each); outcomes of
/// further keys are only counted in dropped.
struct BurnRecorder {
  static constexpr std::size_t kMaxKeys = 256;

  mutable std::mutex mutex;
  std::map<BurnKey, std::array<BurnRing, kRingShapes.size()>> rings;
  std::uint64_t dropped = 0;
  /// Time of the first record; zero before it.
  std::int64_t since_s = 0;
};

/// @brief Counts one request that ended. Requests that the caller made wrongly
/// (bad_request and the like) are not recorded: they say nothing about the
/// service.
/// @param objective latency that 99 of 100 answers must meet
/// @param now_s wall clock in Unix seconds, so that buckets of several daemons
/// cover the same spans
void RecordOutcome(BurnRecorder& recorder,
                   const BurnKey& key,
                   base::Outcome outcome,
                   base::Duration latency,
                   base::Duration objective,
                   std::int64_t now_s);

}  // namespace eelgrassbridge::report

#endif  // EELGRASSBRIDGE_REPORT_BURN_RECORDER_HPP
