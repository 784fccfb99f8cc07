// Load imbalance between targets when the keys follow a Zipf distribution.
#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "bench/requests/figure.hpp"
#include "bench/requests/scenarios.hpp"
#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/routing/target_choice.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr std::uint32_t kTargets = 6;
constexpr std::uint32_t kKeys = 10'000;
constexpr int kRequests = 300'000;
/// Requests in flight in the fleet at any time.
constexpr std::size_t kInFlight = 24;

double MaxOverMean(const std::vector<double>& load) {
  double sum = 0;
  for (const double one : load) {
    sum += one;
  }
  return *std::max_element(load.begin(), load.end()) * kTargets / sum;
}

std::discrete_distribution<std::uint32_t> ZipfKeys(double exponent) {
  std::vector<double> weights(kKeys);
  for (std::uint32_t i = 0; i < kKeys; ++i) {
    weights[i] = 1 / std::pow(i + 1, exponent);
  }
  return {weights.begin(), weights.end()};
}

/// Unsharded service: the target choice places each request.
double ChosenImbalance(double exponent) {
  std::mt19937_64 random(20261204);
  auto keys = ZipfKeys(exponent);
  routing::TargetTable table;
  std::vector<routing::TargetMember> members;
  for (std::uint32_t i = 0; i < kTargets; ++i) {
    members.push_back(
        {base::DaemonId{i + 1}, routing::Locality::kDataCentre, true});
  }
  routing::SetMembers(table, members);
  std::vector<double> load(kTargets);
  std::vector<base::DaemonId> in_flight;
  base::TimePoint now{base::seconds{1}};
  for (int i = 0; i < kRequests; ++i) {
    keys(random);
    now += base::Duration{100};
    if (in_flight.size() >= kInFlight) {
      const std::size_t pick = random() % in_flight.size();
      routing::RecordAnswer(
          table, in_flight[pick],
          {routing::AnswerReport::Kind::kAnswered, base::milliseconds{2}, {}},
          now);
      in_flight[pick] = in_flight.back();
      in_flight.pop_back();
    }
    const auto chosen = routing::ChooseTarget(table, random(), {}, now);
    routing::RecordRequestSent(table, *chosen, now);
    in_flight.push_back(*chosen);
    load[chosen->value - 1] += 1;
  }
  return MaxOverMean(load);
}

/// Placement by the hash of the key, as by a router that ignores load.
double HashedImbalance(double exponent) {
  std::mt19937_64 random(20261204);
  auto keys = ZipfKeys(exponent);
  std::vector<double> load(kTargets);
  for (int i = 0; i < kRequests; ++i) {
    const std::string key = "key-" + std::to_string(keys(random));
    load[base::Hash64(key) % kTargets] += 1;
  }
  return MaxOverMean(load);
}

}  // namespace

void RunImbalance() {
  for (const double exponent : {0.9, 1.1}) {
    Print({"imbalance",
           std::string("largest_over_mean_zipf_") +
               (exponent < 1 ? "0_9" : "1_1"),
           "ratio", ChosenImbalance(exponent), HashedImbalance(exponent), 1.1,
           Better::kLower});
  }
}

}  // namespace eelgrassbridge::bench
