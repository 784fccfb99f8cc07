// Entry point of the one binary.
#include <cstdio>
#include <string>

#include "eelgrassbridge/catalogue/read_catalogue.hpp"
#include "eelgrassbridge/daemon/run_daemon.hpp"
#include "eelgrassbridge/settings/read_settings.hpp"

int main(int argc, char** argv) {
  using namespace eelgrassbridge;  // NOLINT(google-build-using-namespace)
  if (argc != 4 || std::string(argv[1]) != "daemon") {
    std::fputs("usage: eelgrassbridge daemon --settings FILE\n", stderr);
    return 2;
  }
  auto settings = settings::ReadSettingsFile(argv[3]);
  if (!settings) {
    std::fprintf(stderr, "%s\n", settings.error().detail.c_str());
    return 1;
  }
  catalogue::Catalogue catalogue;
  if (!settings.value().initial_catalogue_file.empty()) {
    auto read =
        catalogue::ReadCatalogueFile(settings.value().initial_catalogue_file);
    if (!read) {
      std::fprintf(stderr, "%s\n", read.error().detail.c_str());
      return 1;
    }
    catalogue = std::move(read).value();
  }
  auto result = daemon::RunDaemon(settings.value(), catalogue);
  if (!result) {
    std::fprintf(stderr, "%s\n", result.error().detail.c_str());
    return 1;
  }
  return 0;
}
