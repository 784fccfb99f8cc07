// Data residency check: a request that is bound to home regions is served, sent
// and stored only there.
#ifndef EELGRASSBRIDGE_ROUTING_RESIDENCY_CHECK_HPP
#define EELGRASSBRIDGE_ROUTING_RESIDENCY_CHECK_HPP

#include <span>
#include <string>
#include <string_view>

namespace eelgrassbridge::routing {

/// @brief Returns whether `region` is one of the home regions.
bool IsHomeRegion(std::span<const std::string> home_regions,
                  std::string_view region);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_RESIDENCY_CHECK_HPP
