// Looks up a region in the list of home regions.
#include "eelgrassbridge/routing/residency_check.hpp"

#include <algorithm>

namespace eelgrassbridge::routing {

bool IsHomeRegion(std::span<const std::string> home_regions,
                  std::string_view region) {
  return std::find(home_regions.begin(), home_regions.end(), region) !=
         home_regions.end();
}

}  // namespace eelgrassbridge::routing
