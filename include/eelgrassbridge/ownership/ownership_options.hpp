// Durations, rates and thresholds of the ownership rules (docs/design.md,
// section 3).
#ifndef EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_OPTIONS_HPP
#define EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_OPTIONS_HPP

#include <cstdint>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::ownership {

/// @brief Faults that the history model injects, one at a time, to show that
/// its checker detects them. All false in production.
struct BrokenRules {
  bool no_wait_before_take_over = false;
  bool promise_dated_by_arrival = false;
  bool no_deputy_read_bound = false;
  bool third_party_waits_lease_only = false;
  bool deputy_promises_during_take_over = false;
  bool replaced_deputy_still_used = false;
  bool late_write_resolved_by_read = false;
  bool blind_repeat = false;
};

struct OwnershipOptions {
  /// L. Short enough for a take-over within 5 s, long enough for four promise
  /// intervals.
  base::Duration lease = base::milliseconds{2000};
  /// rho: bound of each clock's rate error, in parts per million.
  std::uint32_t clock_rate_bound_ppm = 10000;
  /// H: how long a deputy may promise on the basis of one read.
  base::Duration deputy_read_bound = base::seconds{900};
  base::Duration promise_interval = base::milliseconds{500};
  /// Expected response time of the store. A read without a result counts as
  /// lost after 2 of these, and a write as one of unknown result after 5.
  base::Duration store_timeout = base::milliseconds{1000};
  /// Writes per second that the store sustains for all daemons together.
  double write_budget = 300;
  /// Token bucket of each daemon for deferrable writes (moves, deputies,
  /// creation): burst size, and writes per second.
  double write_burst = 8;
  double write_rate = 4;
  /// A deputy that is not found lost but has sent no promise for this long is
  /// replaced.
  base::Duration deputy_promise_timeout = base::seconds{5};
  /// A member loss that follows the previous one after more than this time
  /// begins a new burst of losses, whose writes are paced separately.
  base::Duration loss_burst_gap = base::seconds{30};
  base::Duration balance_interval = base::seconds{1};
  /// A group moves only to a target with at least this many groups fewer.
  std::uint32_t balance_difference = 2;
  /// A member that is named in a row but in no member record counts as lost
  /// after this time.
  base::Duration unknown_member_grace = base::seconds{10};
  /// A key is carved out when its share of its owner's load was above hot_share
  /// for hot_time, and merged back when it was below cool_share for cool_time.
  double hot_share = 0.20;
  base::Duration hot_time = base::seconds{10};
  double cool_share = 0.05;
  base::Duration cool_time = base::seconds{600};
  /// Requests per second of an owner below which no key counts as hot.
  double hot_minimum_load = 10;
  /// Missing rows checked per tick; bounds the cost of a tick while the table
  /// is empty.
  std::uint32_t missing_rows_per_tick = 8;
  BrokenRules broken;
};

/// @brief L(1 - rho): how long the owner relies on one promise or read.
base::Duration OwnerLease(const OwnershipOptions& options);

/// @brief L(1 + rho): how long a taker waits.
base::Duration TakerLeaseWait(const OwnershipOptions& options);

/// @brief H(1 - rho): how long a deputy relies on one read.
base::Duration DeputyReadBound(const OwnershipOptions& options);

/// @brief H(1 + rho): how long a third party waits for the end of the deputy's
/// read bound.
base::Duration ThirdPartyWait(const OwnershipOptions& options);

/// @brief How long a taker waits, on its own clock, for a run limit that the
/// owner's clock measures.
base::Duration RunLimitWait(const OwnershipOptions& options,
                            base::Duration run_limit);

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_OPTIONS_HPP
