// Wakes a thread that waits for messages in its rings.
#ifndef EELGRASSBRIDGE_BASE_WAKE_EVENT_HPP
#define EELGRASSBRIDGE_BASE_WAKE_EVENT_HPP

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::base {

/// @brief An eventfd: any thread may signal it, one thread waits for it.
///
/// Invariant: a signal sent before a wait is not lost; several signals before
/// one wait count as one.
struct WakeEvent {
  WakeEvent();
  ~WakeEvent();
  WakeEvent(const WakeEvent&) = delete;
  WakeEvent& operator=(const WakeEvent&) = delete;

  /// Readable while a signal is pending; can be polled together with sockets.
  int descriptor = -1;
};

/// @brief Ends the current or the next wait. Never blocks.
void Signal(WakeEvent& event);

/// @brief Discards pending signals.
void Clear(WakeEvent& event);

/// @brief Waits for a signal or until the timeout, and clears the signal.
void WaitFor(WakeEvent& event, Duration timeout);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_WAKE_EVENT_HPP
