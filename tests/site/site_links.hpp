// Starts the link stand-ins between the regions of a site.
#ifndef EELGRASSBRIDGE_BENCH_SITE_SITE_LINKS_HPP
#define EELGRASSBRIDGE_BENCH_SITE_SITE_LINKS_HPP

#include <string>
#include <string_view>
#include <vector>

#include "site.hpp"

namespace eelgrassbridge::bench {

/// @brief Starts the links that the site's options require.
void StartLinks(Site& site);

/// @brief Environment variables that make a daemon of the region connect
/// through its links; empty if it has none.
std::vector<std::string> LinkEnvironment(const Site& site,
                                         std::string_view region);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_SITE_LINKS_HPP
