// Internal functions shared by the sources of membership. Not part of the
// public interface.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_DETAIL_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_DETAIL_HPP

#include <vector>

#include "eelgrassbridge/membership/membership_actions.hpp"
#include "eelgrassbridge/membership/membership_state.hpp"

namespace eelgrassbridge::membership::detail {

/// @brief Stores a record if it is newer than the known one. A report that this
/// daemon itself is lost or left is refuted with a higher version.
void MergeMember(MembershipState& state,
                 base::TimePoint now,
                 const Member& member,
                 base::DaemonId from,
                 Actions& actions);

/// @brief Moves the entry of `key` to the end of the change log, or adds one.
void LogChange(MembershipState& state,
               base::TimePoint now,
               ChangeKey key,
               base::DaemonId from);

/// @brief Stores this daemon's own record as changed, so that it is gossiped
/// and announced. The caller has set its version.
void PublishSelf(MembershipState& state, base::TimePoint now, Actions& actions);

/// @brief Starts or stops watching one member of another data centre.
void UpdateWatch(MembershipState& state,
                 base::TimePoint now,
                 const Member& member);

/// @brief Recomputes gossip partners and watched members after a change of
/// members.
void RefreshPeers(MembershipState& state, base::TimePoint now);

/// @brief Starts a probe: pings the member until it answers or is lost. Does
/// nothing if it is already pinged or too many probes are running.
void StartProbe(MembershipState& state, base::TimePoint now, base::DaemonId id);

/// @brief Ends probes of members that are no longer alive or are watched now,
/// and starts the next random probe when it is due.
void TickProbes(MembershipState& state, base::TimePoint now);

/// @brief Returns randomly chosen members to be asked to ping a suspect; may be
/// fewer than configured.
std::vector<base::DaemonId> ChooseHelpers(MembershipState& state,
                                          base::DaemonId suspect);

void TickGossip(MembershipState& state, base::TimePoint now, Actions& actions);
void TickLiveness(MembershipState& state,
                  base::TimePoint now,
                  Actions& actions);

}  // namespace eelgrassbridge::membership::detail

#endif  // EELGRASSBRIDGE_MEMBERSHIP_DETAIL_HPP
