// Runs one benchmark scenario or all of them.
#include <array>
#include <iostream>
#include <string_view>

#include "bench/requests/scenarios.hpp"

namespace {

struct Scenario {
  std::string_view name;
  void (*run)();
};

namespace bench = eelgrassbridge::bench;

constexpr std::array<Scenario, 8> kScenarios{{
    {"straggler", bench::RunStraggler},
    {"cold_start", bench::RunColdStart},
    {"overload", bench::RunOverload},
    {"retry_storm", bench::RunRetryStorm},
    {"account_fairness", bench::RunAccountFairness},
    {"imbalance", bench::RunImbalance},
    {"poison", bench::RunPoison},
    {"decision_cost", bench::RunDecisionCost},
}};

int Usage() {
  std::cerr << "usage: request_bench [--scenario NAME], NAME one of:";
  for (const Scenario& scenario : kScenarios) {
    std::cerr << ' ' << scenario.name;
  }
  std::cerr << '\n';
  return 2;
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 1 &&
      (count != 3 || std::string_view(arguments[1]) != "--scenario")) {
    return Usage();
  }
  bool found = false;
  for (const Scenario& scenario : kScenarios) {
    if (count == 1 || scenario.name == arguments[2]) {
      scenario.run();
      found = true;
    }
  }
  return found ? 0 : Usage();
}
