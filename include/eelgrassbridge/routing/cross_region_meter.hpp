// Bytes sent across regions, by reason. The links are billed by volume.
#ifndef EELGRASSBRIDGE_ROUTING_CROSS_REGION_METER_HPP
#define EELGRASSBRIDGE_ROUTING_CROSS_REGION_METER_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace eelgrassbridge::routing {

enum class CrossRegionReason : std::uint8_t {
  kOwnerElsewhere,  ///< The owner of the key is in the other region.
  kNoNearerTarget,  ///< No nearer target may take the request.
  kRetry,           ///< A retry after a failure nearby.
  kAnswer,          ///< The answer to any of these.
  kMembership,      ///< Gossip between relays.
  kOwnership,       ///< Promises and planned moves.
  kCatalogue,       ///< Catalogue versions.
  kStore,           ///< Table service and object store.
};
inline constexpr std::size_t kCrossRegionReasonCount = 8;

struct CrossRegionMeter {
  std::array<std::atomic<std::uint64_t>, kCrossRegionReasonCount> bytes{};
};

/// @brief Label value for metrics, e.g. "owner_elsewhere".
std::string_view ReasonName(CrossRegionReason reason);

void AddBytes(CrossRegionMeter& meter,
              CrossRegionReason reason,
              std::uint64_t bytes);
std::uint64_t BytesOf(const CrossRegionMeter& meter, CrossRegionReason reason);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_CROSS_REGION_METER_HPP
