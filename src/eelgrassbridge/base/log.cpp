// Formats log lines as text or JSON.
#include "eelgrassbridge/base/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::base {

namespace {

std::atomic<LogFormat> g_format = LogFormat::kText;

std::string FormatFields(std::string_view event,
                         std::initializer_list<LogField> fields) {
  if (g_format.load() == LogFormat::kJson) {
    nlohmann::json line{{"event", event}};
    for (const LogField& field : fields) {
      line[std::string(field.name)] = field.value;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  std::string line(event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", field.name, field.value);
  }
  return line;
}

}  // namespace

void ConfigureLog(const LogOptions& options) {
  g_format = options.format;
  auto logger = std::make_shared<spdlog::logger>(
      "eelgrassbridge", std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_level(spdlog::level::from_str(options.level));
  if (options.format == LogFormat::kJson) {
    logger->set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","change":%v})");
  } else {
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  }
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void LogEvent(std::string_view event,
              std::initializer_list<LogField> fields,
              LogLevel level) {
  const std::string line = FormatFields(event, fields);
  switch (level) {
    case LogLevel::kNone:
      spdlog::info("{}", line);
      break;
    case LogLevel::kWarning:
      spdlog::warn("{}", line);
      break;
    case LogLevel::kError:
      spdlog::error("{}", line);
      break;
  }
}

}  // namespace eelgrassbridge::base
