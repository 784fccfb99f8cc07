// The lease under which a daemon owns key ranges.
//
// Expiry order: each hold that the daemon grants to its target ends before the
// daemon's own right under the lease, and that right ends before the lease row
// in the store expires. The row expires by the store's clock. The right ends by
// the daemon's clock, measured from before the renewal was sent.
#ifndef EELGRASSBRIDGE_RANGES_LEASE_HPP
#define EELGRASSBRIDGE_RANGES_LEASE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::ranges {

struct LeaseOptions {
  /// Lease term. Longer than a typical store outage, so that targets keep
  /// serving their keys; a longer term delays the failover of a lost machine's
  /// keys.
  base::Duration length{base::milliseconds{6000}};
  /// The daemon's right ends this long before its row expires, to cover clock
  /// drift over one lease term and the network delay of a grant.
  base::Duration margin{base::milliseconds{300}};
  /// Short enough that several renewals can fail within one term, and that
  /// the right still covers a full hold just before a renewal.
  base::Duration renew_interval{base::milliseconds{1500}};
  /// Longest hold granted to a target. Shorter than the lease, so that the
  /// keys of an unresponsive target can move while its daemon is still up.
  base::Duration hold{base::milliseconds{4000}};
  /// Largest fraction by which a target's clock may run slow.
  double target_clock_error = 0.02;
};

/// @brief Reading of the store's clock, taken from the store's last answer.
struct StoreClock {
  /// Store time in that answer.
  base::Duration store_time{};
  /// Local time at which the call was sent. The current store time is at most
  /// store_time plus the time elapsed since then.
  base::TimePoint sent_at{};
  bool known = false;
};

/// @brief Upper bound of the store's clock at `now`.
base::Duration LatestStoreTime(const StoreClock& clock, base::TimePoint now);

/// @brief Demand for neighbouring keys.
struct DemandPart {
  KeyRange keys;
  double requests_per_second = 0;

  bool operator==(const DemandPart&) const = default;
};

/// @brief Load of an owner, reported with each lease renewal.
struct OwnerLoad {
  /// Requests per second for its keys, including rejected ones.
  double requests_per_second = 0;
  /// Mean time that its target takes to run a request; 0 before the first
  /// answer.
  double run_seconds = 0;
  /// Requests that the target can run concurrently.
  std::uint32_t slots = 0;
  /// Keys that split the requests into equal parts, in ascending order.
  std::vector<std::uint32_t> quantiles;

  // The values below are published where owners' limits are adaptive. Daemons
  // that do not know them ignore them.

  /// Mean run time over about the last 10 s; 0 if there were too
  /// few runs. `run_seconds` follows the last ten runs, too few for a capacity.
  double steady_run_seconds = 0;
  /// Requests per second that were refused because the target was full.
  double refused_per_second = 0;
  /// Concurrent requests that the target handles well; 0 if this is not known
  /// to be less than `slots`.
  std::uint32_t learned_limit = 0;
  /// Where the demand lies, keys included that the owner had until recently.
  std::vector<DemandPart> parts{};
};

/// @brief A range that a daemon keeps after the store was restored; see
/// recovery.hpp.
struct Claim {
  KeyRange keys;
  std::uint64_t fencing_token = 0;

  bool operator==(const Claim&) const = default;
};

/// @brief A lease row in the store.
struct LeaseRecord {
  OwnerId owner;
  /// Identifies the daemon process. Together with `sequence` it identifies a
  /// renewal whose answer was lost.
  std::string process;
  std::uint64_t sequence = 0;
  /// Expiry by the store's clock.
  base::Duration expires{};
  /// Whether the target accepts requests and is not leaving.
  bool accepting = false;
  OwnerLoad load;
  /// Empty once the present era of the store has a range map.
  std::vector<Claim> claims;
};

/// @brief Encodes a lease row as JSON.
std::string EncodeLease(const LeaseRecord& record);
/// @brief Decodes a lease row; fails with kFrameInvalid if it is malformed or
/// has a value that no daemon writes.
base::Result<LeaseRecord> DecodeLease(std::string_view text);

/// @brief This daemon's right under its lease to let its target hold keys.
struct LeaseRight {
  /// End by the daemon's clock.
  base::TimePoint ends{};
};

inline bool IsValid(const LeaseRight& right, base::TimePoint now) {
  return now < right.ends;
}

/// @brief Extends the right after the store has acknowledged the renewal that
/// was sent at `sent_at`. Never shortens it.
void Extend(LeaseRight& right,
            base::TimePoint sent_at,
            const LeaseOptions& options);

/// @brief Returns the hold to grant in answer to a report that arrived at
/// `now`; zero if the right has ended. The target counts the hold from when it
/// sent the report, with a clock that may run slow.
base::Duration ComputeHold(const LeaseRight& right,
                           base::TimePoint now,
                           const LeaseOptions& options);

/// @brief Returns the latest time at which a hold granted at `now` can end,
/// allowing for a slow target clock.
base::TimePoint LatestHoldEnd(base::Duration hold,
                              base::TimePoint now,
                              const LeaseOptions& options);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_LEASE_HPP
