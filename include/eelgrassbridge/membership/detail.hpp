// Steps of the membership core that several of its sources share. Not public.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_DETAIL_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_DETAIL_HPP

#include <vector>

#include "eelgrassbridge/membership/membership_actions.hpp"
#include "eelgrassbridge/membership/membership_state.hpp"

namespace eelgrassbridge::membership::detail {

/// @brief Takes in a record if it is newer than the one known.
void AbsorbMember(MembershipState& state,
                  base::TimePoint now,
                  const Member& member,
                  base::DaemonId from,
                  Actions& actions);

/// @brief Puts a change at the end of the log.
void LogChange(MembershipState& state,
               base::TimePoint now,
               ChangeKey key,
               base::DaemonId from);

/// @brief Raises the version of this daemon's own record and spreads it.
void PublishSelf(MembershipState& state, base::TimePoint now, Actions& actions);

/// @brief Begins or ends watching one member of another data centre.
void UpdateWatch(MembershipState& state,
                 base::TimePoint now,
                 const Member& member);

/// @brief Works out partners and watched members after a change.
void RefreshPeers(MembershipState& state, base::TimePoint now);

/// @brief Pings one more member until it answers or is lost.
void BeginProbe(MembershipState& state, base::TimePoint now, base::DaemonId id);

/// @brief Ends probes of members that are no longer alive and begins the next
/// one when it is due.
void TickProbes(MembershipState& state, base::TimePoint now);

/// @brief Members chosen at random that are asked to ping a suspect.
std::vector<base::DaemonId> ChooseHelpers(MembershipState& state,
                                          base::DaemonId suspect);

void TickGossip(MembershipState& state, base::TimePoint now, Actions& actions);
void TickLiveness(MembershipState& state,
                  base::TimePoint now,
                  Actions& actions);

}  // namespace eelgrassbridge::membership::detail

#endif  // EELGRASSBRIDGE_MEMBERSHIP_DETAIL_HPP
