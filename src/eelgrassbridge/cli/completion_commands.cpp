// The command completion bash: prints a script generated from the commands.
#include <spdlog/fmt/fmt.h>

#include <map>
#include <ostream>

#include "eelgrassbridge/cli/command.hpp"

namespace eelgrassbridge::cli {

namespace {

std::string OptionNames(const Command& command) {
  const cxxopts::Options options = MakeOptions(command);
  std::string names;
  for (const auto& option : options.group_help("").options) {
    for (const std::string& name : option.l) {
      if (name.size() > 1) {
        names += fmt::format(" --{}", name);
      }
    }
  }
  return names;
}

ExitCode CompletionBash(CommandContext& context) {
  std::map<std::string, std::string> second_words;
  std::string cases;
  for (const Command& command : AllCommands()) {
    const std::string name(command.name);
    const std::size_t space = name.find(' ');
    std::string& words = second_words[name.substr(0, space)];
    if (space != std::string::npos) {
      words += (words.empty() ? "" : " ") + name.substr(space + 1);
    }
    cases += fmt::format("    \"{}\") words=\"{}\" ;;\n", name,
                         OptionNames(command).substr(1));
  }
  std::string first_words;
  for (const auto& [first, second] : second_words) {
    first_words += (first_words.empty() ? "" : " ") + first;
    if (!second.empty()) {
      cases += fmt::format("    \"{}\") words=\"{}\" ;;\n", first, second);
    }
  }
  context.out << fmt::format(R"(# bash completion of eelgrassbridge; use:
#   source <(eelgrassbridge completion bash)
_eelgrassbridge() {{
  local current="${{COMP_WORDS[COMP_CWORD]}}" command="" word words=""
  for word in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
    case "$word" in -*) ;; *) command="${{command:+$command }}$word" ;; esac
  done
  case "$command" in
    "") words="{} --help --version" ;;
{}  esac
  if [ -z "$words" ]; then
    COMPREPLY=($(compgen -f -- "$current"))
  else
    COMPREPLY=($(compgen -W "$words" -- "$current"))
  fi
}}
complete -F _eelgrassbridge eelgrassbridge
)",
                             first_words, cases);
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> CompletionCommands() {
  return {{"completion bash",
           "Print a completion script for bash",
           {},
           false,
           nullptr,
           CompletionBash}};
}

}  // namespace eelgrassbridge::cli
