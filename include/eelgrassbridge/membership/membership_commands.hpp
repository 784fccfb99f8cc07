// Events that change the membership state of one daemon. Each function appends
// the resulting messages and notifications to `actions`.
//
// Messages must be authenticated and pass the check of the sender's sequence
// number (replay protection) before they are passed to these functions.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_COMMANDS_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_COMMANDS_HPP

#include <cstdint>
#include <span>

#include "eelgrassbridge/membership/membership_actions.hpp"
#include "eelgrassbridge/membership/membership_options.hpp"
#include "eelgrassbridge/membership/membership_state.hpp"

namespace eelgrassbridge::membership {

/// @brief Returns the state of a daemon at its start; `self.state` must be
/// kJoining.
MembershipState MakeMembershipState(Member self,
                                    MembershipOptions options,
                                    base::TimePoint now);

/// @brief Runs all periodic work: joining, pings, gossip and announcements.
/// To be called every 50 ms.
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

/// @brief Records that an authenticated message arrived from a daemon, which
/// shows that it is running. A member that sent a message within the ping
/// interval is not pinged.
void OnMessageReceived(MembershipState& state,
                       base::TimePoint now,
                       base::DaemonId from);

/// @brief Handles the report of an observer: a watcher, or a deputy that gets
/// no more requests from its owner (see ReportSuspicion).
void OnSuspicion(MembershipState& state,
                 base::TimePoint now,
                 base::DaemonId observer,
                 base::DaemonId suspect,
                 std::uint64_t record_version,
                 Actions& actions);

/// @brief Reports that another daemon stopped responding, noticed by other
/// means than a ping, e.g. as its deputy. Counts as one observer and is sent to
/// the watchers of the suspect.
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

/// @brief Merges member records read from the table, at the start or as a
/// fallback for gossip.
void OnTableMembers(MembershipState& state,
                    base::TimePoint now,
                    std::span<const Member> members,
                    Actions& actions);

/// @brief Records that the table confirmed the announcement of these members.
void OnAnnounced(MembershipState& state, std::span<const base::DaemonId> ids);

/// @brief Changes the published state of this daemon.
void SetSelfState(MembershipState& state,
                  base::TimePoint now,
                  MemberState new_state,
                  Actions& actions);

/// @brief Spreads an item by gossip. Ignored unless its version is higher than
/// the known one.
void PublishItem(MembershipState& state, base::TimePoint now, GossipItem item);

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_COMMANDS_HPP
