// Lists of candidates, and the choice among them by rendezvous score.
#include "eelgrassbridge/ownership/placement.hpp"

#include <algorithm>
#include <array>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::ownership {

namespace {

std::string ClassName(std::string_view service, std::string_view residency) {
  std::string name(service);
  name += '/';
  name += residency;
  return name;
}

bool IsRegionIn(std::string_view residency, std::string_view region) {
  const std::vector<std::string> regions =
      catalogue::ResidencyRegions(residency);
  return std::ranges::find(regions, region) != regions.end();
}

/// Candidate with the highest score among those for which `accept` is true.
template <typename Accept>
base::DaemonId HighestScoring(const std::vector<base::DaemonId>& candidates,
                              std::string_view item,
                              Accept accept) {
  base::DaemonId best;
  std::uint64_t best_score = 0;
  for (const base::DaemonId id : candidates) {
    const std::uint64_t score = base::RendezvousScore(item, id);
    if ((!best || score > best_score) && accept(id)) {
      best = id;
      best_score = score;
    }
  }
  return best;
}

}  // namespace

bool IsEligible(const catalogue::Catalogue& catalogue,
                const PlacementMember& member,
                std::string_view service,
                std::string_view residency) {
  return member.serving && member.service == service &&
         IsRegionIn(residency, member.region) &&
         !catalogue::IsDataCentreOut(catalogue, member.data_centre) &&
         !catalogue::IsTargetOut(catalogue, member.name);
}

const std::vector<base::DaemonId>& Candidates(
    PlacementView& view,
    const catalogue::Catalogue& catalogue,
    const base::GroupId& group) {
  const std::string name = ClassName(group.service, group.residency);
  const auto found = view.candidates.find(name);
  if (found != view.candidates.end()) {
    return found->second;
  }
  std::vector<base::DaemonId> list;
  for (const auto& [id, member] : view.members) {
    if (!view.gone.contains(id) &&
        IsEligible(catalogue, member, group.service, group.residency)) {
      list.push_back(id);
    }
  }
  std::ranges::sort(list);
  return view.candidates.emplace(name, std::move(list)).first->second;
}

void UpdateCandidates(PlacementView& view,
                      const catalogue::Catalogue& catalogue,
                      base::DaemonId member) {
  const auto record = view.members.find(member);
  for (auto& [name, list] : view.candidates) {
    const std::size_t slash = name.find('/');
    const bool is_in = record != view.members.end() &&
                       !view.gone.contains(member) &&
                       IsEligible(catalogue, record->second,
                                  std::string_view(name).substr(0, slash),
                                  std::string_view(name).substr(slash + 1));
    const auto at = std::ranges::lower_bound(list, member);
    const bool was_in = at != list.end() && *at == member;
    if (is_in && !was_in) {
      list.insert(at, member);
    } else if (!is_in && was_in) {
      list.erase(at);
    }
  }
}

base::DaemonId PreferredOwner(PlacementView& view,
                              const catalogue::Catalogue& catalogue,
                              const base::GroupId& group,
                              base::DaemonId except) {
  return HighestScoring(Candidates(view, catalogue, group),
                        base::ToString(group),
                        [&](base::DaemonId id) { return id != except; });
}

base::DaemonId ChooseDeputy(PlacementView& view,
                            const catalogue::Catalogue& catalogue,
                            const base::GroupId& group,
                            base::DaemonId owner,
                            base::DaemonId except) {
  const std::vector<base::DaemonId>& candidates =
      Candidates(view, catalogue, group);
  // The score is salted so that the preferred owner is not also the preferred
  // deputy of the same groups.
  const std::string item = "deputy/" + base::ToString(group);
  const auto owner_member = view.members.find(owner);
  const std::string_view owner_data_centre =
      owner_member == view.members.end()
          ? std::string_view{}
          : std::string_view(owner_member->second.data_centre);
  const auto is_other = [&](base::DaemonId id) {
    return id != owner && id != except;
  };
  const base::DaemonId elsewhere =
      HighestScoring(candidates, item, [&](base::DaemonId id) {
        return is_other(id) &&
               view.members.at(id).data_centre != owner_data_centre;
      });
  return elsewhere ? elsewhere : HighestScoring(candidates, item, is_other);
}

base::DaemonId ChooseReceiver(
    PlacementView& view,
    const catalogue::Catalogue& catalogue,
    const base::GroupId& group,
    base::DaemonId owner,
    const std::function<std::uint32_t(base::DaemonId)>& group_count) {
  struct Scored {
    std::uint64_t score = 0;
    base::DaemonId id;
  };
  std::array<Scored, 4> best{};
  const std::string item = base::ToString(group);
  for (const base::DaemonId id : Candidates(view, catalogue, group)) {
    if (id == owner) {
      continue;
    }
    const Scored scored{base::RendezvousScore(item, id), id};
    auto* lowest = std::ranges::min_element(best, {}, &Scored::score);
    if (!lowest->id || scored.score > lowest->score) {
      *lowest = scored;
    }
  }
  base::DaemonId chosen;
  std::uint32_t fewest = 0;
  for (const Scored& scored : best) {
    if (scored.id) {
      const std::uint32_t count = group_count(scored.id);
      if (!chosen || count < fewest) {
        chosen = scored.id;
        fewest = count;
      }
    }
  }
  return chosen;
}

}  // namespace eelgrassbridge::ownership
