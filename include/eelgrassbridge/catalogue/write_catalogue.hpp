// Writes a catalogue as YAML, for operators to edit and apply again.
#ifndef EELGRASSBRIDGE_CATALOGUE_WRITE_CATALOGUE_HPP
#define EELGRASSBRIDGE_CATALOGUE_WRITE_CATALOGUE_HPP

#include <string>

#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Returns YAML that ReadCatalogue parses into the same entries. Version
/// and out-of-service marks are written as comments only, because they are not
/// part of the file; author, time and reason are omitted.
std::string WriteCatalogueYaml(const Catalogue& catalogue);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_WRITE_CATALOGUE_HPP
