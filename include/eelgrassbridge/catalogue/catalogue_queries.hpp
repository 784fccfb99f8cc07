// Read-only queries of a catalogue for routing and ownership: entries, home
// regions, and the mapping of keys to groups.
#ifndef EELGRASSBRIDGE_CATALOGUE_CATALOGUE_QUERIES_HPP
#define EELGRASSBRIDGE_CATALOGUE_CATALOGUE_QUERIES_HPP

#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Returns the entry with the given name, or null.
const Service* FindService(const Catalogue& catalogue, std::string_view name);
const RequestKind* FindKind(const Service& service, std::string_view name);
const ClientAccount* FindAccount(const Catalogue& catalogue,
                                 std::string_view name);

/// @brief Returns the home regions for requests of an account to a service:
/// those of the account, or those of the service if the account has none or is
/// null.
const std::vector<std::string>& HomeRegions(const Service& service,
                                            const ClientAccount* account);

/// @brief Joins sorted regions with '+', as used in GroupId.
std::string ResidencyName(const std::vector<std::string>& regions);

/// @brief Splits a residency name into its regions.
std::vector<std::string> ResidencyRegions(std::string_view residency);

/// @brief Returns the number of groups that a service has for each residency.
std::uint32_t GroupCount(const Service& service);

/// @brief Returns the ordinary group of a key, chosen by a hash of the key.
base::GroupId GroupOfKey(const Service& service,
                         std::string_view residency,
                         std::string_view key);

/// @brief Returns all ordinary groups of the catalogue: those of each divided
/// service for each residency in use.
std::vector<base::GroupId> AllGroups(const Catalogue& catalogue);

bool IsDataCentreOut(const Catalogue& catalogue, std::string_view data_centre);
bool IsTargetOut(const Catalogue& catalogue, std::string_view daemon_name);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_CATALOGUE_QUERIES_HPP
