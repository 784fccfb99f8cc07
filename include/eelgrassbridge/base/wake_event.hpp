// Wakes a thread that waits for its rings.
#ifndef EELGRASSBRIDGE_BASE_WAKE_EVENT_HPP
#define EELGRASSBRIDGE_BASE_WAKE_EVENT_HPP

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::base {

/// @brief An event descriptor: any thread may signal it, one thread waits.
///
/// Invariant: signals before a wait are not lost; several count as one.
struct WakeEvent {
  WakeEvent();
  ~WakeEvent();
  WakeEvent(const WakeEvent&) = delete;
  WakeEvent& operator=(const WakeEvent&) = delete;

  /// Descriptor that becomes readable, for a poll with sockets.
  int descriptor = -1;
};

/// @brief Ends the present or the next wait. Never blocks.
void Signal(WakeEvent& event);

/// @brief Forgets the signals so far.
void Clear(WakeEvent& event);

/// @brief Waits for a signal, at most for that time, and clears it.
void WaitFor(WakeEvent& event, Duration longest);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_WAKE_EVENT_HPP
