// The counts of one daemon at one moment, as sent to operators.
#ifndef EELGRASSBRIDGE_REPORT_BURN_SNAPSHOT_HPP
#define EELGRASSBRIDGE_REPORT_BURN_SNAPSHOT_HPP

#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/report/burn_recorder.hpp"

namespace eelgrassbridge::report {

/// @brief Buckets of one key, one list for each ring shape.
struct BurnSeries {
  BurnKey key;
  std::array<std::vector<BurnBucket>, kRingShapes.size()> rings;

  bool operator==(const BurnSeries&) const = default;
};

struct BurnSnapshot {
  /// Incarnation of the daemon; counts of a restarted daemon are other counts.
  std::string daemon_id;
  std::string daemon_name;
  std::int64_t taken_at_s = 0;
  /// Begin of the counts; they are lost when a daemon ends.
  std::int64_t since_s = 0;
  std::uint64_t dropped = 0;
  std::vector<BurnSeries> series;

  bool operator==(const BurnSnapshot&) const = default;
};

/// @brief Copies what a recorder holds.
BurnSnapshot TakeSnapshot(const BurnRecorder& recorder,
                          std::string_view daemon_id,
                          std::string_view daemon_name,
                          std::int64_t now_s);

std::string WriteSnapshotJson(const BurnSnapshot& snapshot);

/// @brief Bounded reading; buckets beyond the ring's count or off its grid
/// make the text invalid.
base::Result<BurnSnapshot> ReadSnapshotJson(std::string_view text);

}  // namespace eelgrassbridge::report

#endif  // EELGRASSBRIDGE_REPORT_BURN_SNAPSHOT_HPP
