// Residency: a request bound to home regions is served, sent and stored
// nowhere else.
#ifndef EELGRASSBRIDGE_ROUTING_RESIDENCY_CHECK_HPP
#define EELGRASSBRIDGE_ROUTING_RESIDENCY_CHECK_HPP

#include <span>
#include <string>
#include <string_view>

namespace eelgrassbridge::routing {

/// @brief Whether a region is among the home regions.
bool IsHomeRegion(std::span<const std::string> home_regions,
                  std::string_view region);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_RESIDENCY_CHECK_HPP
