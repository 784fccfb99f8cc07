// Formats the burn report as text and as JSON.
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <nlohmann/json.hpp>

#include "eelgrassbridge/report/burn_report.hpp"

namespace eelgrassbridge::report {

namespace {

using nlohmann::json;

constexpr double kMicrosecondsPerMillisecond = 1000;

double Milliseconds(base::Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

json ToJson(const WindowStats& stats) {
  return {{"total", stats.total},
          {"failed", stats.failed},
          {"unknown", stats.unknown},
          {"slow", stats.slow},
          {"burn_rate", stats.burn_rate},
          {"latency_burn_rate", stats.latency_burn_rate},
          {"unavailable_s", stats.unavailable_s},
          {"mean_ms", Milliseconds(stats.mean)},
          {"worst_p99_ms", Milliseconds(stats.worst_p99)},
          {"max_ms", Milliseconds(stats.max)}};
}

json ToJson(const std::array<WindowStats, kWindows.size()>& windows) {
  json object = json::object();
  for (std::size_t i = 0; i < windows.size(); ++i) {
    object[std::string(kWindows.at(i).name)] = ToJson(windows.at(i));
  }
  return object;
}

std::string JoinNames(const std::vector<std::string>& names) {
  return names.empty() ? "none" : fmt::format("{}", fmt::join(names, ", "));
}

std::string WindowLines(
    const std::array<WindowStats, kWindows.size()>& windows) {
  std::string text;
  for (std::size_t i = 0; i < windows.size(); ++i) {
    const WindowStats& stats = windows.at(i);
    text += fmt::format(
        "  {:<6}{:>12}{:>9}{:>9}{:>10.2f}{:>10.2f}{:>9.1f} s{:>9.1f}{:>9.1f}\n",
        kWindows.at(i).name, stats.total, stats.failed, stats.unknown,
        stats.burn_rate, stats.latency_burn_rate, stats.unavailable_s,
        Milliseconds(stats.mean), Milliseconds(stats.worst_p99));
  }
  return text;
}

}  // namespace

std::string BurnReportText(const BurnReport& report) {
  std::string text = fmt::format(
      "burn report of site {}, {:%Y-%m-%dT%H:%M:%SZ}\n"
      "daemons: {} answered; missing: {}\n",
      report.site, fmt::gmtime(static_cast<std::time_t>(report.made_at_s)),
      report.daemons.size(), JoinNames(report.missing));
  if (!report.short_history.empty()) {
    text += fmt::format("less than 3 days of counts: {}\n",
                        JoinNames(report.short_history));
  }
  if (report.dropped > 0) {
    text += fmt::format("not counted, too many keys: {}\n", report.dropped);
  }
  text += fmt::format("\n  {:<6}{:>12}{:>9}{:>9}{:>10}{:>10}{:>11}{:>9}{:>9}\n",
                      "window", "requests", "failed", "unknown", "burn",
                      "slow burn", "unavail.", "mean ms", "p99 ms");
  text += "all kinds, weighted by worth\n" + WindowLines(report.weighted);
  for (const BurnRow& row : report.rows) {
    text += fmt::format(
        "{}/{} {}: worth {}, objective {}%, budget left {:.1f}%{}\n",
        row.key.service, row.key.kind, row.key.account_class, row.worth,
        row.objective.availability_ppm / 1e4, row.budget_left * 100,
        row.is_removed ? ", no longer in the catalogue" : "");
    text += WindowLines(row.windows);
  }
  return text;
}

std::string BurnReportJson(const BurnReport& report) {
  json rows = json::array();
  for (const BurnRow& row : report.rows) {
    rows.push_back({{"service", row.key.service},
                    {"kind", row.key.kind},
                    {"account_class", row.key.account_class},
                    {"worth", row.worth},
                    {"availability_ppm", row.objective.availability_ppm},
                    {"p99_ms", Milliseconds(row.objective.p99)},
                    {"in_catalogue", !row.is_removed},
                    {"budget_left", row.budget_left},
                    {"windows", ToJson(row.windows)}});
  }
  return json{{"site", report.site},
              {"made_at_s", report.made_at_s},
              {"daemons", report.daemons},
              {"missing", report.missing},
              {"short_history", report.short_history},
              {"dropped", report.dropped},
              {"weighted", ToJson(report.weighted)},
              {"rows", std::move(rows)}}
      .dump(2, ' ', false, json::error_handler_t::replace);
}

}  // namespace eelgrassbridge::report
