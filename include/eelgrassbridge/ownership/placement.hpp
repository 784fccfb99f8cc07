// Choice of the owner, the deputy and the receiver of a group.
#ifndef EELGRASSBRIDGE_OWNERSHIP_PLACEMENT_HPP
#define EELGRASSBRIDGE_OWNERSHIP_PLACEMENT_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::ownership {

/// @brief The properties of a member that placement uses.
struct PlacementMember {
  base::DaemonId id;
  std::string name;
  std::string service;
  std::string data_centre;
  std::string region;
  /// Announced, not draining and not found lost.
  bool serving = false;
  /// Address for connections of other daemons; only one process at a time can
  /// listen on it.
  std::string peer_address = {};

  bool operator==(const PlacementMember&) const = default;
};

/// @brief Members and the lists of candidates derived from them.
///
/// Invariant: each list in `candidates` matches the known members and
/// catalogue. A changed member is added or removed (UpdateCandidates); a
/// changed catalogue clears all lists.
struct PlacementView {
  std::unordered_map<base::DaemonId, PlacementMember> members;
  /// Members found lost or left, with the time.
  std::unordered_map<base::DaemonId, base::TimePoint> gone;
  /// Ids named in rows but in no member record, with the time first seen.
  std::unordered_map<base::DaemonId, base::TimePoint> unknown_since;
  /// "service/residency" -> members that may own its groups, sorted by id.
  std::map<std::string, std::vector<base::DaemonId>, std::less<>> candidates;
};

/// @brief Whether a member may own groups of that service and residency.
bool IsEligible(const catalogue::Catalogue& catalogue,
                const PlacementMember& member,
                std::string_view service,
                std::string_view residency);

/// @brief Members that may own the group, sorted by id. Cached until members or
/// catalogue change.
const std::vector<base::DaemonId>& Candidates(
    PlacementView& view,
    const catalogue::Catalogue& catalogue,
    const base::GroupId& group);

/// @brief Updates the cached lists after a change of one member. Rebuilding
/// them for each change would take 2 ms with 15,000 members.
void UpdateCandidates(PlacementView& view,
                      const catalogue::Catalogue& catalogue,
                      base::DaemonId member);

/// @brief Candidate with the highest rendezvous score; none if there is none.
base::DaemonId PreferredOwner(PlacementView& view,
                              const catalogue::Catalogue& catalogue,
                              const base::GroupId& group,
                              base::DaemonId except = {});

/// @brief Deputy for an owner: a candidate in another data centre of the home
/// regions, otherwise on another VM of the same data centre, otherwise none.
/// `except` is not chosen.
base::DaemonId ChooseDeputy(PlacementView& view,
                            const catalogue::Catalogue& catalogue,
                            const base::GroupId& group,
                            base::DaemonId owner,
                            base::DaemonId except = {});

/// @brief Group count of one candidate.
struct MemberLoad {
  base::DaemonId id;
  std::uint32_t groups = 0;
};

/// @brief Member to which `self` should move one group now, if any.
///
/// All owners compute the same matching of surplus groups to members with few
/// groups from the same counts, and each carries out only its own moves. So a
/// new target gets as many groups as it lacks, and not one from every owner.
std::optional<base::DaemonId> BalanceReceiver(std::span<const MemberLoad> loads,
                                              base::DaemonId self,
                                              std::uint32_t min_difference);

/// @brief Receiver for a group that must leave its owner: the candidate with
/// the fewest groups among the four with the highest rendezvous scores.
base::DaemonId ChooseReceiver(
    PlacementView& view,
    const catalogue::Catalogue& catalogue,
    const base::GroupId& group,
    base::DaemonId owner,
    const std::function<std::uint32_t(base::DaemonId)>& group_count);

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_PLACEMENT_HPP
