// Events that change the membership state of one daemon.
//
// Messages must come from authenticated daemons and pass the check of the
// sender's sequence before they are given to these functions.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_COMMANDS_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_COMMANDS_HPP

#include <cstdint>
#include <span>

#include "eelgrassbridge/membership/membership_actions.hpp"
#include "eelgrassbridge/membership/membership_options.hpp"
#include "eelgrassbridge/membership/membership_state.hpp"

namespace eelgrassbridge::membership {

/// @brief State of a daemon at its start; `self.state` is kJoining.
MembershipState MakeMembershipState(Member self,
                                    MembershipOptions options,
                                    base::TimePoint now);

/// @brief Joins, pings, gossips, announces. To be called every 50 ms.
void OnTick(MembershipState& state, base::TimePoint now, Actions& actions);

void OnGossip(MembershipState& state,
              base::TimePoint now,
              const SendGossip& message,
              base::DaemonId from,
              Actions& actions);
void OnGossipAck(MembershipState& state,
                 base::DaemonId from,
                 std::uint64_t sequence);

void OnPing(MembershipState& state,
            base::TimePoint now,
            base::DaemonId from,
            base::TimePoint sent_at,
            Actions& actions);
void OnPong(MembershipState& state,
            base::TimePoint now,
            base::DaemonId from,
            base::TimePoint echoed_sent_at);

/// @brief Any authenticated message shows that its sender runs; no ping is sent
/// to a member that was heard from within the ping interval.
void OnHeard(MembershipState& state, base::TimePoint now, base::DaemonId from);

/// @brief Report of an observer: a watcher, or a deputy without requests from
/// its owner (see ReportSuspicion).
void OnSuspicion(MembershipState& state,
                 base::TimePoint now,
                 base::DaemonId observer,
                 base::DaemonId suspect,
                 std::uint64_t record_version,
                 Actions& actions);

/// @brief This daemon observed another's silence by other means than a ping,
/// e.g. as deputy; counts as one observer and is told to the watchers.
void ReportSuspicion(MembershipState& state,
                     base::TimePoint now,
                     base::DaemonId suspect,
                     Actions& actions);

void OnJoinRequest(MembershipState& state,
                   base::TimePoint now,
                   const Member& joining,
                   Actions& actions);
void OnJoinReply(MembershipState& state,
                 base::TimePoint now,
                 const SendJoinReply& message,
                 Actions& actions);

/// @brief Member records read from the table, at the start or as the fallback.
void OnTableMembers(MembershipState& state,
                    base::TimePoint now,
                    std::span<const Member> members,
                    Actions& actions);

/// @brief The announcement of these records was confirmed by the table.
void OnAnnounced(MembershipState& state, std::span<const base::DaemonId> ids);

/// @brief Changes the published state of this daemon.
void SetSelfState(MembershipState& state,
                  base::TimePoint now,
                  MemberState new_state,
                  Actions& actions);

/// @brief Puts an item on the channel; an older version changes nothing.
void PublishItem(MembershipState& state, base::TimePoint now, GossipItem item);

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_COMMANDS_HPP
