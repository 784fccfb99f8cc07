// Scenarios on the simulated fleet: straggler, overload, retry storm, fairness.
#include <algorithm>
#include <string>

#include "bench/requests/figure.hpp"
#include "bench/requests/fleet_model.hpp"
#include "bench/requests/scenarios.hpp"

namespace eelgrassbridge::bench {

namespace {

/// Each second, the next of the six targets is slow for 300 ms.
Condition RotatingStraggler(std::uint32_t target, base::Duration since_start) {
  const auto second =
      static_cast<std::uint32_t>(since_start / base::seconds{1});
  const bool is_slow =
      since_start % base::seconds{1} < base::milliseconds{300} &&
      second % 6 == target;
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

double GoodFraction(const FleetResult& result) {
  return static_cast<double>(result.good) / static_cast<double>(result.offered);
}

/// Returns the attempts per offered request.
double AttemptsPerRequest(const FleetResult& result) {
  return static_cast<double>(result.attempts) /
         static_cast<double>(result.offered);
}

}  // namespace

void RunStraggler() {
  FleetOptions options;
  options.rate = 0.4 * Capacity(options);
  FleetResult no_straggler = RunFleet(kProduct, options);
  options.condition = RotatingStraggler;
  FleetResult product = RunFleet(kProduct, options);
  FleetResult baseline = RunFleet(kBaseline, options);
  const std::string name = "straggler";
  for (const auto& [metric, fraction] :
       {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99_9", 0.999}}) {
    Print({name,
           metric,
           "ms",
           Quantile(product.latencies_ms, fraction),
           Quantile(baseline.latencies_ms, fraction),
           {},
           Better::kLower});
  }
  const double no_straggler_p99 = Quantile(no_straggler.latencies_ms, 0.99);
  Print({name, "p99_over_no_straggler", "ratio",
         Quantile(product.latencies_ms, 0.99) / no_straggler_p99,
         Quantile(baseline.latencies_ms, 0.99) / no_straggler_p99, 1.5,
         Better::kLower});
  Print({name, "extra_attempts", "part", AttemptsPerRequest(product) - 1,
         AttemptsPerRequest(baseline) - 1, 0.1, Better::kLower});
}

void RunOverload() {
  FleetOptions options;
  options.length = base::seconds{5};
  const double capacity = Capacity(options);
  std::vector<std::pair<double, double>> goodput;
  const std::vector<int> factors{1, 2, 5, 10};
  for (const int factor : factors) {
    options.rate = factor * capacity;
    const double product = GoodFraction(RunFleet(kProduct, options)) * factor;
    const double baseline = GoodFraction(RunFleet(kBaseline, options)) * factor;
    goodput.emplace_back(product, baseline);
    Print({"overload",
           "goodput_at_" + std::to_string(factor) + "x",
           "part of capacity",
           product,
           baseline,
           {},
           Better::kHigher});
  }
  const auto highest = std::max_element(goodput.begin(), goodput.end())->first;
  const auto lowest = std::min_element(goodput.begin(), goodput.end())->first;
  double baseline_highest = 0;
  double baseline_lowest = 1;
  for (const auto& [product, baseline] : goodput) {
    baseline_highest = std::max(baseline_highest, baseline);
    baseline_lowest = std::min(baseline_lowest, baseline);
  }
  Print({"overload", "least_over_best_goodput", "ratio", lowest / highest,
         baseline_lowest / baseline_highest, 0.9, Better::kHigher});
}

void RunRetryStorm() {
  FleetOptions options;
  options.rate = 0.4 * Capacity(options);
  options.condition = HalfFails;
  const FleetResult product = RunFleet(kProduct, options);
  const FleetResult baseline = RunFleet(kBaseline, options);
  Print({"retry_storm", "attempts_per_request", "ratio",
         AttemptsPerRequest(product), AttemptsPerRequest(baseline), 1.2,
         Better::kLower});
  Print({"retry_storm",
         "answered_in_time",
         "part",
         GoodFraction(product),
         GoodFraction(baseline),
         {},
         Better::kHigher});
}

void RunAccountFairness() {
  FleetOptions options;
  options.length = base::seconds{5};
  options.rate = 3 * Capacity(options);
  // One client account offers nine tenths of the load.
  options.accounts = {0.9, 0.02, 0.02, 0.02, 0.02, 0.02};
  const FleetResult product = RunFleet(kProduct, options);
  const FleetResult baseline = RunFleet(kBaseline, options);
  const auto min_small_account = [](const FleetResult& result) {
    double lowest = 1;
    for (std::size_t i = 1; i < result.offered_by_account.size(); ++i) {
      lowest = std::min(lowest,
                        static_cast<double>(result.good_by_account[i]) /
                            static_cast<double>(result.offered_by_account[i]));
    }
    return lowest;
  };
  // All small accounts together offer 0.3 of the capacity, so all of their
  // requests can be answered.
  Print({"account_fairness", "small_accounts_answered", "part",
         min_small_account(product), min_small_account(baseline), 0.99,
         Better::kHigher});
  Print({"account_fairness", "goodput", "part of capacity",
         3 * GoodFraction(product), 3 * GoodFraction(baseline), 0.9,
         Better::kHigher});
}

}  // namespace eelgrassbridge::bench
