// Figures of membership; docs/design.md section 4.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::membership {

struct MembershipOptions {
  base::Duration gossip_interval = base::milliseconds{1000};
  base::Duration ping_interval = base::milliseconds{500};
  base::Duration suspicion_timeout = base::milliseconds{1200};
  /// How long one observer's suspicion counts if it is not repeated.
  base::Duration suspicion_lifetime = base::milliseconds{3000};
  std::uint32_t gossip_fanout = 2;
  /// Items in one gossip message, in bytes.
  std::size_t gossip_bytes = 1024;
  /// Members in one message of a join reply, in bytes.
  std::size_t join_bytes = 65536;
  std::uint32_t watchers_inside = 2;
  std::uint32_t watchers_outside = 1;
  /// Each daemon also pings one member of its region this often, chosen at
  /// random. A lost member whose watchers are lost too is found only that way.
  base::Duration probe_interval = base::milliseconds{1000};
  /// Members other than the watchers that an observer asks to ping its suspect,
  /// so that there is a second observer if all watchers are lost.
  std::uint32_t helpers_in_region = 2;
  std::uint32_t helpers_anywhere = 1;
  /// Repeat of an unanswered join request.
  base::Duration join_interval = base::milliseconds{1000};
  /// How long the relay collects announcements before it writes them.
  base::Duration announce_interval = base::milliseconds{1000};
  std::uint32_t announce_batch = 64;
  /// How long a daemon that is no relay remembers what may not be announced.
  base::Duration announce_memory = base::seconds{30};
  /// How far back a new gossip partner is told changes; older ones came with
  /// its full list.
  base::Duration new_partner_window = base::seconds{60};
  /// Records of lost and left members, and items, are dropped after this time.
  /// Longer than any plausible delay of a message, so that an old record cannot
  /// revive one, and than the partitions after which deltas must suffice.
  base::Duration forget_after = base::seconds{3600};
  /// Peer addresses asked at the start.
  std::vector<std::string> seeds;
};

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP
