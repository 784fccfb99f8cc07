// Read-only queries of the membership state: members, watchers and relays.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_QUERIES_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_QUERIES_HPP

#include <optional>
#include <string_view>
#include <vector>

#include "eelgrassbridge/membership/membership_state.hpp"

namespace eelgrassbridge::membership {

/// @brief Returns the record of a member, or null if it is unknown.
const Member* FindMember(const MembershipState& state, base::DaemonId id);

/// @brief Returns the number of alive members, including this daemon.
std::size_t AliveCount(const MembershipState& state);

/// @brief Returns the daemons that watch `watched`, chosen by rendezvous score:
/// by default two in its data centre and one outside, or fewer if there are not
/// enough members.
std::vector<base::DaemonId> Watchers(const MembershipState& state,
                                     base::DaemonId watched);

/// @brief Returns the relay of a data centre, i.e. its alive member with the
/// lowest id, or an unset id if no member is alive.
base::DaemonId DataCentreRelay(const MembershipState& state,
                               std::string_view data_centre);

/// @brief Returns the relay of a region, i.e. its alive member with the lowest
/// id, or an unset id if no member is alive.
base::DaemonId RegionRelay(const MembershipState& state,
                           std::string_view region);

/// @brief Returns the relays with which this daemon gossips: those of its
/// region and, for the region's relay, one of each other region. Empty if this
/// daemon is not a relay.
std::vector<base::DaemonId> RelayPeers(const MembershipState& state);

/// @brief Returns whether this daemon may serve: it has joined, and no older
/// alive daemon uses its name.
bool MayServe(const MembershipState& state);

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_QUERIES_HPP
