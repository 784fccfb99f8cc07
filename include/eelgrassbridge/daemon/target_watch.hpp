// The target-watch thread: polls the health of the local target and sends
// ownership grants to it.
#ifndef EELGRASSBRIDGE_DAEMON_TARGET_WATCH_HPP
#define EELGRASSBRIDGE_DAEMON_TARGET_WATCH_HPP

#include <atomic>
#include <cstdint>
#include <deque>
#include <optional>
#include <thread>

#include "eelgrassbridge/base/ring.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/base/wake_event.hpp"
#include "eelgrassbridge/daemon/local_target.hpp"
#include "eelgrassbridge/ownership/ownership_actions.hpp"

namespace eelgrassbridge::daemon {

struct TargetWatchOptions {
  base::Duration poll_interval = base::milliseconds{200};
  /// A target that has not answered for this time is unresponsive. The timeout
  /// exceeds one slow answer, since groups are moved away from an unresponsive
  /// target.
  base::Duration unresponsive_timeout = base::seconds{1};
  /// An unresponsive target must answer for this time before it is usable
  /// again. The hysteresis avoids moving groups back and forth.
  base::Duration recovery_time = base::seconds{2};
};

/// @brief The result of one poll.
struct TargetPoll {
  bool answered = false;
  /// The target announced that it is leaving.
  bool draining = false;
  bool new_instance = false;
};

/// @brief Health of the target, derived from successive polls.
struct TargetHealth {
  bool usable = false;
  std::optional<base::TimePoint> answering_since;
  base::TimePoint last_answer{};
  bool has_answered = false;
};

/// @brief Updates the health from a poll. Returns whether `usable` changed.
bool UpdateHealth(TargetHealth& health,
                  const TargetPoll& poll,
                  const TargetWatchOptions& options,
                  base::TimePoint now);

/// @brief A change that is reported to the control thread.
struct TargetEvent {
  bool usable = false;
  bool new_instance = false;
};

struct TargetWatch {
  static constexpr std::size_t kRingCapacity = 1024;

  TargetWatch(LocalTarget& local_target,
              base::WakeEvent& control_wake,
              TargetWatchOptions watch_options = {});
  ~TargetWatch();
  TargetWatch(const TargetWatch&) = delete;
  TargetWatch& operator=(const TargetWatch&) = delete;

  LocalTarget& target;
  base::WakeEvent& wake_control;
  TargetWatchOptions options;
  base::Ring<TargetEvent> events{kRingCapacity};
  /// Grants to be sent to the target.
  base::Ring<ownership::GroupEpoch> grants{kRingCapacity};
  base::WakeEvent wake;
  std::atomic<bool> stopping = false;
  /// The members below are accessed by the watch thread only.
  TargetHealth health;
  /// Grants that the target has not confirmed yet, oldest first.
  std::deque<ownership::GroupEpoch> unconfirmed_grants;
  std::thread thread;
};

void StartTargetWatch(TargetWatch& watch);
void StopTargetWatch(TargetWatch& watch);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_TARGET_WATCH_HPP
