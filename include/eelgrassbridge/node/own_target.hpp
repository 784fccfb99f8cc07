// State of the target beside the daemon: what the target's reports say, and the
// key ranges that it has been granted and may still hold.
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

/// @brief A range that the target may hold.
struct PossibleHold {
  HeldRange range;
  /// The target cannot hold the range from this time on, even if no report of
  /// it arrives.
  base::TimePoint expires_at{};
};

/// @brief The target beside the daemon.
///
/// An incarnation of the target is identified by its id and start time.
/// Invariants: only reports of the latest incarnation change the state, in the
/// order of their sequence numbers; an incarnation that has reported that it is
/// leaving never serves again.
struct OwnTarget {
  /// Empty until the first report.
  std::string id;
  /// Start of the target, in Unix milliseconds.
  std::int64_t born = 0;
  /// Sequence number of the last report.
  std::uint64_t sequence = 0;
  std::uint32_t slots = 0;
  bool leaving = false;
  base::TimePoint last_report{};
  /// All ranges that the target may hold.
  std::vector<PossibleHold> possible_holds;
  /// Ranges granted in the last answer. Requests for their keys may be sent to
  /// the target until `granted_until`.
  std::vector<Grant> granted;
  base::TimePoint granted_until{};
  /// Released ranges, with the state to hand over, whose next owner has not
  /// been written to the store yet.
  std::vector<ReleasedRange> released;
};

enum class ReportStatus : std::uint8_t {
  /// Of an older incarnation, or not newer than the last report: ignored.
  kStale,
  kSameIncarnation,
  kNewIncarnation,
};

/// @brief Updates the state from a report, unless it is stale.
ReportStatus ApplyReport(OwnTarget& target,
                         const TargetReport& report,
                         base::TimePoint now);

enum class DepartureStatus : std::uint8_t {
  kLeaving,
  /// Of an earlier incarnation, which is out of use already.
  kFormer,
  /// Of an incarnation that has not reported: there is nothing to mark.
  kUnknown,
};

/// @brief Marks the target as leaving after it has announced its departure,
/// unless the notice is of another incarnation.
DepartureStatus ApplyDeparture(OwnTarget& target,
                               const TargetDeparture& departure);

/// @brief Whether the target is known and not leaving.
bool IsServing(const OwnTarget& target);

/// @brief Identity of the target's current incarnation in range maps.
ranges::OwnerId OwnerIdOf(const OwnTarget& target, std::string_view daemon);

/// @brief Builds the answer to a report that was just applied, and records what
/// it grants. The answer grants nothing if the daemon's right has ended.
ReportAnswer GrantRanges(OwnTarget& target,
                         const ranges::RangeMap& map,
                         std::string_view daemon,
                         const ranges::LeaseRight& right,
                         const ranges::LeaseOptions& options,
                         base::TimePoint now);

/// @brief Whether requests for the key may be sent to the target.
bool IsGranted(const OwnTarget& target, std::uint32_t key, base::TimePoint now);

/// @brief Whether the target certainly holds none of the keys.
bool IsReleased(const OwnTarget& target,
                const ranges::KeyRange& keys,
                base::TimePoint now);

/// @brief Returns the state to hand over for exactly these keys, or an empty
/// string.
std::string HandoverOf(const OwnTarget& target, const ranges::KeyRange& keys);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_OWN_TARGET_HPP
