// Check of a configuration before it is put in force, and its difference to the
// version in force.
#ifndef EELGRASSBRIDGE_CATALOGUE_ROUTE_CHECK_HPP
#define EELGRASSBRIDGE_CATALOGUE_ROUTE_CHECK_HPP

#include <set>
#include <string>

#include "eelgrassbridge/catalogue/route_rows.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Regions that have a data centre; empty if they are not known.
using KnownRegions = std::set<std::string, std::less<>>;

/// @brief Returns errors, rows without effect and contradictory limits, table
/// by table in the order of the file.
RouteFindings CheckRoutes(const RouteRows& rows, const KnownRegions& regions);

/// @brief Returns what `next` changes in the version in force, matching rows by
/// name. The places of removed rows are those in the version in force.
RouteFindings CompareRoutes(const RouteRows& in_force, const RouteRows& next);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_ROUTE_CHECK_HPP
