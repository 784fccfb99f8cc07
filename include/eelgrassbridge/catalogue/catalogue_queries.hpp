// Questions that routing and ownership ask a catalogue.
#ifndef EELGRASSBRIDGE_CATALOGUE_CATALOGUE_QUERIES_HPP
#define EELGRASSBRIDGE_CATALOGUE_CATALOGUE_QUERIES_HPP

#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief The entry of that name, or null.
const Service* FindService(const Catalogue& catalogue, std::string_view name);
const RequestKind* FindKind(const Service& service, std::string_view name);
const ClientAccount* FindAccount(const Catalogue& catalogue,
                                 std::string_view name);

/// @brief Home regions for requests of an account to a service: those of the
/// account, or those of the service where the account names none.
const std::vector<std::string>& HomeRegions(const Service& service,
                                            const ClientAccount* account);

/// @brief Sorted regions joined by '+', as used in GroupId.
std::string ResidencyName(const std::vector<std::string>& regions);

/// @brief Regions of a residency name.
std::vector<std::string> ResidencyRegions(std::string_view residency);

/// @brief Number of groups of a service for each residency.
std::uint32_t GroupCount(const Service& service);

/// @brief The ordinary group of a key.
base::GroupId GroupOfKey(const Service& service,
                         std::string_view residency,
                         std::string_view key);

/// @brief Every ordinary group that the catalogue asks for: each divided
/// service with each residency in use.
std::vector<base::GroupId> AllGroups(const Catalogue& catalogue);

bool IsDataCentreOut(const Catalogue& catalogue, std::string_view data_centre);
bool IsTargetOut(const Catalogue& catalogue, std::string_view daemon_name);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_CATALOGUE_QUERIES_HPP
