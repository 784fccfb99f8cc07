// Earns and spends the retry budget.
#include "eelgrassbridge/limits/retry_budget.hpp"

#include <algorithm>

namespace eelgrassbridge::limits {

void NoteFirstAttempt(RetryBudget& budget,
                      catalogue::PriorityClass priority,
                      base::DaemonId target) {
  double& saved = budget.saved[target][static_cast<std::size_t>(priority)];
  saved = std::min(saved + budget.options.earned_per_attempt,
                   budget.options.max_saved);
}

bool TakeExtraAttempt(RetryBudget& budget,
                      catalogue::PriorityClass priority,
                      base::DaemonId target) {
  const auto found = budget.saved.find(target);
  if (found == budget.saved.end()) {
    return false;
  }
  // In floating point, ten times 0.1 adds up to slightly less than 1.
  constexpr double kOneAttempt = 1 - 1e-9;
  double& saved = found->second[static_cast<std::size_t>(priority)];
  if (saved < kOneAttempt) {
    return false;
  }
  saved = std::max(0.0, saved - 1);
  return true;
}

void ForgetTarget(RetryBudget& budget, base::DaemonId target) {
  budget.saved.erase(target);
}

}  // namespace eelgrassbridge::limits
