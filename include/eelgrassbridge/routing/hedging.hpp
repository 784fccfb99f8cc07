// Hedging: a second copy of a slow idempotent request to another target.
#ifndef EELGRASSBRIDGE_ROUTING_HEDGING_HPP
#define EELGRASSBRIDGE_ROUTING_HEDGING_HPP

#include <cstdint>
#include <memory>
#include <optional>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::routing {

namespace detail {
struct HedgeWindow;
}  // namespace detail

struct HedgeOptions {
  /// Samples before the first delay is known and in each later window.
  std::uint32_t window = 200;
  /// Shortest delay; below it a hedge costs more than it saves.
  base::Duration least_delay{base::milliseconds{1}};
};

/// @brief Observed latencies of one request kind of one service.
struct HedgeTracker {
  explicit HedgeTracker(const HedgeOptions& hedge_options = {});
  ~HedgeTracker();
  HedgeTracker(HedgeTracker&&) noexcept;
  HedgeTracker& operator=(HedgeTracker&&) noexcept;

  HedgeOptions options;
  std::unique_ptr<detail::HedgeWindow> filling;
  /// 95th percentile of the last full window; zero before it.
  base::Duration p95{};
};

/// @brief Latency of an answered request; a hedged request counts once, with
/// the latency of its first attempt as far as that is known.
void NoteHedgeSample(HedgeTracker& tracker, base::Duration latency);

/// @brief After which time without an answer a hedge may be sent; none if the
/// request must not be hedged (not idempotent, divided by key, or not enough
/// samples yet). The budget (TakeExtraAttempt) and a target within the region
/// (ChooseTarget with farthest = kRegion) are needed too when the delay ends.
std::optional<base::Duration> HedgeDelay(const HedgeTracker& tracker,
                                         const catalogue::Service& service,
                                         const catalogue::RequestKind& kind);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_HEDGING_HPP
