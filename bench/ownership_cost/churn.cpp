// Churn of ownership: groups that change owner after a join, a loss, and a data
// centre taken out of service and back. Compares the product's placement
// functions with the minimum and with plain rehashing (hash modulo members).
#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/ownership/placement.hpp"
#include "output.hpp"

namespace eelgrassbridge::ownership_cost {

namespace {

constexpr std::uint32_t kGroupsPerMember = 4;
constexpr std::uint32_t kMinDifference = 2;

struct Fleet {
  catalogue::Catalogue catalogue;
  ownership::PlacementView view;
  std::map<base::GroupId, base::DaemonId> owner;
  std::map<base::GroupId, base::DaemonId> deputy;
  std::map<base::DaemonId, std::uint32_t> count;
  std::uint64_t moves = 0;
};

void SetOwner(Fleet& fleet, const base::GroupId& group, base::DaemonId owner) {
  base::DaemonId& known = fleet.owner[group];
  if (known) {
    --fleet.count[known];
    ++fleet.moves;
  }
  known = owner;
  ++fleet.count[owner];
  fleet.deputy[group] =
      ownership::ChooseDeputy(fleet.view, fleet.catalogue, group, owner);
}

std::vector<ownership::MemberLoad> Loads(Fleet& fleet) {
  std::vector<ownership::MemberLoad> loads;
  const base::GroupId any{"listing", "sur", 0, std::nullopt};
  for (const base::DaemonId id :
       ownership::Candidates(fleet.view, fleet.catalogue, any)) {
    loads.push_back({id, fleet.count[id]});
  }
  return loads;
}

/// Balances in rounds of one second, in which every owner moves at most one
/// group.
void Balance(Fleet& fleet) {
  for (bool is_moved = true; is_moved;) {
    is_moved = false;
    const std::vector<ownership::MemberLoad> loads = Loads(fleet);
    std::map<base::DaemonId, base::GroupId> first;
    for (const auto& [group, owner] : fleet.owner) {
      first.try_emplace(owner, group);
    }
    for (const ownership::MemberLoad& load : loads) {
      const auto receiver =
          ownership::BalanceReceiver(loads, load.id, kMinDifference);
      if (receiver) {
        SetOwner(fleet, first.at(load.id), *receiver);
        is_moved = true;
      }
    }
  }
}

std::uint64_t MinMovesForBalance(
    const std::vector<ownership::MemberLoad>& loads) {
  std::uint64_t total = 0;
  for (const auto& load : loads) {
    total += load.groups;
  }
  const std::uint64_t low = total / loads.size();
  std::uint64_t above = 0;
  std::uint64_t below = 0;
  for (const auto& load : loads) {
    above += load.groups > low + 1 ? load.groups - low - 1 : 0;
    below += load.groups < low ? low - load.groups : 0;
  }
  return std::max(above, below);
}

/// Groups that plain rehashing would move between two member counts.
std::uint64_t Rehashed(const Fleet& fleet, std::size_t from, std::size_t to) {
  std::uint64_t moved = 0;
  for (const auto& [group, owner] : fleet.owner) {
    const std::uint64_t hash = base::Hash64(base::ToString(group));
    moved += hash % from != hash % to ? 1 : 0;
  }
  return moved;
}

ownership::PlacementMember MemberOf(std::uint64_t id, std::uint32_t centre) {
  return {{id},      "d" + std::to_string(id),
          "listing", "dc" + std::to_string(centre),
          "sur",     true};
}

void Report(const std::string& scenario,
            Fleet& fleet,
            std::uint64_t least,
            std::uint64_t rehashed) {
  Print(scenario, "groups moved", "groups", static_cast<double>(fleet.moves),
        rehashed, least);
  fleet.moves = 0;
}

}  // namespace

void MeasureChurn(std::uint32_t data_centres, std::uint32_t members_each) {
  Fleet fleet;
  std::uint64_t next = 1;
  for (std::uint32_t centre = 0; centre < data_centres; ++centre) {
    for (std::uint32_t i = 0; i < members_each; ++i, ++next) {
      fleet.view.members[{next}] = MemberOf(next, centre);
    }
  }
  const std::size_t size = fleet.view.members.size();
  for (std::uint32_t i = 0; i < size * kGroupsPerMember; ++i) {
    const base::GroupId group{"listing", "sur", i, std::nullopt};
    SetOwner(fleet, group,
             ownership::PreferredOwner(fleet.view, fleet.catalogue, group));
  }
  Balance(fleet);
  fleet.moves = 0;
  const std::string name = "churn/" + std::to_string(size) + " members/";

  fleet.view.members[{next}] = MemberOf(next, 0);
  fleet.view.candidates.clear();
  const std::uint64_t for_join = MinMovesForBalance(Loads(fleet));
  Balance(fleet);
  Report(name + "join", fleet, for_join, Rehashed(fleet, size, size + 1));

  const base::DaemonId lost{2};
  const std::uint64_t of_lost = fleet.count[lost];
  fleet.view.gone[lost] = {};
  fleet.view.candidates.clear();
  for (const auto& [group, owner] : std::map(fleet.owner)) {
    if (owner == lost) {
      SetOwner(fleet, group, fleet.deputy.at(group));
    }
  }
  Balance(fleet);
  Report(name + "loss", fleet, of_lost, Rehashed(fleet, size + 1, size));

  fleet.catalogue.out_of_service.push_back(
      {catalogue::OutOfService::What::kDataCentre, "dc1", false});
  fleet.view.candidates.clear();
  std::uint64_t inside = 0;
  const auto count_of = [&](base::DaemonId id) { return fleet.count[id]; };
  for (const auto& [group, owner] : std::map(fleet.owner)) {
    if (fleet.view.members.at(owner).data_centre == "dc1") {
      ++inside;
      SetOwner(fleet, group,
               ownership::ChooseReceiver(fleet.view, fleet.catalogue, group,
                                         owner, count_of));
    }
  }
  Balance(fleet);
  Report(name + "data centre out", fleet, inside,
         Rehashed(fleet, size, size - members_each));

  fleet.catalogue.out_of_service.clear();
  fleet.view.candidates.clear();
  const std::uint64_t for_return = MinMovesForBalance(Loads(fleet));
  Balance(fleet);
  Report(name + "data centre back", fleet, for_return,
         Rehashed(fleet, size - members_each, size));
}

}  // namespace eelgrassbridge::ownership_cost
