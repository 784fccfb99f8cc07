// Exponentially decaying counts of requests by key, and the load computed from
// them.
#include "eelgrassbridge/node/key_demand.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "eelgrassbridge/ranges/demand.hpp"

namespace eelgrassbridge::node {

namespace {

/// Time constant of the decay of counts: long enough to cover a few dozen
/// requests, short enough to follow keys that become busy.
constexpr double kDecaySeconds = 4;
constexpr base::Duration kDecayInterval = base::milliseconds{250};
constexpr double kRunTimeWeight = 0.1;
constexpr std::uint32_t kLoadParts = 16;
constexpr std::uint32_t kKeysPerBucket =
    (ranges::kLastKey + 1) / KeyDemand::kBuckets;

double DecayFactor(base::Duration elapsed) {
  return std::exp(-std::chrono::duration<double>(elapsed).count() /
                  kDecaySeconds);
}

}  // namespace

void RecordArrival(KeyDemand& demand, std::uint32_t key, base::TimePoint now) {
  const base::Duration elapsed = now - demand.decayed_at;
  if (elapsed >= kDecayInterval) {
    const double factor = DecayFactor(elapsed);
    for (float& count : demand.counts) {
      count *= static_cast<float>(factor);
    }
    demand.total *= factor;
    demand.decayed_at = now;
  }
  if (demand.first_request_at == base::TimePoint{}) {
    demand.first_request_at = now;
  }
  demand.counts[key / kKeysPerBucket] += 1;
  demand.total += 1;
}

void RecordRunTime(KeyDemand& demand, base::Duration run_time) {
  const double seconds = std::chrono::duration<double>(run_time).count();
  demand.run_seconds =
      demand.run_seconds == 0
          ? seconds
          : demand.run_seconds +
                (seconds - demand.run_seconds) * kRunTimeWeight;
}

ranges::OwnerLoad ComputeLoad(const KeyDemand& demand,
                              std::uint32_t slots,
                              base::TimePoint now) {
  ranges::OwnerLoad load;
  const double factor = DecayFactor(now - demand.decayed_at);
  // Shortly after the first request the counts cover less than the time
  // constant.
  const double coverage = 1 - DecayFactor(now - demand.first_request_at);
  load.requests_per_second =
      demand.total == 0
          ? 0
          : demand.total * factor / (kDecaySeconds * std::max(coverage, 0.1));
  load.run_seconds = demand.run_seconds;
  load.slots = slots;
  load.quantiles =
      ranges::QuantileKeys(demand.counts, kKeysPerBucket, kLoadParts);
  return load;
}

}  // namespace eelgrassbridge::node
