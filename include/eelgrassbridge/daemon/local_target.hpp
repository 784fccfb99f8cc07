// The target beside this daemon: admission, hand-over and reading its answer.
//
// All traffic to the target passes here, so its limits are exact without
// coordination.
#ifndef EELGRASSBRIDGE_DAEMON_LOCAL_TARGET_HPP
#define EELGRASSBRIDGE_DAEMON_LOCAL_TARGET_HPP

#include <condition_variable>
#include <cstdint>
#include <mutex>

#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/daemon/caller_request.hpp"
#include "eelgrassbridge/daemon/group_gate.hpp"
#include "eelgrassbridge/daemon/http_exchange.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

struct LocalTarget {
  explicit LocalTarget(const settings::TargetSettings& target_settings);

  settings::TargetSettings settings;
  ConnectionPool connections;

  std::mutex mutex;
  std::condition_variable slot_freed;
  /// Guarded by mutex. Never above settings.slots.
  std::uint32_t in_flight = 0;
  /// Guarded by mutex. Requests waiting for a slot.
  std::uint32_t waiting = 0;
};

/// @brief How a request is run on the target.
struct RunOptions {
  /// Null for services that are not divided by key.
  GroupGate* gate = nullptr;
  base::Duration run_limit = base::seconds{1};
  base::TimePoint deadline;
};

/// @brief Waits for a slot, hands the request over and reads the whole answer.
/// Before the hand-over each failure is proved not run.
CallerAnswer RunOnTarget(LocalTarget& target,
                         const CallerRequest& request,
                         const RunOptions& options);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_LOCAL_TARGET_HPP
