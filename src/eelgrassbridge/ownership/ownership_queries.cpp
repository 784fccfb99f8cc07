// Read-only queries of the ownership state.
#include "eelgrassbridge/ownership/ownership_queries.hpp"

#include <algorithm>

#include "eelgrassbridge/ownership/detail/core.hpp"

namespace eelgrassbridge::ownership {

const GroupRow* FindRow(const OwnershipState& state,
                        const base::GroupId& group) {
  const auto found = state.rows.find(group);
  return found == state.rows.end() ? nullptr : &found->second;
}

std::optional<base::TimePoint> ServingUntil(const OwnershipState& state,
                                            const base::GroupId& group,
                                            base::TimePoint now) {
  const auto found = state.owned.find(group);
  if (found == state.owned.end() || !found->second.gate_open ||
      found->second.release_to || found->second.merging) {
    return std::nullopt;
  }
  const auto end = detail::LeaseEnd(state, found->second);
  return end && now < *end ? end : std::nullopt;
}

bool IsGone(const OwnershipState& state,
            base::DaemonId member,
            base::TimePoint now) {
  if (state.placement.gone.contains(member)) {
    return true;
  }
  const auto unknown = state.placement.unknown_since.find(member);
  return unknown != state.placement.unknown_since.end() &&
         now - unknown->second > state.options.unknown_member_grace;
}

std::size_t OwnedCount(const OwnershipState& state, base::DaemonId owner) {
  const auto found = state.by_owner.find(owner);
  return found == state.by_owner.end() ? 0 : found->second.size();
}

std::vector<base::DaemonId> UnresponsiveOwners(const OwnershipState& state,
                                               base::TimePoint now,
                                               base::Duration timeout) {
  std::vector<base::DaemonId> unresponsive;
  for (const auto& [group, entry] : state.deputy_of) {
    if (entry.last_request_at && now - *entry.last_request_at > timeout &&
        std::ranges::find(unresponsive, entry.row.owner) ==
            unresponsive.end()) {
      unresponsive.push_back(entry.row.owner);
    }
  }
  return unresponsive;
}

bool IsDrained(const OwnershipState& state) {
  return state.owned.empty() && state.operations.empty() &&
         state.open_writes.empty();
}

std::vector<OwnedGroupStatus> OwnedGroups(const OwnershipState& state,
                                          base::TimePoint now) {
  std::vector<OwnedGroupStatus> list;
  for (const auto& [group, owned] : state.owned) {
    list.push_back({group, owned.row.epoch, owned.row.deputy,
                    ServingUntil(state, group, now),
                    owned.release_to || owned.merging,
                    detail::HasOpenWrite(state, group)});
  }
  std::ranges::sort(list, {}, &OwnedGroupStatus::group);
  return list;
}

}  // namespace eelgrassbridge::ownership
