// The thread "snapshot", which writes and loads the snapshot object with
// blocking calls on a connection of its own, so that neither the reader nor the
// writer of the table waits for it.
#ifndef EELGRASSBRIDGE_DAEMON_SNAPSHOT_THREAD_HPP
#define EELGRASSBRIDGE_DAEMON_SNAPSHOT_THREAD_HPP

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include "eelgrassbridge/base/ring.hpp"
#include "eelgrassbridge/base/wake_event.hpp"
#include "eelgrassbridge/store/table_snapshot.hpp"

namespace eelgrassbridge::daemon {

/// @brief Reads the table and replaces the object.
struct SaveSnapshotRequest {
  std::string site;
};

struct LoadSnapshotRequest {
  std::string site;
  base::Duration max_age{};
};

using SnapshotRequest = std::variant<SaveSnapshotRequest, LoadSnapshotRequest>;

struct SnapshotSaved {
  /// Revision of what was written; none: a call failed.
  std::optional<std::uint64_t> revision;
};

struct SnapshotLoaded {
  std::optional<store::TableSnapshot> snapshot;
  /// The object was read and is not to be used.
  bool is_refused = false;
};

using SnapshotResult = std::variant<SnapshotSaved, SnapshotLoaded>;

struct SnapshotThread {
  /// Control has one request open at a time.
  static constexpr std::size_t kRingCapacity = 4;

  explicit SnapshotThread(base::WakeEvent& control_wake);
  ~SnapshotThread();
  SnapshotThread(const SnapshotThread&) = delete;
  SnapshotThread& operator=(const SnapshotThread&) = delete;

  /// Set before the start.
  store::Store store;
  base::WakeEvent& wake_control;
  base::Ring<SnapshotRequest> requests{kRingCapacity};
  base::Ring<SnapshotResult> results{kRingCapacity};
  base::WakeEvent wake;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

/// @brief Carries out one request with blocking calls.
SnapshotResult RunSnapshot(store::Store& store, const SnapshotRequest& request);

void StartSnapshotThread(SnapshotThread& thread);

/// @brief Ends the thread after the request that it has under way.
void StopSnapshotThread(SnapshotThread& thread);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_SNAPSHOT_THREAD_HPP
