// The commands of a build for the users' platform, which leaves out what only
// the product's own site needs.
#include "eelgrassbridge/cli/command.hpp"

namespace eelgrassbridge::cli {

std::span<const Command> AllCommands() {
  static const std::vector<Command> commands = NodeCommands();
  return commands;
}

}  // namespace eelgrassbridge::cli
