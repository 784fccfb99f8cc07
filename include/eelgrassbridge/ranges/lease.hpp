// The lease of a daemon on the ranges that it owns.
//
// Chain of time: the row of the lease in the store outlasts the right of the
// daemon, and the right outlasts each hold that the daemon grants to its
// target. The row's end is in the store's clock; the right's end is in the
// daemon's own clock, counted from before the renewal was sent.
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
  /// Outlasts the usual outages of the store, so that targets go on serving
  /// their keys; a longer one makes the keys of a lost machine wait longer.
  base::Duration length{base::milliseconds{6000}};
  /// The daemon's right ends this long before its row, for the drift of the
  /// clocks over one lease and the time of a grant on its way.
  base::Duration margin{base::milliseconds{300}};
  /// Several renewals may fail within the length, and the right lasts for a
  /// whole hold just before a renewal.
  base::Duration renew_interval{base::milliseconds{1500}};
  /// Longest hold granted to a target. Shorter than the lease, so that the
  /// keys of a target that fell silent can move while its daemon lives.
  base::Duration hold{base::milliseconds{4000}};
  /// A target's clock may run slow by this share.
  double target_clock_error = 0.02;
};

/// @brief What the store's clock shows, from the last answer of the store.
struct StoreClock {
  /// Store time in that answer.
  base::Duration store_time{};
  /// When the call was sent, so the present store time is never more than
  /// store_time plus what has passed since.
  base::TimePoint sent_at{};
  bool known = false;
};

/// @brief Latest time that the store's clock can show now.
base::Duration LatestStoreTime(const StoreClock& clock, base::TimePoint now);

/// @brief What a daemon tells about its load with each renewal.
struct OwnerLoad {
  /// Requests a second for its keys, refused ones included.
  double requests_per_second = 0;
  /// Mean time that its target works on one.
  double run_seconds = 0;
  std::uint32_t slots = 0;
  /// Keys that divide the requests into equal parts, in ascending order.
  std::vector<std::uint32_t> quantiles;
};

/// @brief The row of a lease.
struct LeaseRecord {
  OwnerId owner;
  /// One process of the daemon; with `sequence` it identifies a renewal whose
  /// answer was lost.
  std::string process;
  std::uint64_t sequence = 0;
  /// End in the store's clock.
  base::Duration expires{};
  /// The target takes requests and does not leave.
  bool accepting = false;
  OwnerLoad load;
};

std::string EncodeLease(const LeaseRecord& record);
base::Result<LeaseRecord> DecodeLease(std::string_view text);

/// @brief The right of this daemon to let its target hold keys.
struct Right {
  base::TimePoint ends{};
};

inline bool IsValid(const Right& right, base::TimePoint now) {
  return now < right.ends;
}

/// @brief The renewal that was sent at that time has been acknowledged.
void Extend(Right& right, base::TimePoint sent_at, const LeaseOptions& options);

/// @brief The hold to grant in answer to a report that arrived at `now`, or
/// zero. The target counts it from before `now`, with a clock that may be slow.
base::Duration HoldFor(const Right& right,
                       base::TimePoint now,
                       const LeaseOptions& options);

/// @brief When a hold that was granted at `now` has ended for certain.
base::TimePoint HoldEnd(base::Duration hold,
                        base::TimePoint now,
                        const LeaseOptions& options);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_LEASE_HPP
