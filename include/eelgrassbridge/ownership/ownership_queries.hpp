// Read-only queries of the ownership state.
#ifndef EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_QUERIES_HPP
#define EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_QUERIES_HPP

#include <optional>
#include <string>
#include <vector>

#include "eelgrassbridge/ownership/ownership_state.hpp"

namespace eelgrassbridge::ownership {

/// @brief The known row of the group, or null.
const GroupRow* FindRow(const OwnershipState& state,
                        const base::GroupId& group);

/// @brief Lease end of a group that this daemon may serve now; none otherwise.
std::optional<base::TimePoint> ServingUntil(const OwnershipState& state,
                                            const base::GroupId& group,
                                            base::TimePoint now);

/// @brief Whether a member was found lost, has left, or has been unknown for
/// longer than unknown_member_grace.
bool IsGone(const OwnershipState& state,
            base::DaemonId member,
            base::TimePoint now);

/// @brief Number of groups that `owner` owns according to the known rows.
std::size_t OwnedCount(const OwnershipState& state, base::DaemonId owner);

/// @brief Owners that have this daemon as deputy and have sent it no promise
/// request for longer than `timeout`; input of membership::ReportSuspicion.
std::vector<base::DaemonId> UnresponsiveOwners(const OwnershipState& state,
                                               base::TimePoint now,
                                               base::Duration timeout);

/// @brief Whether a planned stop is complete: this daemon owns nothing and no
/// write is unresolved.
bool IsDrained(const OwnershipState& state);

/// @brief One owned group, for the status command.
struct OwnedGroupStatus {
  base::GroupId group;
  std::uint64_t epoch = 0;
  base::DaemonId deputy;
  std::optional<base::TimePoint> serving_until;
  bool releasing = false;
  bool write_unresolved = false;
};
std::vector<OwnedGroupStatus> OwnedGroups(const OwnershipState& state,
                                          base::TimePoint now);

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_QUERIES_HPP
