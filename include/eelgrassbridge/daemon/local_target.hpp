// The local target: admission control, sending of requests and detection of
// restarts.
//
// All requests to the target pass through here, so its limits are exact without
// coordination with other daemons.
#ifndef EELGRASSBRIDGE_DAEMON_LOCAL_TARGET_HPP
#define EELGRASSBRIDGE_DAEMON_LOCAL_TARGET_HPP

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/daemon/caller_request.hpp"
#include "eelgrassbridge/daemon/group_gate.hpp"
#include "eelgrassbridge/daemon/http_exchange.hpp"
#include "eelgrassbridge/limits/target_limiter.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// @brief A worker waiting for a slot. Guarded by LocalTarget::mutex.
struct SlotWaiter {
  std::condition_variable dispatched;
  std::optional<limits::Dispatch> dispatch;
  bool is_cancelled = false;
};

struct LocalTarget {
  explicit LocalTarget(const settings::TargetSettings& target_settings);

  settings::TargetSettings settings;
  ConnectionPool connections;

  std::mutex mutex;
  /// Guarded by mutex.
  limits::TargetLimiter limiter;
  /// Guarded by mutex. The values point to the stacks of the waiting workers,
  /// which remove their entries before they return.
  std::unordered_map<limits::Ticket, SlotWaiter*> waiters;
  /// Guarded by mutex. Last instance id that the target reported; empty before
  /// the first poll.
  std::string instance_id;
  /// Guarded by mutex. A request failed with kTargetLost and the target has not
  /// reported its instance id since, so instance_id may be that of a process
  /// that has ended.
  bool is_instance_uncertain = false;
  /// Requests that the target is running, reported to other daemons in
  /// Eelgrassbridge-In-Flight.
  std::atomic<std::uint32_t> in_flight = 0;
};

/// @brief How a request is run on the target.
struct RunOptions {
  /// Null for services that are not divided by key.
  GroupGate* gate = nullptr;
  base::Duration run_limit = base::seconds{1};
  base::TimePoint deadline;
  catalogue::PriorityClass priority = catalogue::PriorityClass::kNormal;
  /// Lets another thread cancel the wait for a slot and the run; may be null.
  Interrupt* interrupt = nullptr;
};

/// @brief Waits for a slot, sends the request to the target and returns its
/// answer. A failure before the request is sent has the outcome "not run".
CallerAnswer RunOnTarget(LocalTarget& target,
                         const CallerRequest& request,
                         const RunOptions& options);

/// @brief Records the instance id that the target reports. A changed id
/// restarts the cold-start ramp. Returns whether it replaced another id.
bool RecordTargetInstance(LocalTarget& target, std::string_view instance_id);

/// @brief Requests the instance id from the target.
base::Result<std::string> FetchTargetInstance(LocalTarget& target);

/// @brief Returns the last recorded instance id, or fetches it if the recorded
/// one is uncertain. Fails if the target does not answer.
base::Result<std::string> CurrentTargetInstance(LocalTarget& target);

/// @brief Marks the recorded instance id as uncertain until the target reports
/// one again.
void MarkTargetInstanceUncertain(LocalTarget& target);

/// @brief Stops admission. Waiting requests are refused as not run.
void StopAdmission(LocalTarget& target);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_LOCAL_TARGET_HPP
