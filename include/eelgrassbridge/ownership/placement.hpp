// Where groups may be and where they should go.
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

/// @brief A member as placement needs it.
struct PlacementMember {
  base::DaemonId id;
  std::string name;
  std::string service;
  std::string data_centre;
  std::string region;
  /// Announced, not draining and not found lost.
  bool serving = false;
  /// Where other daemons reach it; one process at a time can listen there.
  std::string peer_address = {};

  bool operator==(const PlacementMember&) const = default;
};

/// @brief Members and the lists of candidates derived from them.
///
/// Invariant: a list in `candidates` is complete for the members and the
/// catalogue known: a changed member is put in or taken out (UpdateCandidates),
/// a changed catalogue clears all lists.
struct PlacementView {
  std::unordered_map<base::DaemonId, PlacementMember> members;
  /// Members found lost or left, with the time.
  std::unordered_map<base::DaemonId, base::TimePoint> gone;
  /// Ids named in rows but in no record, with the time of the first sight.
  std::unordered_map<base::DaemonId, base::TimePoint> unknown_since;
  /// "service/residency" -> members that may own its groups, sorted by id.
  std::map<std::string, std::vector<base::DaemonId>, std::less<>> candidates;
};

/// @brief Whether a member may be given groups of that service and residency.
bool IsEligible(const catalogue::Catalogue& catalogue,
                const PlacementMember& member,
                std::string_view service,
                std::string_view residency);

/// @brief Members that may own the group; kept until members or catalogue
/// change.
const std::vector<base::DaemonId>& Candidates(
    PlacementView& view,
    const catalogue::Catalogue& catalogue,
    const base::GroupId& group);

/// @brief Brings the kept lists up to date after a change of one member. Making
/// them anew for each change would cost 2 ms at 15,000 members.
void UpdateCandidates(PlacementView& view,
                      const catalogue::Catalogue& catalogue,
                      base::DaemonId member);

/// @brief Candidate with the highest rendezvous score; none if there is none.
base::DaemonId PreferredOwner(PlacementView& view,
                              const catalogue::Catalogue& catalogue,
                              const base::GroupId& group,
                              base::DaemonId except = {});

/// @brief Deputy for an owner: another data centre of the home regions, or
/// another VM of the same one, or none. `except` is not chosen.
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

/// @brief To whom `self` should move one group now, if to anyone.
///
/// All owners compute the same matching of surplus to room from the same
/// counts, and each acts on its own part, so a new target draws as many moves
/// as it lacks and not one from every owner.
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
