// Label names and relaxed atomic counters of the cross-region meter.
#include "eelgrassbridge/routing/cross_region_meter.hpp"

namespace eelgrassbridge::routing {

std::string_view ReasonName(CrossRegionReason reason) {
  static constexpr std::array<std::string_view, kCrossRegionReasonCount> kNames{
      "owner_elsewhere", "no_nearer_target", "retry",     "answer",
      "membership",      "ownership",        "catalogue", "store"};
  return kNames[static_cast<std::size_t>(reason)];
}

void AddBytes(CrossRegionMeter& meter,
              CrossRegionReason reason,
              std::uint64_t bytes) {
  meter.bytes[static_cast<std::size_t>(reason)].fetch_add(
      bytes, std::memory_order_relaxed);
}

std::uint64_t BytesOf(const CrossRegionMeter& meter, CrossRegionReason reason) {
  return meter.bytes[static_cast<std::size_t>(reason)].load(
      std::memory_order_relaxed);
}

}  // namespace eelgrassbridge::routing
