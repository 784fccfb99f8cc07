// Questions to the membership state; none changes it.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_QUERIES_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_QUERIES_HPP

#include <optional>
#include <string_view>
#include <vector>

#include "eelgrassbridge/membership/membership_state.hpp"

namespace eelgrassbridge::membership {

/// @brief The record, or null.
const Member* FindMember(const MembershipState& state, base::DaemonId id);

/// @brief Number of members alive, this daemon included.
std::size_t AliveCount(const MembershipState& state);

/// @brief The daemons that watch `watched`, by rendezvous score: two of its
/// data centre and one outside, as far as there are any.
std::vector<base::DaemonId> Watchers(const MembershipState& state,
                                     base::DaemonId watched);

/// @brief Relay of a data centre: its alive member with the lowest id.
base::DaemonId DataCentreRelay(const MembershipState& state,
                               std::string_view data_centre);

/// @brief Relay of a region: its alive member with the lowest id.
base::DaemonId RegionRelay(const MembershipState& state,
                           std::string_view region);

/// @brief Relays that this daemon exchanges with; empty if it is no relay.
std::vector<base::DaemonId> RelayPeers(const MembershipState& state);

/// @brief Whether this daemon may take part: it joined, and no older daemon
/// uses its name.
bool MayServe(const MembershipState& state);

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_QUERIES_HPP
