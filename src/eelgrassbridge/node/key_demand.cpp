// Decaying counts of requests by key.
#include "eelgrassbridge/node/key_demand.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace eelgrassbridge::node {

namespace {

/// Counts lose their weight with this time constant: long enough for a few
/// dozen requests, short enough to follow keys that become busy.
constexpr double kDecaySeconds = 4;
constexpr base::Duration kDecayStep = base::milliseconds{250};
constexpr double kRunTimeWeight = 0.1;
constexpr std::uint32_t kParts = 16;
constexpr std::uint32_t kKeysPerBucket =
    (ranges::kLastKey + 1) / KeyDemand::kBuckets;

double DecayOf(base::Duration passed) {
  return std::exp(-std::chrono::duration<double>(passed).count() /
                  kDecaySeconds);
}

}  // namespace

void NoteArrival(KeyDemand& demand, std::uint32_t key, base::TimePoint now) {
  const base::Duration passed = now - demand.decayed_at;
  if (passed >= kDecayStep) {
    const double factor = DecayOf(passed);
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

void NoteRunTime(KeyDemand& demand, base::Duration run_time) {
  const double seconds = std::chrono::duration<double>(run_time).count();
  demand.run_seconds =
      demand.run_seconds == 0
          ? seconds
          : demand.run_seconds +
                (seconds - demand.run_seconds) * kRunTimeWeight;
}

ranges::OwnerLoad LoadOf(const KeyDemand& demand,
                         std::uint32_t slots,
                         base::TimePoint now) {
  ranges::OwnerLoad load;
  const double factor = DecayOf(now - demand.decayed_at);
  // Before the counts have filled up, they stand for a shorter time.
  const double filled = 1 - DecayOf(now - demand.first_request_at);
  load.requests_per_second =
      demand.total == 0
          ? 0
          : demand.total * factor / (kDecaySeconds * std::max(filled, 0.1));
  load.run_seconds = demand.run_seconds;
  load.slots = slots;
  double passed = 0;
  for (std::uint32_t i = 0; i < KeyDemand::kBuckets; ++i) {
    const double next =
        demand.total * static_cast<double>(load.quantiles.size() + 1) / kParts;
    if (i > 0 && demand.total > 0 && passed >= next &&
        load.quantiles.size() + 1 < kParts) {
      load.quantiles.push_back(i * kKeysPerBucket);
    }
    passed += demand.counts[i];
  }
  return load;
}

}  // namespace eelgrassbridge::node
