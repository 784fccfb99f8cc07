// Decides when a slow idempotent request is hedged, i.e. when a second copy is
// sent to another target. The delay is the 95th percentile of recent latencies.
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
  /// Samples in each window. No request is hedged before the first window is
  /// full.
  std::uint32_t window = 200;
  /// Lower bound of the delay; below it a hedge costs more than it saves.
  base::Duration min_delay{base::milliseconds{1}};
};

/// @brief Observed latencies of one request kind of one service.
///
/// Samples are collected in windows of a fixed size; the percentile of the last
/// full window stays in use until the next window is full.
struct HedgeTracker {
  explicit HedgeTracker(const HedgeOptions& hedge_options = {});
  ~HedgeTracker();
  HedgeTracker(HedgeTracker&&) noexcept;
  HedgeTracker& operator=(HedgeTracker&&) noexcept;

  HedgeOptions options;
  std::unique_ptr<detail::HedgeWindow> current_window;
  /// 95th percentile of the last full window; zero before the first one.
  base::Duration p95{};
};

/// @brief Records the latency of an answered request. A hedged request is
/// recorded once, with the latency of its first attempt if that is known.
void AddHedgeSample(HedgeTracker& tracker, base::Duration latency);

/// @brief Returns the time without an answer after which a hedge may be sent,
/// or nullopt if the request must not be hedged (not idempotent, divided by
/// key, or not enough samples yet).
///
/// When the delay expires, a hedge also needs budget (TakeExtraAttempt) and a
/// target within the region (ChooseTarget with farthest = kRegion).
std::optional<base::Duration> HedgeDelay(const HedgeTracker& tracker,
                                         const catalogue::Service& service,
                                         const catalogue::RequestKind& kind);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_HEDGING_HPP
