// Earning and spending of the retry budget.
#include "eelgrassbridge/limits/retry_budget.hpp"

#include <algorithm>

namespace eelgrassbridge::limits {

void NoteFirstAttempt(RetryBudget& budget,
                      catalogue::PriorityClass priority,
                      base::DaemonId target) {
  double& saved = budget.saved[target][static_cast<std::size_t>(priority)];
  saved = std::min(saved + budget.options.part, budget.options.most_saved);
}

bool TakeExtraAttempt(RetryBudget& budget,
                      catalogue::PriorityClass priority,
                      base::DaemonId target) {
  const auto found = budget.saved.find(target);
  if (found == budget.saved.end()) {
    return false;
  }
  // Ten tenths add up to a little less than one.
  constexpr double kWhole = 1 - 1e-9;
  double& saved = found->second[static_cast<std::size_t>(priority)];
  if (saved < kWhole) {
    return false;
  }
  saved = std::max(0.0, saved - 1);
  return true;
}

void ForgetTarget(RetryBudget& budget, base::DaemonId target) {
  budget.saved.erase(target);
}

}  // namespace eelgrassbridge::limits
