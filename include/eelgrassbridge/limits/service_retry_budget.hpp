// One daemon's part of the retry budget that all daemons of a site share.
//
// The bound applies to each service, over a sliding window and over all
// daemons. Each daemon spends at most its share of the constant part and earns
// the rest from the requests that it receives, so no coordination is needed.
#ifndef EELGRASSBRIDGE_LIMITS_SERVICE_RETRY_BUDGET_HPP
#define EELGRASSBRIDGE_LIMITS_SERVICE_RETRY_BUDGET_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

struct ServiceRetryOptions {
  /// Retries earned by each request. Far below the bound, because its window
  /// slides, the traffic may drop within it, and each call that a retried
  /// request makes to another service counts as a retry there.
  double earned_per_request = 0.07;
  /// Retries per window that need no requests, over all daemons.
  double extra = 0;
  /// Fraction of `extra` that is spent. The rest is a margin for requests that
  /// a target counts as retries but this daemon does not.
  double extra_used_fraction = 0.3;
  base::Duration window{base::seconds{10}};
};

/// @brief Token buckets of retries, one for each service.
struct ServiceRetryBudget {
  ServiceRetryOptions options;
  struct Bucket {
    double retries = 0;
    base::TimePoint updated_at{};
  };
  std::map<std::string, Bucket, std::less<>> services;
};

/// @brief Adds to the budget for a request that arrived here, rejected or not.
void NoteRequest(ServiceRetryBudget& budget,
                 std::string_view service,
                 std::uint32_t daemons,
                 base::TimePoint now);

/// @brief Returns whether a request may be retried; if so, deducts the retry
/// from the budget.
bool TakeRetry(ServiceRetryBudget& budget,
               std::string_view service,
               std::uint32_t daemons,
               base::TimePoint now);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_SERVICE_RETRY_BUDGET_HPP
