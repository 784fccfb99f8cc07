// Lists the commands of the full build.
#include <algorithm>
#include <iterator>

#include "eelgrassbridge/cli/command.hpp"

namespace eelgrassbridge::cli {

namespace {

std::vector<Command> MakeCommands() {
  std::vector<Command> commands;
  for (auto* group :
       {LocalCommands, NodeCommands, RouteCommands, ExplainCommands,
        CatalogueCommands, TakeOutCommands, StatusCommands, ReportCommands,
        KeysCommands, CompletionCommands}) {
    std::ranges::copy(group(), std::back_inserter(commands));
  }
  return commands;
}

}  // namespace

std::span<const Command> AllCommands() {
  static const std::vector<Command> commands = MakeCommands();
  return commands;
}

}  // namespace eelgrassbridge::cli
