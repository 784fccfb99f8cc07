// Formatting, rate limiting and writing of log lines.
#include "eelgrassbridge/node/event_log.hpp"

#include <fcntl.h>
#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::node {

namespace {

constexpr std::array<std::string_view, kEventKindCount> kEventNames = {
    "started",
    "stopping",
    "stopped",
    "process_failed",
    "process_paused",
    "settings_reloaded",
    "settings_rejected",
    "store_lost",
    "store_regained",
    "store_restored",
    "store_refused",
    "poll_abandoned",
    "relay_failed",
    "relay_regained",
    "routes_in_force",
    "routes_rejected",
    "row_rejected",
    "data_centre_out",
    "data_centre_back",
    "member_changed",
    "member_removed",
    "target_started",
    "target_leaving",
    "target_cold",
    "target_warm",
    "capacity_changed",
    "report_rejected",
    "lease_acquired",
    "lease_lost",
    "ranges_changed",
    "ranges_planned",
    "ranges_released",
    "request_answered",
    "request_refused",
    "request_failed",
    "request_retried",
    "request_run",
    "request_turned_away",
    "caller_left",
    "connection_closed",
    "quota_coordinator_gained",
    "quota_coordinator_lost",
    "lines_dropped"};

/// Whether the text needs no escapes in JSON.
bool IsPlain(std::string_view text) {
  return std::ranges::all_of(text, [](char letter) {
    const auto byte = static_cast<unsigned char>(letter);
    return byte >= 0x20 && byte < 0x7f && letter != '"' && letter != '\\';
  });
}

void AppendText(std::string& line, std::string_view text) {
  if (IsPlain(text)) {
    line.append("\"").append(text).append("\"");
    return;
  }
  line += nlohmann::json(text).dump(-1, ' ', true,
                                    nlohmann::json::error_handler_t::replace);
}

void AppendField(std::string& line, const EventField& field) {
  line.append(",\"").append(field.name).append("\":");
  if (const auto* const text = std::get_if<std::string_view>(&field.value)) {
    AppendText(line, *text);
  } else if (const auto* const number =
                 std::get_if<std::int64_t>(&field.value)) {
    fmt::format_to(std::back_inserter(line), "{}", *number);
  } else {
    fmt::format_to(std::back_inserter(line), "{:.4g}",
                   std::get<double>(field.value));
  }
}

/// Takes one line from the budget of the event. Returns false if it is used up.
bool TakeLine(EventLog& log, EventKind kind, base::TimePoint now) {
  auto& budget = log.budgets[static_cast<std::size_t>(kind)];
  const double burst = log.options.lines_per_second * 2;
  const bool first = budget.updated_at == base::TimePoint{};
  const double seconds =
      std::chrono::duration<double>(now - budget.updated_at).count();
  budget.lines =
      first ? burst
            : std::min(burst,
                       budget.lines + seconds * log.options.lines_per_second);
  budget.updated_at = now;
  if (budget.lines < 1) {
    return false;
  }
  budget.lines -= 1;
  return true;
}

std::int64_t UptimeMilliseconds(const EventLog& log) {
  return std::chrono::duration_cast<base::milliseconds>(base::BootClock::now() -
                                                        log.started_at)
      .count();
}

std::string FormatLine(const EventLog& log,
                       EventKind kind,
                       std::initializer_list<EventField> fields) {
  std::string line = fmt::format(
      "{{\"time_ms\":{},\"up_ms\":{},\"event\":\"{}\",\"daemon\":",
      base::UnixMilliseconds(), UptimeMilliseconds(log), EventName(kind));
  AppendText(line, log.name);
  for (const EventField& field : fields) {
    AppendField(line, field);
  }
  line += "}\n";
  return line;
}

void Append(EventLog& log, EventKind kind, const std::string& line) {
  if (log.buffer.size() + line.size() > log.options.buffer_bytes) {
    ++log.budgets[static_cast<std::size_t>(kind)].dropped;
    ++log.dropped_total;
    return;
  }
  log.buffer += line;
}

/// Adds a line with the number of lines of an event that were dropped since its
/// last line.
void ReportDropped(EventLog& log, EventKind kind) {
  auto& budget = log.budgets[static_cast<std::size_t>(kind)];
  if (budget.dropped == 0) {
    return;
  }
  const auto count = static_cast<std::int64_t>(budget.dropped);
  budget.dropped = 0;
  Append(log, kind,
         FormatLine(log, EventKind::kLinesDropped,
                    {{"of", EventName(kind)}, {"count", count}}));
}

}  // namespace

std::string_view EventName(EventKind kind) {
  return kEventNames[static_cast<std::size_t>(kind)];
}

void Log(EventLog& log,
         EventKind kind,
         std::initializer_list<EventField> fields) {
  if (!TakeLine(log, kind, base::BootClock::now())) {
    ++log.budgets[static_cast<std::size_t>(kind)].dropped;
    ++log.dropped_total;
    return;
  }
  ReportDropped(log, kind);
  Append(log, kind, FormatLine(log, kind, fields));
}

void Flush(EventLog& log) {
  while (!log.buffer.empty()) {
    // O_NONBLOCK would also affect other processes that share the descriptor,
    // so it is polled instead.
    pollfd ready{log.options.descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    static constexpr std::size_t kMaxWriteBytes = 4096;
    const std::size_t size = std::min(log.buffer.size(), kMaxWriteBytes);
    const auto written =
        ::write(log.options.descriptor, log.buffer.data(), size);
    if (written <= 0) {
      return;
    }
    log.buffer.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace eelgrassbridge::node
