// Budget for retries and hedges: 10 % of the traffic for each class and
// target. A budget bounds the extra load in a failure; a count of attempts per
// request multiplies the load when everything fails.
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
  double part = 0.1;
  /// Most attempts that can be saved up, which bounds a burst of retries.
  double most_saved = 20;
};

/// @brief Saved attempts. Invariant: extra attempts to a target never exceed
/// part * first attempts to that target, in each class.
struct RetryBudget {
  RetryBudgetOptions options;
  std::unordered_map<base::DaemonId, std::array<double, kPriorityClassCount>>
      saved;
};

/// @brief A first attempt is sent to that target.
void NoteFirstAttempt(RetryBudget& budget,
                      catalogue::PriorityClass priority,
                      base::DaemonId target);

/// @brief Whether an extra attempt (retry or hedge) may be sent to that
/// target; takes it from the budget.
bool TakeExtraAttempt(RetryBudget& budget,
                      catalogue::PriorityClass priority,
                      base::DaemonId target);

/// @brief Drops the state of a target that left.
void ForgetTarget(RetryBudget& budget, base::DaemonId target);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_RETRY_BUDGET_HPP
