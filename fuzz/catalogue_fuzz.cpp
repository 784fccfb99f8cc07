// No text may crash the catalogue's readers. A catalogue that was read must
// come back unchanged from its JSON form, and from its YAML form but for what
// that form leaves out.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/catalogue/diff.hpp"
#include "eelgrassbridge/catalogue/read_catalogue.hpp"
#include "eelgrassbridge/catalogue/write_catalogue.hpp"

namespace {

using namespace eelgrassbridge;  // NOLINT(google-build-using-namespace)

void CheckForms(const catalogue::Catalogue& found) {
  const auto json =
      catalogue::ReadCatalogueJson(catalogue::WriteCatalogueJson(found));
  if (!json || !catalogue::Diff(found, json.value()).empty()) {
    std::abort();
  }
  catalogue::Catalogue in_file = found;
  in_file.out_of_service.clear();
  const auto yaml = catalogue::ReadCatalogue(
      catalogue::WriteCatalogueYaml(in_file), "written");
  if (!yaml || !catalogue::Diff(in_file, yaml.value()).empty()) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto yaml = catalogue::ReadCatalogue(text, "input");
  if (yaml) {
    CheckForms(yaml.value());
  } else if (yaml.error().detail.empty()) {
    std::abort();
  }
  const auto json = catalogue::ReadCatalogueJson(text);
  if (json) {
    (void)catalogue::WriteCatalogueYaml(json.value());
  }
  return 0;
}
