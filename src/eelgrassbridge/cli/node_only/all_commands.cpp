// Lists the commands of a build that contains only the node for the users'
// platform.
#include <algorithm>
#include <iterator>

#include "eelgrassbridge/cli/command.hpp"

namespace eelgrassbridge::cli {

namespace {

std::vector<Command> MakeCommands() {
  std::vector<Command> commands = NodeCommands();
  std::ranges::copy(RouteCommands(), std::back_inserter(commands));
  std::ranges::copy(ExplainCommands(), std::back_inserter(commands));
  return commands;
}

}  // namespace

std::span<const Command> AllCommands() {
  static const std::vector<Command> commands = MakeCommands();
  return commands;
}

}  // namespace eelgrassbridge::cli
