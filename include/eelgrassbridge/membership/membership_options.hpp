// Intervals, timeouts and size limits of membership; see docs/design.md,
// section 4.
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
  /// How long an observer's suspicion remains valid if it is not repeated.
  base::Duration suspicion_lifetime = base::milliseconds{3000};
  std::uint32_t gossip_fanout = 2;
  /// Maximum size of the records and items in one gossip message, in bytes. A
  /// single larger change is still sent, alone.
  std::size_t gossip_bytes = 1024;
  /// Maximum size of the members in one message of a join reply, in bytes.
  std::size_t join_bytes = 65536;
  /// Watchers of each member inside and outside its data centre.
  std::uint32_t watchers_in_data_centre = 2;
  std::uint32_t watchers_outside_data_centre = 1;
  /// Interval at which each daemon also pings a random member of its region. A
  /// lost member whose watchers are lost too is detected only in this way.
  base::Duration probe_interval = base::milliseconds{1000};
  /// Random members, in addition to the watchers, that an observer asks to ping
  /// its suspect, so that there is a second observer if all watchers are lost.
  std::uint32_t helpers_in_region = 2;
  std::uint32_t helpers_anywhere = 1;
  /// Retry interval of unanswered join requests.
  base::Duration join_interval = base::milliseconds{1000};
  /// Interval at which the relay writes announcements to the table in a batch.
  base::Duration announce_interval = base::milliseconds{1000};
  std::uint32_t announce_batch = 64;
  /// How long a daemon that is not the announcer keeps a change that may not
  /// have been announced yet, in case it becomes the announcer.
  base::Duration announce_retention = base::seconds{30};
  /// Age up to which changes are sent to a new gossip partner; it received
  /// older ones with its full list.
  base::Duration new_partner_window = base::seconds{60};
  /// Time after which records of lost and left members, and items, are dropped.
  /// It is longer than any plausible delay of a message, so that a delayed
  /// record cannot restore a dropped member, and longer than any partition
  /// after which deltas have to be sufficient.
  base::Duration retention = base::seconds{3600};
  /// Peer addresses to which join requests are sent at the start, "ip:port".
  std::vector<std::string> seeds;
};

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP
