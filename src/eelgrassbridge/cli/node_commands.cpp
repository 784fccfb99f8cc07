// The commands node and check-node-settings.
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <ostream>

#include "adapter.hpp"
#include "eelgrassbridge/cli/command.hpp"
#include "eelgrassbridge/node/run_node.hpp"

namespace eelgrassbridge::cli {

namespace {

std::string SettingsFile(const CommandContext& context) {
  std::string file = TextOption(context, "settings");
  if (file.empty()) {
    const char* const value = std::getenv(platform::kSettingsVariable);
    file = value == nullptr ? "" : value;
  }
  return file;
}

ExitCode RunNodeCommand(CommandContext& context) {
  const std::string file = SettingsFile(context);
  const auto settings = node::ReadNodeSettingsFile(file);
  if (!settings) {
    return ReportError(context, settings.error());
  }
  const auto result =
      node::RunNode(settings.value(), platform::MakePort,
                    [file] { return node::ReadNodeSettingsFile(file); });
  return result ? ExitCode::kSuccess : ReportError(context, result.error());
}

ExitCode CheckNodeSettings(CommandContext& context) {
  const std::string file = TextOption(context, "FILE");
  const auto settings = node::ReadNodeSettingsFile(file);
  if (!settings) {
    return ReportError(context, settings.error());
  }
  const node::NodeSettings& found = settings.value();
  if (context.json) {
    PrintJson(context, {{"valid", true},
                        {"name", found.name},
                        {"callers", found.callers},
                        {"peers", found.peers},
                        {"store", found.store_address}});
    return ExitCode::kSuccess;
  }
  context.out << file << ": valid; node " << found.name << " in "
              << found.data_centre << " beside " << found.service
              << ", callers " << found.callers << ", store "
              << found.store_address << "\n";
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> NodeCommands() {
  return {{"node",
           "Run the daemon beside a target on a platform with a row store",
           {},
           false,
           [](cxxopts::Options& options) {
             options.add_options()(
                 "settings",
                 "Settings file (environment: EELGRASSBRIDGE_SETTINGS)",
                 cxxopts::value<std::string>(), "FILE");
           },
           RunNodeCommand},
          {"check-node-settings",
           "Check a node's settings file and report all problems at once",
           {"FILE"},
           false,
           nullptr,
           CheckNodeSettings}};
}

}  // namespace eelgrassbridge::cli
