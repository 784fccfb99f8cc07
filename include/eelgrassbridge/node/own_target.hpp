// What the daemon knows of the target beside it, from the target's reports, and
// which ranges the target may hold.
#ifndef EELGRASSBRIDGE_NODE_OWN_TARGET_HPP
#define EELGRASSBRIDGE_NODE_OWN_TARGET_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/node/platform_port.hpp"
#include "eelgrassbridge/ranges/lease.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::node {

/// @brief A range that the target may be holding.
struct PossibleHold {
  HeldRange range;
  base::TimePoint ends{};
};

/// @brief The target beside the daemon.
///
/// Invariants: only reports of the latest life, in the order of their sequence
/// numbers, change it; a target that has said that it leaves never serves again
/// in that life.
struct OwnTarget {
  /// Empty until the first report.
  std::string id;
  std::int64_t born = 0;
  std::uint64_t sequence = 0;
  std::uint32_t slots = 0;
  bool leaving = false;
  base::TimePoint last_report{};
  /// Everything that the target may hold, with the time at which it cannot
  /// hold it any more even if no report of it arrives.
  std::vector<PossibleHold> possible_holds;
  /// Ranges of the last answer, which requests may be sent for.
  std::vector<Grant> granted;
  base::TimePoint granted_until{};
  /// Handovers of released ranges whose next owner has not been written yet.
  std::vector<ReleasedRange> released;
};

enum class ReportIntake : std::uint8_t {
  /// An older life or an earlier report: changes nothing.
  kStale,
  kSameLife,
  kNewLife,
};

/// @brief Takes a report in.
ReportIntake TakeReport(OwnTarget& target,
                        const TargetReport& report,
                        base::TimePoint now);

/// @brief The target says that it is gone. Returns whether it is the present
/// one.
bool TakeDeparture(OwnTarget& target, std::string_view id);

/// @brief Whether the target is known and takes requests.
bool IsServing(const OwnTarget& target);

ranges::OwnerId OwnerOf(const OwnTarget& target, std::string_view daemon);

/// @brief The answer to a report that was just taken in; notes what is granted.
ReportAnswer MakeGrants(OwnTarget& target,
                        const ranges::RangeMap& map,
                        std::string_view daemon,
                        const ranges::LeaseRight& right,
                        const ranges::LeaseOptions& options,
                        base::TimePoint now);

/// @brief Whether requests for the key may be sent to the target.
bool IsGranted(const OwnTarget& target, std::uint32_t key, base::TimePoint now);

/// @brief Whether the target can hold none of the keys.
bool IsReleased(const OwnTarget& target,
                const ranges::KeyRange& keys,
                base::TimePoint now);

/// @brief The handover for exactly these keys, or empty.
std::string HandoverOf(const OwnTarget& target, const ranges::KeyRange& keys);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_OWN_TARGET_HPP
