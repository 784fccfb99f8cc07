// The commands daemon and check-settings.
#include <nlohmann/json.hpp>
#include <ostream>

#include "eelgrassbridge/catalogue/read_catalogue.hpp"
#include "eelgrassbridge/cli/command.hpp"
#include "eelgrassbridge/daemon/run_daemon.hpp"
#include "eelgrassbridge/settings/read_settings.hpp"

namespace eelgrassbridge::cli {

namespace {

base::Result<catalogue::Catalogue> ReadInitialCatalogue(
    const settings::Settings& settings) {
  if (settings.initial_catalogue_file.empty()) {
    return catalogue::Catalogue{};
  }
  return catalogue::ReadCatalogueFile(settings.initial_catalogue_file);
}

ExitCode RunDaemonCommand(CommandContext& context) {
  const auto settings =
      settings::ReadSettingsFile(TextOption(context, "settings"));
  if (!settings) {
    return ReportError(context, settings.error());
  }
  const auto initial = ReadInitialCatalogue(settings.value());
  if (!initial) {
    return ReportError(context, initial.error());
  }
  const auto result = daemon::RunDaemon(settings.value(), initial.value());
  return result ? ExitCode::kSuccess : ReportError(context, result.error());
}

ExitCode CheckSettings(CommandContext& context) {
  const auto settings = settings::ReadSettingsFile(TextOption(context, "FILE"));
  if (!settings) {
    return ReportError(context, settings.error());
  }
  const settings::Settings& found = settings.value();
  if (context.json) {
    PrintJson(context, {{"valid", true},
                        {"site", found.site},
                        {"name", found.name},
                        {"http", settings::ToString(found.http)},
                        {"peer", settings::ToString(found.peer)}});
    return ExitCode::kSuccess;
  }
  context.out << TextOption(context, "FILE") << ": valid; daemon " << found.name
              << " of site " << found.site << " in " << found.data_centre
              << ", http " << settings::ToString(found.http) << ", peer "
              << settings::ToString(found.peer) << "\n";
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> LocalCommands() {
  return {{"daemon",
           "Run the daemon beside a target until SIGTERM",
           {},
           false,
           [](cxxopts::Options& options) {
             options.add_options()("settings", "Settings file of this daemon",
                                   cxxopts::value<std::string>(), "FILE");
           },
           RunDaemonCommand},
          {"check-settings",
           "Check a settings file and report all problems at once",
           {"FILE"},
           false,
           nullptr,
           CheckSettings}};
}

}  // namespace eelgrassbridge::cli
