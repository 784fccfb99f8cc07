// Explanations as text and as JSON.
#include <spdlog/fmt/fmt.h>

#include <nlohmann/json.hpp>

#include "eelgrassbridge/explain/explanation.hpp"

namespace eelgrassbridge::explain {

namespace {

/// Fields that stand in the heading of a step already.
bool IsHeading(std::string_view field) {
  return field == "time_ms" || field == "up_ms" || field == "event" ||
         field == "daemon" || field == "request";
}

std::string FieldsText(const LogLine& line) {
  std::string text;
  for (const auto& [name, value] : line.fields.items()) {
    const std::string shown = TextOf(line, name);
    if (!IsHeading(name) && !shown.empty()) {
      text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, shown);
    }
  }
  return text;
}

}  // namespace

std::string ToText(const Explanation& explanation) {
  std::string text = fmt::format("request {}\n", explanation.request);
  std::size_t number = 0;
  for (const Step& step : explanation.steps) {
    text += fmt::format("{}. {} at {} (time_ms {})\n", ++number,
                        step.line.event, step.daemon, step.line.time_ms);
    text += fmt::format("   {}\n", FieldsText(step.line));
    for (const Belief& belief : step.beliefs) {
      text += fmt::format("   believed: {}: {} ({} ms old)\n", belief.subject,
                          belief.value, belief.age_ms);
    }
  }
  for (const std::string& missing : explanation.missing) {
    text += fmt::format("missing: {}\n", missing);
  }
  return text + fmt::format("conclusion: {}\n", explanation.conclusion);
}

nlohmann::json ToJson(const Explanation& explanation) {
  nlohmann::json steps = nlohmann::json::array();
  for (const Step& step : explanation.steps) {
    nlohmann::json beliefs = nlohmann::json::array();
    for (const Belief& belief : step.beliefs) {
      beliefs.push_back({{"subject", belief.subject},
                         {"value", belief.value},
                         {"age_ms", belief.age_ms}});
    }
    steps.push_back({{"daemon", step.daemon},
                     {"line", step.line.fields},
                     {"beliefs", std::move(beliefs)}});
  }
  return {{"request", explanation.request},
          {"steps", std::move(steps)},
          {"missing", explanation.missing},
          {"conclusion", explanation.conclusion}};
}

}  // namespace eelgrassbridge::explain
