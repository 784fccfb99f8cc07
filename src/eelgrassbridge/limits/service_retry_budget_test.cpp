// Tests the retry budget that daemons share without communication.
#include "eelgrassbridge/limits/service_retry_budget.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace eelgrassbridge::limits {
namespace {

using base::TimePoint;

constexpr TimePoint kStart{base::Duration{base::seconds{100}}};
constexpr std::uint32_t kDaemons = 13;

ServiceRetryBudget MakeBudget() {
  ServiceRetryBudget budget;
  budget.options.extra = 60;
  return budget;
}

TEST_CASE("all daemons together stay below the bound in any window") {
  // Guards against a retry storm when every request fails.
  std::vector<ServiceRetryBudget> budgets(kDaemons, MakeBudget());
  int requests = 0;
  int retries = 0;
  for (int millisecond = 0; millisecond < 10000; millisecond += 10) {
    const TimePoint now = kStart + base::milliseconds{millisecond};
    for (ServiceRetryBudget& budget : budgets) {
      NoteRequest(budget, "s", kDaemons, now);
      ++requests;
      for (int i = 0; i < 3; ++i) {
        retries += TakeRetry(budget, "s", kDaemons, now) ? 1 : 0;
      }
    }
  }
  CHECK(retries <= 0.2 * requests + 60);
}

struct Fleet {
  std::uint32_t daemons;
  double extra;
  double parents_per_second;
  double own_per_second;
};

/// Returns the arrivals at a service beyond the first of each request, and
/// their bound, when all requests fail, including the parents of its calls.
std::pair<double, double> RetriesWithCalls(const Fleet& fleet) {
  constexpr double kCallsOfParent = 1.4;
  std::vector<ServiceRetryBudget> budgets(fleet.daemons);
  for (ServiceRetryBudget& budget : budgets) {
    budget.options.extra = fleet.extra;
  }
  double retries = 0;
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
      if (TakeRetry(budget, "parents", fleet.daemons, now)) {
        due_calls += kCallsOfParent;
        retries += kCallsOfParent;
      }
    }
    for (due_calls += fleet.own_per_second / 1000; due_calls >= 1;
         due_calls -= 1) {
      ServiceRetryBudget& budget = budgets[++turn % fleet.daemons];
      NoteRequest(budget, "calls", fleet.daemons, now);
      requests += 1;
      retries += TakeRetry(budget, "calls", fleet.daemons, now) ? 1 : 0;
    }
  }
  return {retries, 0.2 * requests + fleet.extra};
}

TEST_CASE("calls of retried requests keep the bound of the called service") {
  // Guards against 529 arrivals beyond the first where 513 are allowed: the
  // retries of one service stay within its own budget, but their calls count
  // as retries at another service.
  for (const Fleet& fleet : {Fleet{14, 62, 150, 20}, Fleet{14, 62, 40, 2},
                             Fleet{90, 220, 1500, 500}}) {
    const auto [retries, bound] = RetriesWithCalls(fleet);
    CAPTURE(fleet.daemons);
    CHECK(retries <= bound);
  }
}

TEST_CASE("without requests only part of the constant budget is spent") {
  std::vector<ServiceRetryBudget> budgets(kDaemons, MakeBudget());
  int retries = 0;
  for (int second = 0; second < 10; ++second) {
    for (ServiceRetryBudget& budget : budgets) {
      while (TakeRetry(budget, "s", kDaemons, kStart + base::seconds{second})) {
        ++retries;
      }
    }
  }
  CHECK(retries <= 60);
}

TEST_CASE("services do not spend each other's budget") {
  ServiceRetryBudget budget = MakeBudget();
  while (TakeRetry(budget, "a", 1, kStart)) {
  }
  CHECK(TakeRetry(budget, "b", 1, kStart));
}

}  // namespace
}  // namespace eelgrassbridge::limits
