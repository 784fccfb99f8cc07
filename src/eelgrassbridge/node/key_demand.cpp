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
/// Time constant of the steady run time. It covers several of the spells of
/// 0.4 s in which a noisy neighbour makes a target three times slower.
constexpr double kSteadyDecaySeconds = 10;
/// Runs from which the steady run time is published.
constexpr double kMinSteadyRuns = 5;
/// Shortest time between the renewals of the lease while requests are refused;
/// half of the usual interval, so that plans see an overload sooner at less
/// than one write a second for each overloaded owner.
constexpr base::Duration kMinPublishInterval = base::milliseconds{750};
constexpr std::uint32_t kLoadParts = 16;
constexpr std::uint32_t kKeysPerBucket =
    (ranges::kLastKey + 1) / KeyDemand::kBuckets;

double DecayFactor(base::Duration elapsed,
                   double time_constant = kDecaySeconds) {
  return std::exp(-std::chrono::duration<double>(elapsed).count() /
                  time_constant);
}

/// Converts a count that was decayed last at `decayed_at` to a rate. Shortly
/// after the first request the counts cover less than the time constant.
double RateOf(const KeyDemand& demand, double count, base::TimePoint now) {
  if (demand.total == 0) {
    return 0;
  }
  constexpr double kMinCoverage = 0.1;
  const double coverage = 1 - DecayFactor(now - demand.first_request_at);
  return count * DecayFactor(now - demand.decayed_at) /
         (kDecaySeconds * std::max(coverage, kMinCoverage));
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
    demand.refused *= factor;
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

void RecordSteadyRunTime(KeyDemand& demand,
                         base::Duration run_time,
                         base::TimePoint now) {
  const double factor =
      DecayFactor(now - demand.steady_decayed_at, kSteadyDecaySeconds);
  demand.steady_decayed_at = now;
  demand.steady_runs = demand.steady_runs * factor + 1;
  demand.steady_run_sum = demand.steady_run_sum * factor +
                          std::chrono::duration<double>(run_time).count();
}

void RecordRefusal(KeyDemand& demand) {
  demand.refused += 1;
}

bool IsLoadNews(const KeyDemand& demand, base::TimePoint now) {
  return demand.adaptive && now - demand.published_at >= kMinPublishInterval;
}

ranges::OwnerLoad ComputeLoad(const KeyDemand& demand,
                              std::uint32_t slots,
                              base::TimePoint now) {
  ranges::OwnerLoad load;
  load.requests_per_second = RateOf(demand, demand.total, now);
  load.run_seconds = demand.run_seconds;
  load.slots = slots;
  load.quantiles =
      ranges::QuantileKeys(demand.counts, kKeysPerBucket, kLoadParts);
  return load;
}

ranges::OwnerLoad ComputeAdaptiveLoad(const KeyDemand& demand,
                                      std::uint32_t slots,
                                      std::uint32_t usable_slots,
                                      base::TimePoint now) {
  ranges::OwnerLoad load = ComputeLoad(demand, slots, now);
  if (demand.steady_runs >= kMinSteadyRuns) {
    load.steady_run_seconds = demand.steady_run_sum / demand.steady_runs;
  }
  load.refused_per_second = RateOf(demand, demand.refused, now);
  load.learned_limit = usable_slots < slots ? usable_slots : 0;
  load.parts = ranges::DemandParts(demand.counts, kKeysPerBucket,
                                   load.requests_per_second);
  return load;
}

}  // namespace eelgrassbridge::node
