// Link stand-ins between the regions of a site.
#ifndef EELGRASSBRIDGE_BENCH_SITE_SITE_LINKS_HPP
#define EELGRASSBRIDGE_BENCH_SITE_SITE_LINKS_HPP

#include <string>
#include <string_view>
#include <vector>

#include "site.hpp"

namespace eelgrassbridge::bench {

/// @brief Starts the links that the options ask for.
void StartLinks(Site& site);

/// @brief Variables under which a daemon of the region connects through the
/// links; empty if there are none.
std::vector<std::string> LinkEnvironment(const Site& site,
                                         std::string_view region);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_SITE_LINKS_HPP
