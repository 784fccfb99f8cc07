// The control thread and its helper threads for the table, the snapshot, the
// target and the peer bus.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_THREAD_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_THREAD_HPP

#include <atomic>
#include <memory>
#include <thread>

#include "eelgrassbridge/base/ring.hpp"
#include "eelgrassbridge/base/wake_event.hpp"
#include "eelgrassbridge/daemon/admin_handler.hpp"
#include "eelgrassbridge/daemon/control_commands.hpp"
#include "eelgrassbridge/daemon/control_state.hpp"
#include "eelgrassbridge/daemon/store_thread.hpp"
#include "eelgrassbridge/daemon/target_watch.hpp"
#include "eelgrassbridge/wire/peer_bus.hpp"

namespace eelgrassbridge::daemon {

/// @brief A running control thread with its ring buffers. While the thread
/// runs, only it may access `state`.
struct Control {
  static constexpr std::size_t kCommandCapacity = 256;
  static constexpr base::Duration kTickInterval = base::milliseconds{50};

  Control(const settings::Settings& settings,
          const catalogue::Catalogue& initial_catalogue,
          RequestContext& context,
          store::Store read_store,
          store::Store write_store);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  base::WakeEvent wake;
  base::Ring<ControlCommand> commands{kCommandCapacity};
  ControlState state;
  StoreThreads store;
  SnapshotThread snapshot;
  TargetWatch target;
  /// Serializes operators' reads of the history through `history_store`.
  std::mutex history_mutex;
  store::Store history_store;
  std::unique_ptr<wire::PeerBus> peers;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

/// @brief Starts the control thread and its helpers. The settings, the
/// catalogue and the context must outlive the result. `initial_catalogue` is
/// written if the store holds no catalogue yet; it is ignored if it has no
/// services.
base::Result<std::unique_ptr<Control>> StartControl(
    const settings::Settings& settings,
    const catalogue::Catalogue& initial_catalogue,
    RequestContext& context);

/// @brief Begins a planned stop: the state of this daemon becomes draining and
/// its groups are moved to other daemons.
void BeginControlDrain(Control& control);

/// @brief Waits until the groups have been moved or no other daemon can take
/// them; returns false if the drain timeout of the settings passes first.
bool WaitForControlDrain(Control& control);

/// @brief Announces that this daemon leaves the fleet, and stops all threads.
void StopControl(Control& control);

/// @brief Returns the hooks of the admin endpoints, except read_burn.
AdminHooks MakeAdminHooks(Control& control);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_THREAD_HPP
