// Recovery of the ownership of keys after the store was restored from an older
// copy, which may lack the latest map and leases.
//
// Each era of the store has a map of its own. Before it exists, daemons whose
// right under a lease of a former era is still valid claim the ranges that
// their targets hold, in their lease rows. Once every such right has ended, the
// collection of claims is closed, and the map is made from the claims; all
// other keys get new owners. The fencing tokens of an era are above those of
// all former eras, so no token is given out again.
#ifndef EELGRASSBRIDGE_RANGES_RECOVERY_HPP
#define EELGRASSBRIDGE_RANGES_RECOVERY_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/ranges/lease.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::ranges {

enum class RecoveryPhase : std::uint8_t {
  /// Claims are accepted.
  kCollecting,
  /// No claim is accepted any more; the map may be written.
  kClosed,
};

/// @brief State of the recovery of a service in one era of the store.
struct RecoveryRecord {
  RecoveryPhase phase = RecoveryPhase::kCollecting;
  /// Store time at which the era had begun at the latest.
  base::Duration since{};

  bool operator==(const RecoveryRecord&) const = default;
};

/// @brief Encodes a recovery row as JSON.
std::string EncodeRecovery(const RecoveryRecord& record);
/// @brief Decodes a recovery row; fails with kFrameInvalid if it is malformed.
base::Result<RecoveryRecord> DecodeRecovery(std::string_view text);

/// @brief Store time at which claims end: all rights under leases of former
/// eras, and all holds granted under them, have ended by then.
base::Duration EndOfClaims(const RecoveryRecord& record,
                           const LeaseOptions& options);

/// @brief Ranges that a daemon may claim for its target: those that it owns and
/// that are not moving. The next owner of a range that is moving may already
/// have been written.
std::vector<Claim> ClaimsOf(const RangeMap& map, const OwnerId& owner);

/// @brief Makes the first map of an era. Claims of live leases keep their owner
/// and fencing token; if two overlap, the higher token counts. All other keys
/// are assigned to the targets that accept keys. Returns nothing if some keys
/// are claimed and no target accepts the others.
std::optional<RangeMap> RecoverMap(std::span<const LeaseRecord> live,
                                   std::uint64_t era);

}  // namespace eelgrassbridge::ranges

#endif  // EELGRASSBRIDGE_RANGES_RECOVERY_HPP
