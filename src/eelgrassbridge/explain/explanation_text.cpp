// Formats explanations as text and as JSON.
#include <spdlog/fmt/fmt.h>

#include <nlohmann/json.hpp>

#include "eelgrassbridge/explain/explanation.hpp"

namespace eelgrassbridge::explain {

namespace {

/// Whether the heading of a step already shows a field.
bool IsShownInHeading(std::string_view field) {
  return field == "time_ms" || field == "up_ms" || field == "event" ||
         field == "daemon" || field == "request";
}

std::string FieldsText(const LogLine& line) {
  std::string text;
  for (const auto& [name, value] : line.fields.items()) {
    const std::string shown = TextOf(line, name);
    if (!IsShownInHeading(name) && !shown.empty()) {
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
    for (const StateItem& item : step.local_state) {
      text += fmt::format("   local state: {}: {} ({} ms old)\n", item.subject,
                          item.value, item.age_ms);
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
    nlohmann::json local_state = nlohmann::json::array();
    for (const StateItem& item : step.local_state) {
      local_state.push_back({{"subject", item.subject},
                             {"value", item.value},
                             {"age_ms", item.age_ms}});
    }
    steps.push_back({{"daemon", step.daemon},
                     {"line", step.line.fields},
                     {"beliefs", std::move(local_state)}});
  }
  return {{"request", explanation.request},
          {"steps", std::move(steps)},
          {"missing", explanation.missing},
          {"conclusion", explanation.conclusion}};
}

}  // namespace eelgrassbridge::explain
