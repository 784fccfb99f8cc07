// The commands of the whole program.
#include <algorithm>
#include <iterator>

#include "eelgrassbridge/cli/command.hpp"

namespace eelgrassbridge::cli {

namespace {

std::vector<Command> MakeCommands() {
  std::vector<Command> all;
  for (auto* group : {LocalCommands, NodeCommands, ExplainCommands,
                      CatalogueCommands, TakeOutCommands, StatusCommands,
                      ReportCommands, KeysCommands, CompletionCommands}) {
    std::ranges::copy(group(), std::back_inserter(all));
  }
  return all;
}

}  // namespace

std::span<const Command> AllCommands() {
  static const std::vector<Command> commands = MakeCommands();
  return commands;
}

}  // namespace eelgrassbridge::cli
