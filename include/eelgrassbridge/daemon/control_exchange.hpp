// What the request path tells other daemons through control, and hears from
// them: demand of client accounts, suspect requests, load of groups and keys.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_EXCHANGE_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_EXCHANGE_HPP

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Once a second: publishes own demand and suspects, measures the load
/// of the owned groups and their busiest keys, and publishes its sum.
void TickExchange(ControlState& state, base::TimePoint now);

/// @brief A member came, changed or went: shares of limits change.
void NoteFleetChange(ControlState& state,
                     base::TimePoint now,
                     const membership::Member& member);

/// @brief Items of other daemons.
void TakeDemand(ControlState& state,
                base::TimePoint now,
                const membership::GossipItem& item);
void TakeLoadItem(ControlState& state, const membership::GossipItem& item);
void TakeSuspects(ControlState& state,
                  base::TimePoint now,
                  const membership::GossipItem& item);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_EXCHANGE_HPP
