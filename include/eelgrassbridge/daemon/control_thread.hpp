// The control thread and the threads that serve it.
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

/// @brief A running control thread with its rings. `state` belongs to the
/// thread while it runs.
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
  /// For reading the history on behalf of operators, one at a time.
  std::mutex history_mutex;
  store::Store history_store;
  std::unique_ptr<wire::PeerBus> peers;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

/// @brief Starts all threads of control. The settings, the catalogue and the
/// context must outlive the result. `initial_catalogue` is written where the
/// store holds no catalogue yet; without services it is ignored.
base::Result<std::unique_ptr<Control>> StartControl(
    const settings::Settings& settings,
    const catalogue::Catalogue& initial_catalogue,
    RequestContext& context);

/// @brief Begins a planned stop: the state becomes draining and the groups are
/// moved away.
void BeginControlDrain(Control& control);

/// @brief Waits until the groups are moved, or for the drain timeout of the
/// settings. Returns whether they were moved or nobody could take them.
bool WaitForControlDrain(Control& control);

/// @brief Leaves the fleet and stops all threads.
void StopControl(Control& control);

/// @brief Hooks of the operators' endpoints, except read_burn.
AdminHooks MakeAdminHooks(Control& control);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_THREAD_HPP
