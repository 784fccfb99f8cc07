// The JSON form of a catalogue, as stored in the table and exchanged between
// daemons and operator tools.
#ifndef EELGRASSBRIDGE_CATALOGUE_CATALOGUE_JSON_HPP
#define EELGRASSBRIDGE_CATALOGUE_CATALOGUE_JSON_HPP

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Maximum size of the JSON text of a catalogue.
inline constexpr std::size_t kMaxCatalogueJsonBytes =
    std::size_t{16} * 1024 * 1024;

std::string WriteCatalogueJson(const Catalogue& catalogue);

/// @brief Parses and validates a catalogue. Unknown fields are ignored, so that
/// during a rolling update an older daemon can read what a newer one wrote.
/// Fails with kCatalogueInvalid.
base::Result<Catalogue> ReadCatalogueJson(std::string_view text);

/// @brief Conversion to and from JSON values, for embedding in other messages.
nlohmann::json CatalogueToJson(const Catalogue& catalogue);
base::Result<Catalogue> CatalogueFromJson(const nlohmann::json& value);

/// @brief Parses JSON with limits on size and nesting depth. Fails with
/// kBodyTooLarge or kBadRequest.
base::Result<nlohmann::json> ParseBoundedJson(std::string_view text,
                                              std::size_t max_bytes);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_CATALOGUE_JSON_HPP
