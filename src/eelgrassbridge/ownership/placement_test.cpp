// Guards against groups placed outside their home regions or on members out of
// service, and against a balance that moves more groups than needed.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "eelgrassbridge/ownership/placement.hpp"

namespace eelgrassbridge::ownership {
namespace {

const base::GroupId kGroup{"listing", "sur", 3, std::nullopt};

PlacementView MakeView() {
  PlacementView view;
  for (std::uint64_t i = 1; i <= 6; ++i) {
    const std::string number = std::to_string(i);
    // Six daemons: two data centres in region "sur", one in region "litoral".
    view.members[{i}] = {{i},
                         "d" + number,
                         "listing",
                         "dc" + std::to_string(i % 3),
                         i % 3 == 2 ? "litoral" : "sur",
                         true};
  }
  return view;
}

TEST_CASE("placement: only in the home regions and on members in service") {
  catalogue::Catalogue catalogue;
  PlacementView view = MakeView();
  for (std::uint32_t i = 0; i < 50; ++i) {
    const base::GroupId group{"listing", "sur", i, std::nullopt};
    CHECK(view.members.at(PreferredOwner(view, catalogue, group)).region ==
          "sur");
    const base::DaemonId deputy = ChooseDeputy(view, catalogue, group, {1});
    CHECK(view.members.at(deputy).data_centre == "dc0");
  }
  catalogue.out_of_service.push_back(
      {catalogue::OutOfService::What::kDataCentre, "dc0", false});
  view.candidates.clear();
  CHECK(Candidates(view, catalogue, kGroup).size() == 2);
  // No other data centre is left, so the deputy is another VM of the same one.
  CHECK(ChooseDeputy(view, catalogue, kGroup, {1}) == base::DaemonId{4});
  catalogue.out_of_service.push_back(
      {catalogue::OutOfService::What::kTarget, "d4", false});
  view.candidates.clear();
  CHECK_FALSE(static_cast<bool>(ChooseDeputy(view, catalogue, kGroup, {1})));
}

std::uint32_t Spread(const std::map<std::uint64_t, std::uint32_t>& counts) {
  const auto by_count = [](const auto& a, const auto& b) {
    return a.second < b.second;
  };
  return std::ranges::max_element(counts, by_count)->second -
         std::ranges::min_element(counts, by_count)->second;
}

/// One round in which every owner acts on the same counts; returns the number
/// of moves.
std::uint32_t RunBalanceRound(std::map<std::uint64_t, std::uint32_t>& counts) {
  std::vector<MemberLoad> loads;
  loads.reserve(counts.size());
  for (const auto& [id, groups] : counts) {
    loads.push_back({{id}, groups});
  }
  std::uint32_t moves = 0;
  for (const MemberLoad& load : loads) {
    if (const auto receiver = BalanceReceiver(loads, load.id, 2)) {
      --counts[load.id.value];
      ++counts[receiver->value];
      ++moves;
    }
  }
  return moves;
}

TEST_CASE("balance: a new target gets only as many groups as it lacks") {
  std::map<std::uint64_t, std::uint32_t> counts;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    counts[i] = 4;
  }
  counts[101] = 0;
  std::uint32_t moves = 0;
  while (const std::uint32_t round = RunBalanceRound(counts)) {
    moves += round;
  }
  CHECK(moves == 3);
  CHECK(counts.at(101) == 3);
}

TEST_CASE(
    "balance: reaches a difference of at most one with the fewest moves") {
  CHECK(rc::check([] {
    std::map<std::uint64_t, std::uint32_t> counts;
    const auto size = *rc::gen::inRange<std::uint64_t>(1, 12);
    std::uint64_t total = 0;
    for (std::uint64_t i = 1; i <= size; ++i) {
      counts[i] = *rc::gen::inRange<std::uint32_t>(0, 9);
      total += counts[i];
    }
    const std::uint64_t low = total / size;
    std::uint64_t above = 0;
    std::uint64_t below = 0;
    for (const auto& [id, groups] : counts) {
      above += groups > low + 1 ? groups - low - 1 : 0;
      below += groups < low ? low - groups : 0;
    }
    std::uint64_t moves = 0;
    for (int round = 0; round < 50; ++round) {
      moves += RunBalanceRound(counts);
    }
    RC_ASSERT(Spread(counts) <= 1U);
    RC_ASSERT(moves == std::max(above, below));
  }));
}

}  // namespace
}  // namespace eelgrassbridge::ownership
