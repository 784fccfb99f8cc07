// Token buckets of repeats, one for each service.
#include "eelgrassbridge/limits/service_retry_budget.hpp"

#include <algorithm>

namespace eelgrassbridge::limits {

namespace {

/// Repeats that a daemon can save up, as a multiple of its share of the
/// constant part, but at least one. It bounds a burst of all daemons after a
/// long calm.
constexpr double kMostSavedShares = 2;

ServiceRetryBudget::Saved& Refill(ServiceRetryBudget& budget,
                                  std::string_view service,
                                  std::uint32_t daemons,
                                  base::TimePoint now) {
  const ServiceRetryOptions& options = budget.options;
  const double constant =
      options.extra * options.extra_used / std::max(1U, daemons);
  auto found = budget.services.find(service);
  if (found == budget.services.end()) {
    found = budget.services
                .emplace(std::string(service),
                         ServiceRetryBudget::Saved{constant, now})
                .first;
  }
  ServiceRetryBudget::Saved& saved = found->second;
  const double windows = static_cast<double>((now - saved.updated_at).count()) /
                         static_cast<double>(options.window.count());
  const double most = std::max(1.0, constant * kMostSavedShares);
  saved.repeats = std::min(saved.repeats + constant * windows, most);
  saved.updated_at = now;
  return saved;
}

}  // namespace

void NoteRequest(ServiceRetryBudget& budget,
                 std::string_view service,
                 std::uint32_t daemons,
                 base::TimePoint now) {
  Refill(budget, service, daemons, now).repeats +=
      budget.options.earned_per_request;
}

bool TakeRepeat(ServiceRetryBudget& budget,
                std::string_view service,
                std::uint32_t daemons,
                base::TimePoint now) {
  ServiceRetryBudget::Saved& saved = Refill(budget, service, daemons, now);
  if (saved.repeats < 1) {
    return false;
  }
  saved.repeats -= 1;
  return true;
}

}  // namespace eelgrassbridge::limits
