// Scenarios on the model fleet: straggler, overload, retry storm, fairness.
#include <algorithm>
#include <string>

#include "bench/requests/figure.hpp"
#include "bench/requests/fleet_model.hpp"
#include "bench/requests/scenarios.hpp"

namespace eelgrassbridge::bench {

namespace {

/// Each target in turn is slow for 300 ms, one moment every second.
Condition SlowMoments(std::uint32_t target, base::Duration since_start) {
  const auto moment =
      static_cast<std::uint32_t>(since_start / base::seconds{1});
  const bool is_slow =
      since_start % base::seconds{1} < base::milliseconds{300} &&
      moment % 6 == target;
  return is_slow ? Condition::kSlow : Condition::kHealthy;
}

Condition HalfFails(std::uint32_t target, base::Duration since_start) {
  return since_start >= base::seconds{5} && target % 2 == 0
             ? Condition::kFailing
             : Condition::kHealthy;
}

double Capacity(const FleetOptions& options) {
  return options.daemons * options.slots /
         std::chrono::duration<double>(options.service_time).count();
}

double GoodPart(const FleetResult& result) {
  return static_cast<double>(result.good) / static_cast<double>(result.offered);
}

/// Attempts for each offered request.
double Load(const FleetResult& result) {
  return static_cast<double>(result.attempts) /
         static_cast<double>(result.offered);
}

}  // namespace

void RunStraggler() {
  FleetOptions options;
  options.rate = 0.4 * Capacity(options);
  FleetResult calm = RunFleet(kReal, options);
  options.condition = SlowMoments;
  FleetResult real = RunFleet(kReal, options);
  FleetResult plain = RunFleet(kPlain, options);
  const std::string name = "straggler";
  for (const auto& [metric, part] :
       {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99_9", 0.999}}) {
    Print({name,
           metric,
           "ms",
           Quantile(real.latencies_ms, part),
           Quantile(plain.latencies_ms, part),
           {},
           Better::kLower});
  }
  const double calm_p99 = Quantile(calm.latencies_ms, 0.99);
  Print({name, "p99_over_no_straggler", "ratio",
         Quantile(real.latencies_ms, 0.99) / calm_p99,
         Quantile(plain.latencies_ms, 0.99) / calm_p99, 1.5, Better::kLower});
  Print({name, "extra_attempts", "part", Load(real) - 1, Load(plain) - 1, 0.1,
         Better::kLower});
}

void RunOverload() {
  FleetOptions options;
  options.length = base::seconds{5};
  const double capacity = Capacity(options);
  std::vector<std::pair<double, double>> goodput;
  const std::vector<int> factors{1, 2, 5, 10};
  for (const int factor : factors) {
    options.rate = factor * capacity;
    const double real = GoodPart(RunFleet(kReal, options)) * factor;
    const double plain = GoodPart(RunFleet(kPlain, options)) * factor;
    goodput.emplace_back(real, plain);
    Print({"overload",
           "goodput_at_" + std::to_string(factor) + "x",
           "part of capacity",
           real,
           plain,
           {},
           Better::kHigher});
  }
  const auto best = std::max_element(goodput.begin(), goodput.end())->first;
  const auto least = std::min_element(goodput.begin(), goodput.end())->first;
  double plain_best = 0;
  double plain_least = 1;
  for (const auto& [real, plain] : goodput) {
    plain_best = std::max(plain_best, plain);
    plain_least = std::min(plain_least, plain);
  }
  Print({"overload", "least_over_best_goodput", "ratio", least / best,
         plain_least / plain_best, 0.9, Better::kHigher});
}

void RunRetryStorm() {
  FleetOptions options;
  options.rate = 0.4 * Capacity(options);
  options.condition = HalfFails;
  const FleetResult real = RunFleet(kReal, options);
  const FleetResult plain = RunFleet(kPlain, options);
  Print({"retry_storm", "attempts_per_request", "ratio", Load(real),
         Load(plain), 1.2, Better::kLower});
  Print({"retry_storm",
         "answered_in_time",
         "part",
         GoodPart(real),
         GoodPart(plain),
         {},
         Better::kHigher});
}

void RunAccountFairness() {
  FleetOptions options;
  options.length = base::seconds{5};
  options.rate = 3 * Capacity(options);
  // One client account offers as much as nine tenths of the load.
  options.accounts = {0.9, 0.02, 0.02, 0.02, 0.02, 0.02};
  const FleetResult real = RunFleet(kReal, options);
  const FleetResult plain = RunFleet(kPlain, options);
  const auto least_small = [](const FleetResult& result) {
    double least = 1;
    for (std::size_t i = 1; i < result.offered_by_account.size(); ++i) {
      least = std::min(least,
                       static_cast<double>(result.good_by_account[i]) /
                           static_cast<double>(result.offered_by_account[i]));
    }
    return least;
  };
  // All small accounts together offer 0.3 of the capacity, so each of them can
  // be answered whole.
  Print({"account_fairness", "small_accounts_answered", "part",
         least_small(real), least_small(plain), 0.99, Better::kHigher});
  Print({"account_fairness", "goodput", "part of capacity", 3 * GoodPart(real),
         3 * GoodPart(plain), 0.9, Better::kHigher});
}

}  // namespace eelgrassbridge::bench
