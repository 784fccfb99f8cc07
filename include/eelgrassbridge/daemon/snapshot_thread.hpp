// The thread "snapshot" writes and loads the snapshot object with blocking
// calls on its own store connection, so that neither the store reader nor the
// store writer waits for it.
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

/// @brief Reads the table and replaces the site's snapshot object.
struct SaveSnapshotRequest {
  std::string site;
};

struct LoadSnapshotRequest {
  std::string site;
  base::Duration max_age{};
};

using SnapshotRequest = std::variant<SaveSnapshotRequest, LoadSnapshotRequest>;

struct SnapshotSaved {
  /// Revision of the snapshot written; nullopt if a call failed.
  std::optional<std::uint64_t> revision;
};

struct SnapshotLoaded {
  std::optional<store::TableSnapshot> snapshot;
  /// The object was read but is invalid, too old or of another site.
  bool is_refused = false;
};

using SnapshotResult = std::variant<SnapshotSaved, SnapshotLoaded>;

struct SnapshotThread {
  /// The control thread has at most one request pending.
  static constexpr std::size_t kRingCapacity = 4;

  explicit SnapshotThread(base::WakeEvent& control_wake);
  ~SnapshotThread();
  SnapshotThread(const SnapshotThread&) = delete;
  SnapshotThread& operator=(const SnapshotThread&) = delete;

  /// Must be set before StartSnapshotThread.
  store::Store store;
  base::WakeEvent& wake_control;
  base::Ring<SnapshotRequest> requests{kRingCapacity};
  base::Ring<SnapshotResult> results{kRingCapacity};
  base::WakeEvent wake;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

/// @brief Executes one request with blocking calls.
SnapshotResult RunSnapshotRequest(store::Store& store,
                                  const SnapshotRequest& request);

void StartSnapshotThread(SnapshotThread& thread);

/// @brief Stops the thread after its current request.
void StopSnapshotThread(SnapshotThread& thread);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_SNAPSHOT_THREAD_HPP
