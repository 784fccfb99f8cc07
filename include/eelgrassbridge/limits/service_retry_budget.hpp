// One daemon's part of the budget of repeats that all daemons of a site share.
//
// The bound holds for each service over a sliding window and over all daemons.
// Each daemon spends at most its share of the constant part, and earns the
// rest with the requests that it sees itself, so no coordination is needed.
#ifndef EELGRASSBRIDGE_LIMITS_SERVICE_RETRY_BUDGET_HPP
#define EELGRASSBRIDGE_LIMITS_SERVICE_RETRY_BUDGET_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

struct ServiceRetryOptions {
  /// Repeats earned by each request; far below the bound, because the window of
  /// the bound slides, the traffic may fall meanwhile, and each call that a
  /// repeated run makes of another service counts as a repeat there.
  double earned_per_request = 0.07;
  /// Repeats a window that need no requests, over all daemons.
  double extra = 0;
  /// Share of `extra` that is spent; the rest is a margin for requests that
  /// a target counts as repeats though this daemon does not.
  double extra_used = 0.3;
  base::Duration window{base::seconds{10}};
};

struct ServiceRetryBudget {
  ServiceRetryOptions options;
  struct Saved {
    double repeats = 0;
    base::TimePoint updated_at{};
  };
  std::map<std::string, Saved, std::less<>> services;
};

/// @brief A request for the service arrived here, refused or not.
void NoteRequest(ServiceRetryBudget& budget,
                 std::string_view service,
                 std::uint32_t daemons,
                 base::TimePoint now);

/// @brief Whether a request may be sent to a target once more; takes it from
/// the budget.
bool TakeRepeat(ServiceRetryBudget& budget,
                std::string_view service,
                std::uint32_t daemons,
                base::TimePoint now);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_SERVICE_RETRY_BUDGET_HPP
