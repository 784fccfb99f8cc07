// Names of the catalogue's enum values, shared by the YAML and JSON forms.
#ifndef EELGRASSBRIDGE_CATALOGUE_CATALOGUE_NAMES_HPP
#define EELGRASSBRIDGE_CATALOGUE_CATALOGUE_NAMES_HPP

#include <array>
#include <string_view>

#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief In the order of PriorityClass.
inline constexpr std::array<std::string_view, 3> kPriorityNames{
    "critical", "normal", "bulk"};

/// @brief In the order of OutOfService::What.
inline constexpr std::array<std::string_view, 2> kOutOfServiceNames{
    "data-centre", "target"};

inline std::string_view ToString(PriorityClass priority) {
  return kPriorityNames.at(static_cast<std::size_t>(priority));
}

inline std::string_view ToString(OutOfService::What what) {
  return kOutOfServiceNames.at(static_cast<std::size_t>(what));
}

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_CATALOGUE_NAMES_HPP
