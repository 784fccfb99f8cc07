// Subcommands of the one binary.
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

/// @brief What a running command works with.
struct CommandContext {
  const cxxopts::ParseResult& options;
  std::ostream& out;
  std::ostream& err;
  /// --output json
  bool json = false;
};

/// @brief One subcommand. Invariant: words, texts and functions are static.
struct Command {
  /// One or two words, e.g. "catalogue apply".
  std::string_view name;
  std::string_view summary;
  /// Names of the positional arguments, which are options of cxxopts too;
  /// a leading '?' marks one that may be left out, and "..." at the end of the
  /// last one that it takes all that follow.
  std::vector<std::string> positional;
  bool talks_to_daemon = false;
  void (*add_options)(cxxopts::Options& options) = nullptr;
  ExitCode (*run)(CommandContext& context) = nullptr;
};

/// @brief All subcommands in the order of the help text.
std::span<const Command> AllCommands();

/// @brief The options of a command, its own and the common ones.
cxxopts::Options OptionsOf(const Command& command);

/// @brief Value of a text option, or empty.
std::string Text(const CommandContext& context, const std::string& name);
bool Flag(const CommandContext& context, const std::string& name);

/// @brief Prints an error, as text or JSON, to the error stream.
ExitCode Report(CommandContext& context, const base::Error& error);

/// @brief Prints a JSON value as one line to the output stream.
void PrintJson(CommandContext& context, const nlohmann::json& value);

// The commands, in the files named after them.
std::vector<Command> LocalCommands();
std::vector<Command> NodeCommands();
std::vector<Command> ExplainCommands();
std::vector<Command> CatalogueCommands();
std::vector<Command> TakeOutCommands();
std::vector<Command> StatusCommands();
std::vector<Command> ReportCommands();
std::vector<Command> KeysCommands();
std::vector<Command> CompletionCommands();

}  // namespace eelgrassbridge::cli

#endif  // EELGRASSBRIDGE_CLI_COMMAND_HPP
