// Budget for retries and hedges: 10 % of the traffic for each class and
// target. A budget bounds the extra load during a failure, whereas a limit on
// attempts per request multiplies the load when every request fails.
#ifndef EELGRASSBRIDGE_LIMITS_RETRY_BUDGET_HPP
#define EELGRASSBRIDGE_LIMITS_RETRY_BUDGET_HPP

#include <array>
#include <cstdint>
#include <unordered_map>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/limits/target_limiter.hpp"

namespace eelgrassbridge::limits {

struct RetryBudgetOptions {
  /// Budget earned by each first attempt.
  double earned_per_attempt = 0.1;
  /// Maximum number of saved attempts, which bounds a burst of retries.
  double max_saved = 20;
};

/// @brief Saved attempts for each target and class. Invariant: in each class,
/// extra attempts to a target never exceed earned_per_attempt times the first
/// attempts to that target.
struct RetryBudget {
  RetryBudgetOptions options;
  std::unordered_map<base::DaemonId, std::array<double, kPriorityClassCount>>
      saved;
};

/// @brief Adds to the budget for a first attempt sent to that target.
void NoteFirstAttempt(RetryBudget& budget,
                      catalogue::PriorityClass priority,
                      base::DaemonId target);

/// @brief Returns whether an extra attempt (retry or hedge) may be sent to that
/// target; if so, deducts it from the budget.
bool TakeExtraAttempt(RetryBudget& budget,
                      catalogue::PriorityClass priority,
                      base::DaemonId target);

/// @brief Removes the state of a target that has left.
void ForgetTarget(RetryBudget& budget, base::DaemonId target);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_RETRY_BUDGET_HPP
