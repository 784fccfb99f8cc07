// Reads a catalogue from the YAML file that operators edit.
#ifndef EELGRASSBRIDGE_CATALOGUE_READ_CATALOGUE_HPP
#define EELGRASSBRIDGE_CATALOGUE_READ_CATALOGUE_HPP

#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Parses and validates the whole text. Fails with kCatalogueInvalid;
/// the error detail lists the problems with file, line and the accepted values.
///
/// The file contains no version and no out-of-service marks. The version comes
/// from the version chain in the table. A file edited while a data centre is
/// out of service must not put it back into service by omitting the mark.
base::Result<Catalogue> ReadCatalogue(std::string_view yaml,
                                      std::string_view file_name);

/// @brief Reads a file and passes its text to ReadCatalogue.
base::Result<Catalogue> ReadCatalogueFile(const std::string& file_name);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_READ_CATALOGUE_HPP
