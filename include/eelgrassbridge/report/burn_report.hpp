// The burn report: how much of each error budget is used, over several
// windows, merged from the snapshots of many daemons.
#ifndef EELGRASSBRIDGE_REPORT_BURN_REPORT_HPP
#define EELGRASSBRIDGE_REPORT_BURN_REPORT_HPP

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/report/burn_snapshot.hpp"

namespace eelgrassbridge::report {

/// @brief A span that ends now, and the ring it is read from.
struct Window {
  std::string_view name;
  std::int64_t length_s;
  std::size_t ring;
};

inline constexpr std::array<Window, 4> kWindows{{{"5min", 300, 0},
                                                 {"1h", 3'600, 0},
                                                 {"6h", 21'600, 1},
                                                 {"3d", 259'200, 1}}};

/// @brief Figures of one row or of all rows in one window.
struct WindowFigures {
  std::uint64_t total = 0;
  std::uint64_t failed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t slow = 0;
  /// Share of failed requests over the share that the objective allows; at 1
  /// the budget is used up exactly at the end of its period.
  double burn_rate = 0;
  /// Share of slow answers over the 1 % that the objective allows.
  double latency_burn_rate = 0;
  /// Sum over the buckets of their width times their share of failures.
  double unavailable_s = 0;
  base::Duration mean{};
  /// The worst p99 of a single bucket of a single daemon: quantiles cannot be
  /// merged, and a mean of them would hide a straggler.
  base::Duration worst_p99{};
  base::Duration max{};
};

/// @brief Counts of one bucket over all daemons.
struct BurnPoint {
  std::int64_t start_s = 0;
  std::uint64_t total = 0;
  std::uint64_t failed = 0;
};

struct BurnRow {
  BurnKey key;
  double worth = 1;
  catalogue::Objective objective;
  /// The catalogue no longer has this kind; its objective is the default.
  bool is_removed = false;
  std::array<WindowFigures, kWindows.size()> windows;
  /// Part of the error budget of the longest window that is left; negative
  /// when more than all of it is used.
  double budget_left = 1;
  /// For the plots, one list for each ring.
  std::array<std::vector<BurnPoint>, kRingShapes.size()> points;
};

struct BurnReport {
  std::string site;
  std::int64_t made_at_s = 0;
  std::vector<BurnRow> rows;
  /// Over all rows, each request weighted by the worth of its kind.
  std::array<WindowFigures, kWindows.size()> weighted;
  std::vector<std::string> daemons;
  /// Expected daemons without a snapshot; their requests are not in the
  /// figures.
  std::vector<std::string> missing;
  /// Daemons whose counts begin inside the longest window.
  std::vector<std::string> short_history;
  /// Outcomes that a daemon could not count for lack of room.
  std::uint64_t dropped = 0;
};

/// @brief Merges snapshots. A bucket that several snapshots of one daemon
/// (same id) hold is counted once, as in the fullest of them.
/// @param expected names of the daemons that should have answered
BurnReport MakeBurnReport(const catalogue::Catalogue& catalogue,
                          const std::vector<BurnSnapshot>& snapshots,
                          const std::vector<std::string>& expected,
                          std::int64_t now_s);

std::string BurnReportText(const BurnReport& report);
std::string BurnReportJson(const BurnReport& report);

/// @brief One page without references to other files, with SVG plots.
std::string BurnReportHtml(const BurnReport& report);

}  // namespace eelgrassbridge::report

#endif  // EELGRASSBRIDGE_REPORT_BURN_REPORT_HPP
