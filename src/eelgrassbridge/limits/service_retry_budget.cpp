// Refills and spends the token buckets of retries, one for each service.
#include "eelgrassbridge/limits/service_retry_budget.hpp"

#include <algorithm>

namespace eelgrassbridge::limits {

namespace {

/// Retries that a daemon can save, as a multiple of its share of the constant
/// part, but at least one. Bounds a simultaneous burst of all daemons after a
/// long idle time.
constexpr double kMaxSavedShares = 2;

ServiceRetryBudget::Bucket& RefillBucket(ServiceRetryBudget& budget,
                                         std::string_view service,
                                         std::uint32_t daemons,
                                         base::TimePoint now) {
  const ServiceRetryOptions& options = budget.options;
  const double constant =
      options.extra * options.extra_used_fraction / std::max(1U, daemons);
  auto found = budget.services.find(service);
  if (found == budget.services.end()) {
    found = budget.services
                .emplace(std::string(service),
                         ServiceRetryBudget::Bucket{constant, now})
                .first;
  }
  ServiceRetryBudget::Bucket& bucket = found->second;
  const double windows =
      static_cast<double>((now - bucket.updated_at).count()) /
      static_cast<double>(options.window.count());
  const double max_retries = std::max(1.0, constant * kMaxSavedShares);
  bucket.retries = std::min(bucket.retries + constant * windows, max_retries);
  bucket.updated_at = now;
  return bucket;
}

}  // namespace

void NoteRequest(ServiceRetryBudget& budget,
                 std::string_view service,
                 std::uint32_t daemons,
                 base::TimePoint now) {
  RefillBucket(budget, service, daemons, now).retries +=
      budget.options.earned_per_request;
}

bool TakeRetry(ServiceRetryBudget& budget,
               std::string_view service,
               std::uint32_t daemons,
               base::TimePoint now) {
  ServiceRetryBudget::Bucket& bucket =
      RefillBucket(budget, service, daemons, now);
  if (bucket.retries < 1) {
    return false;
  }
  bucket.retries -= 1;
  return true;
}

}  // namespace eelgrassbridge::limits
