// Merges snapshots and computes burn rates.
#include "eelgrassbridge/report/burn_report.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::report {

namespace {

constexpr double kPartsPerMillion = 1e6;
/// The latency objective is met by 99 of 100 answers.
constexpr double kAllowedSlowShare = 0.01;

/// Identifies a bucket across all snapshots.
struct BucketId {
  BurnKey key;
  std::size_t ring;
  std::int64_t start_s;
  std::string daemon_id;

  bool operator<(const BucketId& other) const {
    return std::tie(this->key, this->ring, this->start_s, this->daemon_id) <
           std::tie(other.key, other.ring, other.start_s, other.daemon_id);
  }
};

using Buckets = std::map<BucketId, BurnBucket>;

Buckets MergeSnapshots(const std::vector<BurnSnapshot>& snapshots) {
  Buckets buckets;
  for (const BurnSnapshot& snapshot : snapshots) {
    for (const BurnSeries& series : snapshot.series) {
      for (std::size_t i = 0; i < series.rings.size(); ++i) {
        for (const BurnBucket& bucket : series.rings.at(i)) {
          BurnBucket& merged =
              buckets[{series.key, i, bucket.start_s, snapshot.daemon_id}];
          if (Total(bucket) >= Total(merged)) {
            merged = bucket;
          }
        }
      }
    }
  }
  return buckets;
}

double AllowedShare(const catalogue::Objective& objective) {
  return 1.0 - objective.availability_ppm / kPartsPerMillion;
}

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

bool Overlaps(const BurnBucket& bucket,
              const Window& window,
              std::int64_t now_s) {
  const std::int64_t width = kRingShapes.at(window.ring).width_s;
  return bucket.start_s <= now_s &&
         bucket.start_s + width > now_s - window.length_s;
}

/// Sums from which the statistics of a window are computed.
struct WindowSums {
  double answered_us = 0;
  double allowed = 0;
  /// Weighted counts, for the latency burn rate.
  double answered = 0;
  double slow = 0;
  /// Weighted total and failed requests by bucket start, over all daemons.
  std::map<std::int64_t, std::pair<double, double>> by_start;
};

void AddBucket(const BurnBucket& bucket,
               double weight,
               double allowed_share,
               WindowStats& stats,
               WindowSums& sums) {
  stats.total += Total(bucket);
  stats.failed += Failed(bucket);
  stats.unknown += bucket.unknown;
  stats.slow += bucket.slow;
  stats.worst_p99 = std::max(stats.worst_p99, bucket.p99);
  stats.max = std::max(stats.max, bucket.max);
  const auto total = static_cast<double>(Total(bucket));
  sums.answered_us += static_cast<double>(bucket.answered) *
                      static_cast<double>(bucket.mean.count());
  sums.answered += weight * static_cast<double>(bucket.answered);
  sums.slow += weight * static_cast<double>(bucket.slow);
  sums.allowed += weight * total * allowed_share;
  auto& [interval_total, interval_failed] = sums.by_start[bucket.start_s];
  interval_total += weight * total;
  interval_failed += weight * static_cast<double>(Failed(bucket));
}

void FinishWindow(const Window& window,
                  const WindowSums& sums,
                  WindowStats& stats) {
  double failed = 0;
  for (const auto& [start, counts] : sums.by_start) {
    failed += counts.second;
    stats.unavailable_s +=
        Ratio(counts.second, counts.first) *
        static_cast<double>(kRingShapes.at(window.ring).width_s);
  }
  const auto answered = static_cast<double>(stats.total - stats.failed);
  stats.burn_rate = Ratio(failed, sums.allowed);
  stats.latency_burn_rate = Ratio(sums.slow, sums.answered * kAllowedSlowShare);
  stats.mean = base::Duration{
      static_cast<std::int64_t>(Ratio(sums.answered_us, answered))};
}

BurnRow MakeRow(const catalogue::Catalogue& catalogue, const BurnKey& key) {
  BurnRow row;
  row.key = key;
  const catalogue::Service* service =
      catalogue::FindService(catalogue, key.service);
  const catalogue::RequestKind* kind =
      service == nullptr ? nullptr : catalogue::FindKind(*service, key.kind);
  row.is_removed = kind == nullptr;
  if (kind != nullptr) {
    row.worth = kind->worth;
    row.objective = kind->objective;
  }
  return row;
}

/// Adds a bucket to the plot data of its row; must be called in time order.
void AddPoint(std::vector<BurnPoint>& points, const BurnBucket& bucket) {
  if (points.empty() || points.back().start_s != bucket.start_s) {
    points.push_back({bucket.start_s, 0, 0});
  }
  points.back().total += Total(bucket);
  points.back().failed += Failed(bucket);
}

void FillRows(const catalogue::Catalogue& catalogue,
              const Buckets& buckets,
              BurnReport& report) {
  std::array<WindowSums, kWindows.size()> row_sums;
  std::array<WindowSums, kWindows.size()> all_sums;
  const auto finish_row = [&] {
    if (report.rows.empty()) {
      return;
    }
    BurnRow& row = report.rows.back();
    for (std::size_t i = 0; i < kWindows.size(); ++i) {
      FinishWindow(kWindows.at(i), row_sums.at(i), row.windows.at(i));
      row_sums.at(i) = {};
    }
    row.budget_left = 1.0 - row.windows.back().burn_rate;
  };
  for (const auto& [id, bucket] : buckets) {
    if (report.rows.empty() || report.rows.back().key != id.key) {
      finish_row();
      report.rows.push_back(MakeRow(catalogue, id.key));
    }
    BurnRow& row = report.rows.back();
    AddPoint(row.points.at(id.ring), bucket);
    const double allowed = AllowedShare(row.objective);
    for (std::size_t i = 0; i < kWindows.size(); ++i) {
      if (kWindows.at(i).ring == id.ring &&
          Overlaps(bucket, kWindows.at(i), report.made_at_s)) {
        AddBucket(bucket, 1, allowed, row.windows.at(i), row_sums.at(i));
        AddBucket(bucket, row.worth, allowed, report.weighted.at(i),
                  all_sums.at(i));
      }
    }
  }
  finish_row();
  for (std::size_t i = 0; i < kWindows.size(); ++i) {
    FinishWindow(kWindows.at(i), all_sums.at(i), report.weighted.at(i));
  }
}

}  // namespace

BurnReport MakeBurnReport(const catalogue::Catalogue& catalogue,
                          const std::vector<BurnSnapshot>& snapshots,
                          const std::vector<std::string>& expected,
                          std::int64_t now_s) {
  BurnReport report;
  report.site = catalogue.site;
  report.made_at_s = now_s;
  std::set<std::string> present;
  std::set<std::string> short_history;
  std::map<std::string, std::uint64_t> dropped;
  for (const BurnSnapshot& snapshot : snapshots) {
    present.insert(snapshot.daemon_name);
    dropped[snapshot.daemon_id] =
        std::max(dropped[snapshot.daemon_id], snapshot.dropped);
    if (snapshot.since_s == 0 ||
        snapshot.since_s > now_s - kWindows.back().length_s) {
      short_history.insert(snapshot.daemon_name);
    }
  }
  report.daemons.assign(present.begin(), present.end());
  report.short_history.assign(short_history.begin(), short_history.end());
  for (const std::string& name : std::set(expected.begin(), expected.end())) {
    if (!present.contains(name)) {
      report.missing.push_back(name);
    }
  }
  for (const auto& [id, count] : dropped) {
    report.dropped += count;
  }
  FillRows(catalogue, MergeSnapshots(snapshots), report);
  return report;
}

}  // namespace eelgrassbridge::report
