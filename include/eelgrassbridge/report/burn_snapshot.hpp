// Snapshot of the counts of one daemon, and its JSON format.
#ifndef EELGRASSBRIDGE_REPORT_BURN_SNAPSHOT_HPP
#define EELGRASSBRIDGE_REPORT_BURN_SNAPSHOT_HPP

#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/report/burn_recorder.hpp"

namespace eelgrassbridge::report {

/// @brief Buckets of one key, per ring shape.
struct BurnSeries {
  BurnKey key;
  std::array<std::vector<BurnBucket>, kRingShapes.size()> rings;

  bool operator==(const BurnSeries&) const = default;
};

struct BurnSnapshot {
  /// Id of the daemon's run. A restarted daemon has a new id and starts to
  /// count from zero.
  std::string daemon_id;
  std::string daemon_name;
  std::int64_t taken_at_s = 0;
  /// Unix time in seconds at which the counts start; they are lost when the
  /// daemon stops.
  std::int64_t since_s = 0;
  std::uint64_t dropped = 0;
  std::vector<BurnSeries> series;

  bool operator==(const BurnSnapshot&) const = default;
};

/// @brief Returns a copy of a recorder's counts.
BurnSnapshot TakeSnapshot(const BurnRecorder& recorder,
                          std::string_view daemon_id,
                          std::string_view daemon_name,
                          std::int64_t now_s);

std::string WriteSnapshotJson(const BurnSnapshot& snapshot);

/// @brief Parses a snapshot. Fails with kSnapshotInvalid if the text is too
/// long or malformed, a ring has too many buckets, or the buckets have an
/// impossible start, order or count.
base::Result<BurnSnapshot> ReadSnapshotJson(std::string_view text);

}  // namespace eelgrassbridge::report

#endif  // EELGRASSBRIDGE_REPORT_BURN_SNAPSHOT_HPP
