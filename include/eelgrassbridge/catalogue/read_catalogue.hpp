// Reading of a catalogue from the YAML file that operators edit.
#ifndef EELGRASSBRIDGE_CATALOGUE_READ_CATALOGUE_HPP
#define EELGRASSBRIDGE_CATALOGUE_READ_CATALOGUE_HPP

#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Reads and validates the whole text. The error's detail lists every
/// problem with file, line and what is accepted.
///
/// The file holds no version and no out-of-service marks: the version comes
/// from the chain in the table, and a file edited while a data centre is out
/// must not bring it back by leaving the mark out.
base::Result<Catalogue> ReadCatalogue(std::string_view yaml,
                                      std::string_view file_name);

/// @brief ReadCatalogue on a file.
base::Result<Catalogue> ReadCatalogueFile(const std::string& file_name);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_READ_CATALOGUE_HPP
