// The YAML form of a catalogue, for operators to edit and apply again.
#ifndef EELGRASSBRIDGE_CATALOGUE_WRITE_CATALOGUE_HPP
#define EELGRASSBRIDGE_CATALOGUE_WRITE_CATALOGUE_HPP

#include <string>

#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Text that ReadCatalogue reads back to the same entries. Version,
/// author and out-of-service marks are not part of the file; the marks are
/// given as comments.
std::string WriteCatalogueYaml(const Catalogue& catalogue);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_WRITE_CATALOGUE_HPP
