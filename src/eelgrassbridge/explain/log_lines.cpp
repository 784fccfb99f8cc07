// Parses log lines and groups them by daemon.
#include "eelgrassbridge/explain/log_lines.hpp"

#include <istream>
#include <optional>

#include "eelgrassbridge/node/event_log.hpp"

namespace eelgrassbridge::explain {

namespace {

std::optional<nlohmann::json> ParseLine(std::string_view text) {
  const auto begin = text.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  auto value = nlohmann::json::parse(text.substr(begin), nullptr, false);
  const bool is_line = value.is_object() && value.contains("event") &&
                       value["event"].is_string() && value.contains("daemon") &&
                       value["daemon"].is_string();
  return is_line ? std::optional(std::move(value)) : std::nullopt;
}

std::int64_t NumberOf(const nlohmann::json& value, const char* field) {
  const auto found = value.find(field);
  return found != value.end() && found->is_number() ? found->get<std::int64_t>()
                                                    : 0;
}

bool IsAbout(const nlohmann::json& value, std::string_view request) {
  const auto found = value.find("request");
  return found == value.end() || *found == request;
}

void AddLine(nlohmann::json value, LogSet& logs) {
  const std::string name = value["daemon"];
  DaemonLog& log = logs.daemons[name];
  log.name = name;
  LogLine line;
  line.event = value["event"];
  line.time_ms = NumberOf(value, "time_ms");
  line.up_ms = NumberOf(value, "up_ms");
  if (line.event == node::EventName(node::EventKind::kStarted)) {
    ++log.runs;
    const auto address = value.find("address");
    if (address != value.end() && address->is_string()) {
      log.address = address->get<std::string>();
    }
  }
  line.run = log.runs;
  line.fields = std::move(value);
  log.lines.push_back(std::move(line));
}

}  // namespace

void ReadLog(std::istream& stream, std::string_view request, LogSet& logs) {
  for (std::string text; std::getline(stream, text);) {
    if (text.empty()) {
      continue;
    }
    auto value = ParseLine(text);
    if (!value) {
      ++logs.unreadable_lines;
    } else if (IsAbout(*value, request)) {
      AddLine(std::move(*value), logs);
    }
  }
}

const DaemonLog* FindByAddress(const LogSet& logs, std::string_view address) {
  for (const auto& [name, log] : logs.daemons) {
    if (!address.empty() && log.address == address) {
      return &log;
    }
  }
  return nullptr;
}

std::string TextOf(const LogLine& line, std::string_view field) {
  const auto found = line.fields.find(field);
  if (found == line.fields.end() || found->is_null()) {
    return {};
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

}  // namespace eelgrassbridge::explain
