// Leases and waits derived from the options, with the clock rate bound.
#include "eelgrassbridge/ownership/ownership_options.hpp"

namespace eelgrassbridge::ownership {

namespace {

constexpr std::int64_t kMillion = 1000000;

base::Duration Scaled(base::Duration duration, std::int64_t ppm) {
  return base::Duration{duration.count() / kMillion * ppm +
                        duration.count() % kMillion * ppm / kMillion};
}

}  // namespace

base::Duration OwnerLease(const OwnershipOptions& options) {
  return Scaled(options.lease, kMillion - options.clock_rate_bound_ppm);
}

base::Duration TakerLeaseWait(const OwnershipOptions& options) {
  return Scaled(options.lease, kMillion + options.clock_rate_bound_ppm);
}

base::Duration DeputyReadBound(const OwnershipOptions& options) {
  return Scaled(options.deputy_read_bound,
                kMillion - options.clock_rate_bound_ppm);
}

base::Duration ThirdPartyWait(const OwnershipOptions& options) {
  return Scaled(options.deputy_read_bound,
                kMillion + options.clock_rate_bound_ppm);
}

base::Duration RunLimitWait(const OwnershipOptions& options,
                            base::Duration run_limit) {
  // The owner's target applies the full run limit on a clock that may be slow,
  // and the taker's clock may be fast: (1 + rho) / (1 - rho) < 1 + 3 rho.
  return Scaled(run_limit,
                kMillion + 3 * std::int64_t{options.clock_rate_bound_ppm});
}

}  // namespace eelgrassbridge::ownership
