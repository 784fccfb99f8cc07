// Counts the bytes that this daemon sends to other regions, by reason. The
// links between regions are billed by volume.
#ifndef EELGRASSBRIDGE_ROUTING_CROSS_REGION_METER_HPP
#define EELGRASSBRIDGE_ROUTING_CROSS_REGION_METER_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace eelgrassbridge::routing {

enum class CrossRegionReason : std::uint8_t {
  kOwnerElsewhere,  ///< The owner of the key is in the other region.
  kNoNearerTarget,  ///< No target in this region may take the request.
  kRetry,           ///< A retry after a failure in this region.
  kAnswer,          ///< The response to any of these.
  kMembership,      ///< Gossip between relays.
  kOwnership,       ///< Promises and planned moves of ownership.
  kCatalogue,       ///< Catalogue versions.
  kStore,           ///< Requests to the table service and the object store.
};
inline constexpr std::size_t kCrossRegionReasonCount = 8;

struct CrossRegionMeter {
  std::array<std::atomic<std::uint64_t>, kCrossRegionReasonCount> bytes{};
};

/// @brief Returns the label value for metrics, e.g. "owner_elsewhere".
std::string_view ReasonName(CrossRegionReason reason);

void AddBytes(CrossRegionMeter& meter,
              CrossRegionReason reason,
              std::uint64_t bytes);
std::uint64_t BytesOf(const CrossRegionMeter& meter, CrossRegionReason reason);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_CROSS_REGION_METER_HPP
