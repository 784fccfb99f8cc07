// Adds outcomes to the time buckets.
#include "eelgrassbridge/report/burn_recorder.hpp"

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::report {

namespace {

/// Stores the latency statistics of the newest bucket in it.
void StoreLatencyStats(BurnRing& ring) {
  if (ring.latency == nullptr) {
    return;
  }
  const base::LatencySummary summary = base::Summarize(*ring.latency);
  BurnBucket& newest = ring.buckets.back();
  newest.mean = summary.mean;
  newest.p99 = summary.p99;
  newest.max = summary.max;
}

/// Returns the bucket for a time, and adds it if needed. If the wall clock was
/// set back, returns the newest bucket, so that the buckets remain sorted.
BurnBucket& BucketAt(BurnRing& ring,
                     const RingShape& shape,
                     std::int64_t now_s) {
  const std::int64_t start = now_s - now_s % shape.width_s;
  if (ring.buckets.empty() || start > ring.buckets.back().start_s) {
    StoreLatencyStats(ring);
    if (ring.buckets.size() >= shape.count) {
      ring.buckets.erase(ring.buckets.begin());
    }
    BurnBucket bucket;
    bucket.start_s = start;
    ring.buckets.push_back(bucket);
    ring.latency = std::make_unique<base::LatencyStats>();
  }
  return ring.buckets.back();
}

}  // namespace

std::string AccountClass(const catalogue::ClientAccount* account) {
  if (account == nullptr) {
    return "no-account";
  }
  return account->home_regions.empty()
             ? "any-region"
             : catalogue::ResidencyName(account->home_regions);
}

void RecordOutcome(BurnRecorder& recorder,
                   const BurnKey& key,
                   base::Outcome outcome,
                   base::Duration latency,
                   base::Duration objective,
                   std::int64_t now_s) {
  const std::scoped_lock lock(recorder.mutex);
  if (recorder.since_s == 0) {
    recorder.since_s = now_s;
  }
  auto found = recorder.rings.find(key);
  if (found == recorder.rings.end()) {
    if (recorder.rings.size() >= BurnRecorder::kMaxKeys) {
      ++recorder.dropped;
      return;
    }
    found = recorder.rings.try_emplace(key).first;
  }
  for (std::size_t i = 0; i < kRingShapes.size(); ++i) {
    BurnRing& ring = found->second.at(i);
    BurnBucket& bucket = BucketAt(ring, kRingShapes.at(i), now_s);
    switch (outcome) {
      case base::Outcome::kAnswered:
        ++bucket.answered;
        bucket.slow += latency > objective ? 1 : 0;
        base::AddSample(*ring.latency, latency);
        break;
      case base::Outcome::kNotRun:
        ++bucket.not_run;
        break;
      case base::Outcome::kUnknown:
        ++bucket.unknown;
        break;
    }
  }
}

}  // namespace eelgrassbridge::report
