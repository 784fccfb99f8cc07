// The budget of repeats that daemons share without talking.
#include "eelgrassbridge/limits/service_retry_budget.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace eelgrassbridge::limits {
namespace {

using base::TimePoint;

constexpr TimePoint kStart{base::Duration{base::seconds{100}}};
constexpr std::uint32_t kDaemons = 13;

ServiceRetryBudget Budget() {
  ServiceRetryBudget budget;
  budget.options.extra = 60;
  return budget;
}

TEST_CASE("all daemons together stay below the bound in any window") {
  // Guards against a storm of repeats when everything fails.
  std::vector<ServiceRetryBudget> budgets(kDaemons, Budget());
  int requests = 0;
  int repeats = 0;
  for (int millisecond = 0; millisecond < 10000; millisecond += 10) {
    const TimePoint now = kStart + base::milliseconds{millisecond};
    for (ServiceRetryBudget& budget : budgets) {
      NoteRequest(budget, "s", kDaemons, now);
      ++requests;
      for (int i = 0; i < 3; ++i) {
        repeats += TakeRepeat(budget, "s", kDaemons, now) ? 1 : 0;
      }
    }
  }
  CHECK(repeats <= 0.2 * requests + 60);
}

struct Fleet {
  std::uint32_t daemons;
  double extra;
  double parents_per_second;
  double own_per_second;
};

/// Arrivals at a service beyond the first of each request, and the bound, when
/// every request fails and so does every parent of its calls.
std::pair<double, double> RepeatsWithCalls(const Fleet& fleet) {
  constexpr double kCallsOfParent = 1.4;
  std::vector<ServiceRetryBudget> budgets(fleet.daemons);
  for (ServiceRetryBudget& budget : budgets) {
    budget.options.extra = fleet.extra;
  }
  double repeats = 0;
  double requests = 0;
  double due_parents = 0;
  double due_calls = 0;
  std::size_t turn = 0;
  for (int millisecond = 0; millisecond < 10000; ++millisecond) {
    const TimePoint now = kStart + base::milliseconds{millisecond};
    for (due_parents += fleet.parents_per_second / 1000; due_parents >= 1;
         due_parents -= 1) {
      ServiceRetryBudget& budget = budgets[++turn % fleet.daemons];
      NoteRequest(budget, "parents", fleet.daemons, now);
      due_calls += kCallsOfParent;
      if (TakeRepeat(budget, "parents", fleet.daemons, now)) {
        due_calls += kCallsOfParent;
        repeats += kCallsOfParent;
      }
    }
    for (due_calls += fleet.own_per_second / 1000; due_calls >= 1;
         due_calls -= 1) {
      ServiceRetryBudget& budget = budgets[++turn % fleet.daemons];
      NoteRequest(budget, "calls", fleet.daemons, now);
      requests += 1;
      repeats += TakeRepeat(budget, "calls", fleet.daemons, now) ? 1 : 0;
    }
  }
  return {repeats, 0.2 * requests + fleet.extra};
}

TEST_CASE("calls of repeated runs keep the bound of the service they call") {
  // Guards against 529 arrivals beyond the first where 513 were allowed: the
  // repeats of a service were within its own budget, and their calls were
  // repeats at another service.
  for (const Fleet& fleet : {Fleet{14, 62, 150, 20}, Fleet{14, 62, 40, 2},
                             Fleet{90, 220, 1500, 500}}) {
    const auto [repeats, bound] = RepeatsWithCalls(fleet);
    CAPTURE(fleet.daemons);
    CHECK(repeats <= bound);
  }
}

TEST_CASE("without requests only a share of the constant part is spent") {
  std::vector<ServiceRetryBudget> budgets(kDaemons, Budget());
  int repeats = 0;
  for (int second = 0; second < 10; ++second) {
    for (ServiceRetryBudget& budget : budgets) {
      while (
          TakeRepeat(budget, "s", kDaemons, kStart + base::seconds{second})) {
        ++repeats;
      }
    }
  }
  CHECK(repeats <= 60);
}

TEST_CASE("services do not spend each other's budget") {
  ServiceRetryBudget budget = Budget();
  while (TakeRepeat(budget, "a", 1, kStart)) {
  }
  CHECK(TakeRepeat(budget, "b", 1, kStart));
}

}  // namespace
}  // namespace eelgrassbridge::limits
