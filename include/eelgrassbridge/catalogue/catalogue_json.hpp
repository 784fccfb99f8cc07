// The JSON form of a catalogue, as kept in the table and sent between daemons
// and operators.
#ifndef EELGRASSBRIDGE_CATALOGUE_CATALOGUE_JSON_HPP
#define EELGRASSBRIDGE_CATALOGUE_CATALOGUE_JSON_HPP

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Bounds on the JSON text of a catalogue.
inline constexpr std::size_t kMaxCatalogueJsonBytes =
    std::size_t{16} * 1024 * 1024;

std::string WriteCatalogueJson(const Catalogue& catalogue);

/// @brief Reads and validates; unknown fields are ignored, so that a daemon of
/// an older release can read what a newer one wrote during an update.
base::Result<Catalogue> ReadCatalogueJson(std::string_view text);

/// @brief The same as JSON values, for embedding into other messages.
nlohmann::json CatalogueToJson(const Catalogue& catalogue);
base::Result<Catalogue> CatalogueFromJson(const nlohmann::json& value);

/// @brief Parses JSON with bounds on size and nesting depth.
base::Result<nlohmann::json> ParseBoundedJson(std::string_view text,
                                              std::size_t max_bytes);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_CATALOGUE_JSON_HPP
