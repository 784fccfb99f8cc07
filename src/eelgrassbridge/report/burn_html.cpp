// Formats the burn report as an HTML page with inline SVG plots.
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>

#include "eelgrassbridge/report/burn_report.hpp"

namespace eelgrassbridge::report {

namespace {

constexpr double kPlotWidth = 420;
constexpr double kPlotHeight = 90;
constexpr double kPlotMargin = 4;
/// Minimum burn rate at the top of a plot, so that the line at 1 is always
/// shown and plots with low rates have the same scale.
constexpr double kMinScale = 1.5;

constexpr std::string_view kHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report</title>
<style>
body{font:14px system-ui,sans-serif;margin:24px;color:#1c2733;background:#fff}
table{border-collapse:collapse;margin:6px 0 14px}
th,td{padding:3px 10px;text-align:right;border-bottom:1px solid #d8dee6}
th:first-child,td:first-child{text-align:left}
h2{font-size:16px;margin:26px 0 4px}
.plots{display:flex;flex-wrap:wrap;gap:18px}
figure{margin:0}figcaption{font-size:12px;color:#55606c}
svg{background:#f5f7fa;border:1px solid #d8dee6}
.bad{color:#a3160f;font-weight:600}.note{color:#55606c}
</style></head><body>
)";

std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string JoinNames(const std::vector<std::string>& names) {
  return names.empty() ? "none"
                       : Escape(fmt::format("{}", fmt::join(names, ", ")));
}

double BurnRate(const BurnPoint& point, double allowed) {
  return point.total == 0 || allowed <= 0
             ? 0
             : static_cast<double>(point.failed) /
                   static_cast<double>(point.total) / allowed;
}

/// Plots the burn rate over the time covered by a ring. Intervals without
/// requests are left out instead of shown as zero.
std::string Plot(const BurnRow& row, std::size_t ring, std::int64_t now_s) {
  const RingShape& shape = kRingShapes.at(ring);
  const double allowed = 1.0 - row.objective.availability_ppm / 1e6;
  const auto span =
      static_cast<double>(shape.width_s) * static_cast<double>(shape.count);
  double scale = kMinScale;
  for (const BurnPoint& point : row.points.at(ring)) {
    scale = std::max(scale, BurnRate(point, allowed));
  }
  const auto x_of = [&](std::int64_t start_s) {
    const auto age = static_cast<double>(now_s - start_s);
    return kPlotMargin + (kPlotWidth - 2 * kPlotMargin) * (1.0 - age / span);
  };
  const auto y_of = [&](double burn) {
    return kPlotHeight - kPlotMargin -
           (kPlotHeight - 2 * kPlotMargin) * burn / scale;
  };
  std::string bars;
  const double bar_width = std::max(
      1.0, (kPlotWidth - 2 * kPlotMargin) / static_cast<double>(shape.count));
  for (const BurnPoint& point : row.points.at(ring)) {
    const double x = x_of(point.start_s);
    if (x < kPlotMargin || x > kPlotWidth - kPlotMargin) {
      continue;
    }
    const double burn = BurnRate(point, allowed);
    const double top = std::min(y_of(burn), kPlotHeight - kPlotMargin - 1);
    bars += fmt::format(
        R"(<rect x="{:.1f}" y="{:.1f}" width="{:.1f}" height="{:.1f}" fill="{}"/>)",
        x, top, bar_width, kPlotHeight - kPlotMargin - top,
        burn > 1 ? "#c0392b" : "#4f7cac");
  }
  return fmt::format(
      R"(<figure><svg role="img" viewBox="0 0 {0} {1}" width="{0}" height="{1}">{2})"
      R"(<line x1="0" x2="{0}" y1="{3:.1f}" y2="{3:.1f}" stroke="#1c2733" stroke-dasharray="4 3"/>)"
      R"(<text x="6" y="13" font-size="11" fill="#55606c">{4:.1f}</text></svg>)"
      "<figcaption>burn rate, last {5}; dashed: 1</figcaption></figure>\n",
      kPlotWidth, kPlotHeight, bars, y_of(1.0), scale,
      ring == 0 ? "hour" : "3 days");
}

std::string WindowTable(
    const std::array<WindowStats, kWindows.size()>& windows) {
  std::string rows;
  for (std::size_t i = 0; i < windows.size(); ++i) {
    const WindowStats& stats = windows.at(i);
    const auto burn_cell = [](double burn) {
      return fmt::format("<td{}>{:.2f}</td>", burn > 1 ? " class=\"bad\"" : "",
                         burn);
    };
    rows += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td>{}{}<td>{:.1f} s</td>"
        "<td>{:.1f} ms</td><td>{:.1f} ms</td></tr>\n",
        kWindows.at(i).name, stats.total, stats.failed, stats.unknown,
        burn_cell(stats.burn_rate), burn_cell(stats.latency_burn_rate),
        stats.unavailable_s, static_cast<double>(stats.mean.count()) / 1e3,
        static_cast<double>(stats.worst_p99.count()) / 1e3);
  }
  return "<table><tr><th>window</th><th>requests</th><th>failed</th>"
         "<th>unknown</th><th>burn</th><th>slow burn</th><th>unavailable</th>"
         "<th>mean</th><th>worst p99</th></tr>\n" +
         rows + "</table>\n";
}

}  // namespace

std::string BurnReportHtml(const BurnReport& report) {
  std::string page(kHead);
  page += fmt::format(
      "<h1>Burn report of {}</h1>\n<p>{:%Y-%m-%d %H:%M:%S} UTC, {} daemons "
      "answered. <span class=\"{}\">Missing: {}.</span></p>\n",
      Escape(report.site),
      fmt::gmtime(static_cast<std::time_t>(report.made_at_s)),
      report.daemons.size(), report.missing.empty() ? "note" : "bad",
      JoinNames(report.missing));
  if (!report.short_history.empty()) {
    page +=
        fmt::format("<p class=\"note\">Less than 3 days of counts: {}.</p>\n",
                    JoinNames(report.short_history));
  }
  page +=
      "<h2>All kinds, weighted by worth</h2>\n" + WindowTable(report.weighted);
  for (const BurnRow& row : report.rows) {
    page += fmt::format(
        "<h2>{}/{} &middot; {}</h2>\n<p>Worth {}, objective {}%, budget left "
        "<span class=\"{}\">{:.1f}%</span>{}</p>\n",
        Escape(row.key.service), Escape(row.key.kind),
        Escape(row.key.account_class), row.worth,
        row.objective.availability_ppm / 1e4,
        row.budget_left < 0 ? "bad" : "note", row.budget_left * 100,
        row.is_removed ? " (no longer in the catalogue)" : "");
    page += WindowTable(row.windows) + "<div class=\"plots\">" +
            Plot(row, 0, report.made_at_s) + Plot(row, 1, report.made_at_s) +
            "</div>\n";
  }
  return page + "</body></html>\n";
}

}  // namespace eelgrassbridge::report
