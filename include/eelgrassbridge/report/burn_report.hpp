// The burn report: error budget burn rates over several windows, computed from
// the snapshots of all daemons.
#ifndef EELGRASSBRIDGE_REPORT_BURN_REPORT_HPP
#define EELGRASSBRIDGE_REPORT_BURN_REPORT_HPP

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/report/burn_snapshot.hpp"

namespace eelgrassbridge::report {

/// @brief A time window that ends now, and the ring it is computed from.
struct Window {
  std::string_view name;
  std::int64_t length_s;
  /// Index into kRingShapes.
  std::size_t ring;
};

inline constexpr std::array<Window, 4> kWindows{{{"5min", 300, 0},
                                                 {"1h", 3'600, 0},
                                                 {"6h", 21'600, 1},
                                                 {"3d", 259'200, 1}}};

/// @brief Statistics of one row, or of all rows, over one window.
struct WindowStats {
  std::uint64_t total = 0;
  std::uint64_t failed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t slow = 0;
  /// Ratio of the failed fraction to the fraction that the objective allows. A
  /// constant rate of 1 uses up the error budget at the end of its period.
  double burn_rate = 0;
  /// Ratio of the slow fraction to the 1 % that the objective allows.
  double latency_burn_rate = 0;
  /// Sum over the buckets of the bucket width times the failed fraction.
  double unavailable_s = 0;
  base::Duration mean{};
  /// Highest p99 of any bucket of any daemon: quantiles can't be merged, and
  /// their mean would hide a slow daemon.
  base::Duration worst_p99{};
  base::Duration max{};
};

/// @brief Sum of one bucket over all daemons.
struct BurnPoint {
  std::int64_t start_s = 0;
  std::uint64_t total = 0;
  std::uint64_t failed = 0;
};

struct BurnRow {
  BurnKey key;
  /// Weight of a request of this kind.
  double worth = 1;
  catalogue::Objective objective;
  /// The kind is no longer in the catalogue; its objective is the default.
  bool is_removed = false;
  std::array<WindowStats, kWindows.size()> windows;
  /// Remaining fraction of the error budget over the longest window; negative
  /// if the budget is exceeded.
  double budget_left = 1;
  /// Data of the plots, per ring.
  std::array<std::vector<BurnPoint>, kRingShapes.size()> points;
};

struct BurnReport {
  std::string site;
  std::int64_t made_at_s = 0;
  std::vector<BurnRow> rows;
  /// Statistics of all rows, with requests weighted by the worth of their kind.
  std::array<WindowStats, kWindows.size()> weighted;
  std::vector<std::string> daemons;
  /// Expected daemons without a snapshot; their requests are not counted.
  std::vector<std::string> missing;
  /// Daemons whose counts don't cover the longest window.
  std::vector<std::string> short_history;
  /// Outcomes that daemons didn't count because they had kMaxKeys keys.
  std::uint64_t dropped = 0;
};

/// @brief Computes the report from snapshots. If several snapshots of one
/// daemon (same id) contain a bucket, the one with the highest count is used.
/// @param expected names of the daemons that should have sent a snapshot
BurnReport MakeBurnReport(const catalogue::Catalogue& catalogue,
                          const std::vector<BurnSnapshot>& snapshots,
                          const std::vector<std::string>& expected,
                          std::int64_t now_s);

std::string BurnReportText(const BurnReport& report);
std::string BurnReportJson(const BurnReport& report);

/// @brief Returns a self-contained page with SVG plots.
std::string BurnReportHtml(const BurnReport& report);

}  // namespace eelgrassbridge::report

#endif  // EELGRASSBRIDGE_REPORT_BURN_REPORT_HPP
