// The command explain.
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>

#include "eelgrassbridge/cli/command.hpp"
#include "eelgrassbridge/explain/explanation.hpp"

namespace eelgrassbridge::cli {

namespace {

ExitCode ExplainCommand(CommandContext& context) {
  const std::string request = TextOption(context, "REQUEST_ID");
  explain::LogSet logs;
  for (const std::string& file :
       context.options["FILE"].as<std::vector<std::string>>()) {
    std::ifstream stream(file);
    if (!stream) {
      return ReportError(context, {base::ErrorKind::kNotFound,
                                   file + ": cannot be opened for reading"});
    }
    explain::ReadLog(stream, request, logs);
  }
  const explain::Explanation explanation = explain::Explain(logs, request);
  if (context.json) {
    PrintJson(context, explain::ToJson(explanation));
  } else {
    context.out << explain::ToText(explanation);
  }
  return explanation.steps.empty() ? ExitCodeFor(base::ErrorKind::kNotFound)
                                   : ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> ExplainCommands() {
  return {{"explain",
           "Explain the outcome of a request from the logs of nodes",
           {"REQUEST_ID", "FILE..."},
           false,
           nullptr,
           ExplainCommand}};
}

}  // namespace eelgrassbridge::cli
