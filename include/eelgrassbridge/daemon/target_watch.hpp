// The thread "target watch": polls the target beside this daemon and passes
// grants to it.
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
  /// A target without an answer for this time counts as frozen. It is longer
  /// than one slow answer, since each freeze moves groups.
  base::Duration unresponsive_timeout = base::seconds{1};
  /// A frozen target must answer for this time before it counts as usable
  /// again; hysteresis against moving groups back and forth.
  base::Duration recovery_time = base::seconds{2};
};

/// @brief What a poll showed.
struct TargetPoll {
  bool answered = false;
  /// The target announced that it is leaving.
  bool draining = false;
  bool new_instance = false;
};

/// @brief Verdict on the target over several polls.
struct TargetHealth {
  bool usable = false;
  std::optional<base::TimePoint> answering_since;
  base::TimePoint last_answer{};
  bool has_answered = false;
};

/// @brief Takes a poll into account. Returns whether `usable` changed.
bool UpdateHealth(TargetHealth& health,
                  const TargetPoll& poll,
                  const TargetWatchOptions& options,
                  base::TimePoint now);

/// @brief A change that control should know of.
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
  /// Grants that the target should be told.
  base::Ring<ownership::GroupEpoch> grants{kRingCapacity};
  base::WakeEvent wake;
  std::atomic<bool> stopping = false;
  /// Below here: owned by the thread.
  TargetHealth health;
  /// Grants that were not confirmed yet, oldest first.
  std::deque<ownership::GroupEpoch> unconfirmed_grants;
  std::thread thread;
};

void StartTargetWatch(TargetWatch& watch);
void StopTargetWatch(TargetWatch& watch);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_TARGET_WATCH_HPP
