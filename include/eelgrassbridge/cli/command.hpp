// Subcommands of the command line.
#ifndef EELGRASSBRIDGE_CLI_COMMAND_HPP
#define EELGRASSBRIDGE_CLI_COMMAND_HPP

#include <cxxopts.hpp>
#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/cli/exit_code.hpp"

namespace eelgrassbridge::cli {

/// @brief Options and output streams of a running command.
struct CommandContext {
  const cxxopts::ParseResult& options;
  std::ostream& out;
  std::ostream& err;
  /// Whether --output json is given.
  bool json = false;
};

/// @brief One subcommand. Invariant: strings and functions have static storage.
struct Command {
  /// One or two words, e.g. "catalogue apply".
  std::string_view name;
  std::string_view summary;
  /// Names of the positional arguments, which are also cxxopts options. A
  /// leading '?' marks an optional argument; a trailing "..." on the last name
  /// means that it takes all remaining arguments.
  std::vector<std::string> positional;
  /// Adds the options for MakeAdminClient.
  bool needs_daemon = false;
  void (*add_options)(cxxopts::Options& options) = nullptr;
  ExitCode (*run)(CommandContext& context) = nullptr;
};

/// @brief Returns all subcommands, in the order of the help text.
std::span<const Command> AllCommands();

/// @brief Returns the options of a command, including the common ones.
cxxopts::Options MakeOptions(const Command& command);

/// @brief Returns the value of a string option, or an empty string.
std::string TextOption(const CommandContext& context, const std::string& name);
/// @brief Returns whether an option is given.
bool HasOption(const CommandContext& context, const std::string& name);

/// @brief Prints an error to the error stream, as text or JSON, and returns its
/// exit code.
ExitCode ReportError(CommandContext& context, const base::Error& error);

/// @brief Prints a JSON value on one line to the output stream.
void PrintJson(CommandContext& context, const nlohmann::json& value);

// Groups of commands; each is defined in the file of the same name.
std::vector<Command> LocalCommands();
std::vector<Command> NodeCommands();
std::vector<Command> RouteCommands();
std::vector<Command> ExplainCommands();
std::vector<Command> CatalogueCommands();
std::vector<Command> TakeOutCommands();
std::vector<Command> StatusCommands();
std::vector<Command> ReportCommands();
std::vector<Command> KeysCommands();
std::vector<Command> CompletionCommands();

}  // namespace eelgrassbridge::cli

#endif  // EELGRASSBRIDGE_CLI_COMMAND_HPP
