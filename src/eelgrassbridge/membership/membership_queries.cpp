// Lookups of members and relays, and the check for name collisions.
#include "eelgrassbridge/membership/membership_queries.hpp"

#include <algorithm>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/membership/detail.hpp"

namespace eelgrassbridge::membership {

const Member* FindMember(const MembershipState& state, base::DaemonId id) {
  const auto found = state.members.find(id);
  return found == state.members.end() ? nullptr : &found->second;
}

std::size_t AliveCount(const MembershipState& state) {
  std::size_t count = 0;
  for (const auto& [name, alive] : state.by_data_centre) {
    count += alive.size();
  }
  return count;
}

base::DaemonId DataCentreRelay(const MembershipState& state,
                               std::string_view data_centre) {
  const auto found = state.by_data_centre.find(data_centre);
  return found == state.by_data_centre.end() || found->second.empty()
             ? base::DaemonId{}
             : *found->second.begin();
}

base::DaemonId RegionRelay(const MembershipState& state,
                           std::string_view region) {
  base::DaemonId lowest;
  for (const auto& [data_centre, its_region] : state.region_of) {
    const base::DaemonId relay = DataCentreRelay(state, data_centre);
    if (its_region == region && relay && (!lowest || relay < lowest)) {
      lowest = relay;
    }
  }
  return lowest;
}

std::vector<base::DaemonId> RelayPeers(const MembershipState& state) {
  const Member& self = state.self;
  std::vector<base::DaemonId> peers;
  if (DataCentreRelay(state, self.data_centre) != self.id) {
    return peers;
  }
  const bool is_region_relay = RegionRelay(state, self.region) == self.id;
  std::set<std::string_view> regions;
  for (const auto& [data_centre, region] : state.region_of) {
    const base::DaemonId relay = DataCentreRelay(state, data_centre);
    if (region == self.region) {
      if (relay && relay != self.id) {
        peers.push_back(relay);
      }
    } else if (is_region_relay && regions.insert(region).second) {
      const base::DaemonId other = RegionRelay(state, region);
      if (other) {
        peers.push_back(other);
      }
    }
  }
  return peers;
}

bool MayServe(const MembershipState& state) {
  if (!state.joined) {
    return false;
  }
  // The younger of two daemons with the same name must not serve: the one that
  // is still joining, or the one with the higher id if both or neither are.
  return std::ranges::none_of(state.same_name_members, [&](base::DaemonId id) {
    const Member* other = FindMember(state, id);
    const bool is_self_joining = state.self.state == MemberState::kJoining;
    const bool is_other_joining =
        other != nullptr && other->state == MemberState::kJoining;
    return is_self_joining == is_other_joining ? id < state.self.id
                                               : is_self_joining;
  });
}

}  // namespace eelgrassbridge::membership
