// Event handlers of the control thread. Each updates the state and appends the
// resulting messages and requests to the output queues. No handler blocks.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_EVENTS_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_EVENTS_HPP

#include "eelgrassbridge/daemon/control_commands.hpp"
#include "eelgrassbridge/daemon/control_state.hpp"
#include "eelgrassbridge/daemon/target_watch.hpp"

namespace eelgrassbridge::daemon {

/// @brief Runs the periodic work; called every 50 ms.
void OnControlTick(ControlState& state, base::TimePoint now);

void OnPeerMessage(ControlState& state,
                   base::TimePoint now,
                   wire::IncomingMessage incoming);

void OnReadResult(ControlState& state,
                  base::TimePoint now,
                  const StoreReadResult& result);

void OnWriteResult(ControlState& state,
                   base::TimePoint now,
                   StoreWriteResult result);

void OnTargetEvent(ControlState& state,
                   base::TimePoint now,
                   const TargetEvent& event);

void OnCommand(ControlState& state,
               base::TimePoint now,
               ControlCommand command);

/// @brief Reports drained groups to the ownership core, updates the member
/// state of this daemon, and publishes the routing view if it changed. Called
/// after each round of events.
void FinishRound(ControlState& state, base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_EVENTS_HPP
