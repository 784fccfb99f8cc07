// Selects the subcommand, parses its options, and prints help and version.
#include "eelgrassbridge/cli/run.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "eelgrassbridge/cli/command.hpp"

namespace eelgrassbridge::cli {

namespace {

std::string GeneralHelp() {
  std::string text =
      "Routes requests to servers that own keys exclusively.\n\n"
      "Usage: eelgrassbridge COMMAND [OPTION...]\n\nCommands:\n";
  for (const Command& command : AllCommands()) {
    text += fmt::format("  {:<24}{}\n", command.name, command.summary);
  }
  return text +
         "\nEach command has --help and --version. Exit codes: 0 success, "
         "1 invalid,\n2 usage, 3 refused, 4 conflict, 5 result unknown, "
         "6 unavailable,\n7 wait timed out, 8 unsafe change, "
         "9 other failure.\n";
}

/// Returns the command named by the first one or two arguments, and the number
/// of these arguments.
std::pair<const Command*, std::size_t> FindCommand(
    const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    return {nullptr, 0};
  }
  const std::string& one = arguments[0];
  const std::string two = arguments.size() > 1 ? one + " " + arguments[1] : one;
  for (const Command& command : AllCommands()) {
    if (command.name == two && two != one) {
      return {&command, 2};
    }
    if (command.name == one) {
      return {&command, 1};
    }
  }
  return {nullptr, 0};
}

ExitCode UsageError(std::ostream& err, std::string_view message) {
  err << message << "\n";
  return ExitCode::kUsage;
}

bool IsOptional(std::string_view positional) {
  return positional.starts_with('?');
}

constexpr std::string_view kListSuffix = "...";

bool IsList(std::string_view positional) {
  return positional.ends_with(kListSuffix);
}

/// Returns the cxxopts option of a positional argument.
std::string OptionName(std::string_view positional) {
  positional.remove_prefix(IsOptional(positional) ? 1 : 0);
  positional.remove_suffix(IsList(positional) ? kListSuffix.size() : 0);
  return std::string(positional);
}

ExitCode CheckPositional(const Command& command,
                         const cxxopts::ParseResult& parsed,
                         std::ostream& err) {
  for (const std::string& name : command.positional) {
    if (!IsOptional(name) && parsed.count(OptionName(name)) == 0) {
      return UsageError(err, fmt::format("{}: {} is missing; see --help",
                                         command.name, OptionName(name)));
    }
  }
  if (!parsed.unmatched().empty()) {
    return UsageError(err,
                      fmt::format("{}: unexpected argument '{}'; see --help",
                                  command.name, parsed.unmatched()[0]));
  }
  return ExitCode::kSuccess;
}

ExitCode RunCommand(const Command& command,
                    const std::vector<std::string>& arguments,
                    std::ostream& out,
                    std::ostream& err) {
  cxxopts::Options options = MakeOptions(command);
  std::vector<const char*> words{"eelgrassbridge"};
  for (const std::string& argument : arguments) {
    words.push_back(argument.c_str());
  }
  const auto parsed =
      options.parse(static_cast<int>(words.size()), words.data());
  if (parsed.count("help") > 0) {
    // Excludes the positional arguments, which are in the usage line.
    out << options.help({""});
    return ExitCode::kSuccess;
  }
  if (parsed.count("version") > 0) {
    out << "eelgrassbridge " << kVersion << "\n";
    return ExitCode::kSuccess;
  }
  const std::string format = parsed["output"].as<std::string>();
  if (format != "text" && format != "json") {
    return UsageError(
        err, fmt::format("--output: '{}' is invalid; expected text or json",
                         format));
  }
  const ExitCode checked = CheckPositional(command, parsed, err);
  if (checked != ExitCode::kSuccess) {
    return checked;
  }
  CommandContext context{parsed, out, err, format == "json"};
  return command.run(context);
}

}  // namespace

cxxopts::Options MakeOptions(const Command& command) {
  cxxopts::Options options(fmt::format("eelgrassbridge {}", command.name),
                           std::string(command.summary));
  std::string usage;
  std::vector<std::string> names;
  for (const std::string& positional : command.positional) {
    const std::string name = OptionName(positional);
    names.push_back(name);
    usage += IsOptional(positional) ? fmt::format(" [{}]", name)
                                    : " " + std::string(positional);
    if (IsList(positional)) {
      options.add_options("arguments")(
          name, "", cxxopts::value<std::vector<std::string>>());
    } else {
      options.add_options("arguments")(name, "", cxxopts::value<std::string>());
    }
  }
  options.custom_help("[OPTION...]" + usage);
  options.positional_help("");
  options.add_options()("h,help", "Show this help")("version",
                                                    "Show the version")(
      "output", "Output format: text or json",
      cxxopts::value<std::string>()->default_value("text"), "FORMAT");
  if (command.needs_daemon) {
    options.add_options()(
        "address",
        "Any daemon's HTTP address (environment: EELGRASSBRIDGE_ADDRESS)",
        cxxopts::value<std::string>(),
        "IP:PORT")("token-file",
                   "File with the operator's token (environment: "
                   "EELGRASSBRIDGE_TOKEN_FILE)",
                   cxxopts::value<std::string>(), "FILE")(
        "ca-file", "Use TLS and trust the certificates in this file",
        cxxopts::value<std::string>(),
        "FILE")("timeout", "Timeout for each answer, e.g. 5s",
                cxxopts::value<std::string>()->default_value("5s"), "DURATION");
  }
  if (command.add_options != nullptr) {
    command.add_options(options);
  }
  options.parse_positional(names);
  return options;
}

std::string TextOption(const CommandContext& context, const std::string& name) {
  const bool has_value =
      context.options.count(name) > 0 || context.options[name].has_default();
  return has_value ? context.options[name].as<std::string>() : std::string();
}

bool HasOption(const CommandContext& context, const std::string& name) {
  return context.options.count(name) > 0;
}

ExitCode ReportError(CommandContext& context, const base::Error& error) {
  if (context.json) {
    context.err << nlohmann::json{{"error", base::ErrorName(error.kind)},
                                  {"detail", error.detail}}
                       .dump(-1, ' ', false,
                             nlohmann::json::error_handler_t::replace)
                << "\n";
  } else {
    context.err << error.detail << "\n";
  }
  return ExitCodeFor(error.kind);
}

void PrintJson(CommandContext& context, const nlohmann::json& value) {
  context.out << value.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)
              << "\n";
}

ExitCode Run(const std::vector<std::string>& arguments,
             std::ostream& out,
             std::ostream& err) {
  const auto [command, words] = FindCommand(arguments);
  if (command == nullptr) {
    if (!arguments.empty() &&
        (arguments[0] == "--help" || arguments[0] == "-h")) {
      out << GeneralHelp();
      return ExitCode::kSuccess;
    }
    if (!arguments.empty() && arguments[0] == "--version") {
      out << "eelgrassbridge " << kVersion << "\n";
      return ExitCode::kSuccess;
    }
    err << GeneralHelp();
    return arguments.empty()
               ? ExitCode::kUsage
               : UsageError(err, fmt::format("unknown command '{}'",
                                             fmt::join(arguments, " ")));
  }
  try {
    return RunCommand(*command,
                      {arguments.begin() + static_cast<std::ptrdiff_t>(words),
                       arguments.end()},
                      out, err);
  } catch (const cxxopts::exceptions::exception& error) {
    return UsageError(
        err, fmt::format("{}: {}; see --help", command->name, error.what()));
  }
}

}  // namespace eelgrassbridge::cli
