// The target beside this daemon: admission, hand-over and reading its answer.
//
// All traffic to the target passes here, so its limits are exact without
// coordination.
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

/// @brief A worker that waits for a slot. Guarded by LocalTarget::mutex.
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
  /// Guarded by mutex. Each waiter lives on the stack of its worker and takes
  /// itself out before it returns.
  std::unordered_map<limits::Ticket, SlotWaiter*> waiters;
  /// Guarded by mutex. Instance id as last seen; empty before the first poll.
  std::string instance_id;
  /// Guarded by mutex. An answer was lost and the target has not told its
  /// instance since, so instance_id may be that of a run that has ended.
  bool is_instance_uncertain = false;
  /// Requests on the target now, for answers to other daemons.
  std::atomic<std::uint32_t> in_flight = 0;
};

/// @brief How a request is run on the target.
struct RunOptions {
  /// Null for services that are not divided by key.
  GroupGate* gate = nullptr;
  base::Duration run_limit = base::seconds{1};
  base::TimePoint deadline;
  catalogue::PriorityClass priority = catalogue::PriorityClass::kNormal;
  /// Lets another thread cancel the wait and the run; may be null.
  Interrupt* interrupt = nullptr;
};

/// @brief Waits for a slot, hands the request over and reads the whole answer.
/// Before the hand-over each failure is proved not run.
CallerAnswer RunOnTarget(LocalTarget& target,
                         const CallerRequest& request,
                         const RunOptions& options);

/// @brief Takes note of the instance id that the target reports now; a fresh
/// one restarts the cold-start ramp. Returns whether it was fresh.
bool RecordTargetInstance(LocalTarget& target, std::string_view instance_id);

/// @brief Asks the target for its instance id.
base::Result<std::string> FetchTargetInstance(LocalTarget& target);

/// @brief The instance id of the next run: as last seen, or asked for if that
/// is in doubt. Fails if the target does not answer.
base::Result<std::string> CurrentTargetInstance(LocalTarget& target);

/// @brief An answer was lost and the target did not tell its instance.
void MarkTargetInstanceUncertain(LocalTarget& target);

/// @brief Stops admission; waiting requests are refused as not run.
void StopAdmission(LocalTarget& target);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_LOCAL_TARGET_HPP
