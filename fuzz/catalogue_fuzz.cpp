// Fuzzes the catalogue's YAML and JSON readers: no input may crash them, and
// each failure must have a reason. An accepted catalogue must survive a round
// trip through JSON, and through YAML except for the fields that YAML omits.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/catalogue/diff.hpp"
#include "eelgrassbridge/catalogue/read_catalogue.hpp"
#include "eelgrassbridge/catalogue/write_catalogue.hpp"

namespace {

using namespace eelgrassbridge;  // NOLINT(google-build-using-namespace)

void CheckRoundTrips(const catalogue::Catalogue& original) {
  const auto json =
      catalogue::ReadCatalogueJson(catalogue::WriteCatalogueJson(original));
  if (!json || !catalogue::Diff(original, json.value()).empty()) {
    std::abort();
  }
  catalogue::Catalogue yaml_content = original;
  yaml_content.out_of_service.clear();
  const auto yaml = catalogue::ReadCatalogue(
      catalogue::WriteCatalogueYaml(yaml_content), "written");
  if (!yaml || !catalogue::Diff(yaml_content, yaml.value()).empty()) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto yaml = catalogue::ReadCatalogue(text, "input");
  if (yaml) {
    CheckRoundTrips(yaml.value());
  } else if (yaml.error().detail.empty()) {
    std::abort();
  }
  const auto json = catalogue::ReadCatalogueJson(text);
  if (json) {
    (void)catalogue::WriteCatalogueYaml(json.value());
  }
  return 0;
}
