// Snapshots of the catalogue and of all group rows, kept in the object store.
//
// Snapshots are used for recovery and to speed up the start of a daemon. They
// may be stale: a row of a snapshot never counts as a read of the table, so it
// never authorizes a daemon to serve, promise or take over a group.
#ifndef EELGRASSBRIDGE_STORE_TABLE_SNAPSHOT_HPP
#define EELGRASSBRIDGE_STORE_TABLE_SNAPSHOT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/store/store.hpp"

namespace eelgrassbridge::store {

struct TableSnapshot {
  /// Revision of the table, from which ReadChanges misses nothing.
  std::uint64_t revision = 0;
  std::vector<Row> rows;
  std::string site = {};
  /// Wall-clock time right before the table was read.
  std::int64_t written_at_ms = 0;
};

/// @brief Reads the rows with the prefixes catalogue/ and group/.
base::Result<TableSnapshot> TakeTableSnapshot(Store& store);

/// @brief Serializes a snapshot: a line with the format version and the length
/// and XXH3 hash of the body, then the body, which is a line with time and site
/// and the rows as the table service's JSON.
std::string EncodeSnapshot(const TableSnapshot& snapshot);

/// @brief Parses a serialized snapshot. Fails with kSnapshotInvalid if it is
/// truncated, corrupt, of another format version, or contains rows with other
/// prefixes.
base::Result<TableSnapshot> DecodeSnapshot(std::string_view text);

/// @brief Fails with kSnapshotInvalid for a snapshot that is of another site,
/// older than `max_age`, or written more than a minute after `now_ms`, the wall
/// clock of this VM.
base::Result<void> CheckSnapshot(const TableSnapshot& snapshot,
                                 std::string_view site,
                                 std::int64_t now_ms,
                                 base::Duration max_age);

base::Result<void> SaveSnapshot(Store& store,
                                std::string_view name,
                                const TableSnapshot& snapshot);
base::Result<TableSnapshot> LoadSnapshot(Store& store, std::string_view name);

}  // namespace eelgrassbridge::store

#endif  // EELGRASSBRIDGE_STORE_TABLE_SNAPSHOT_HPP
