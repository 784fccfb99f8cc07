// Guards against changes that do not reach all daemons, lost members that are
// not detected, and running members that are marked as lost.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "membership_test_support.hpp"

namespace eelgrassbridge::membership {
namespace {

TEST_CASE("member: every field survives the JSON form") {
  Member member = MakeMember(7);
  member.fencing_checked = true;
  member.record_version = 3;
  const auto decoded =
      DecodeMember({MemberKey(member.id), 1, EncodeMember(member)});
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == member);
  CHECK_FALSE(DecodeMember({MemberKey(member.id), 1, "{}"}).has_value());
}

TEST_CASE("gossip: a change reaches all regions within the size limit") {
  Fleet fleet = MakeFleet(30);
  Run(fleet, milliseconds{3000});
  fleet.largest_message = 0;
  Actions actions;
  SetSelfState(fleet.daemons.at({4}), fleet.now, MemberState::kDraining,
               actions);
  Run(fleet, milliseconds{10000});
  for (const auto& [id, state] : fleet.daemons) {
    CHECK(FindMember(state, {4})->state == MemberState::kDraining);
  }
  CHECK(fleet.largest_message <= 1024);
}

TEST_CASE("gossip: nothing is sent when nothing changed") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{70000});
  const auto sent = fleet.daemons.at({5}).counters.gossip_messages;
  Run(fleet, milliseconds{10000});
  CHECK(fleet.daemons.at({5}).counters.gossip_messages == sent);
}

TEST_CASE("gossip: an item bound to a region does not leave it") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{3000});
  PublishItem(fleet.daemons.at({1}), fleet.now, {3, "1/0@sur", 1, "bound"});
  PublishItem(fleet.daemons.at({1}), fleet.now, {3, "1/1@litoral+sur", 1, ""});
  Run(fleet, milliseconds{10000});
  for (const auto& [id, state] : fleet.daemons) {
    CHECK(state.items.contains({3, "1/0@sur"}) == (state.self.region == "sur"));
    CHECK(state.items.contains({3, "1/1@litoral+sur"}));
  }
}

TEST_CASE("gossip: an older version of an item is ignored") {
  MembershipState state = MakeMembershipState(MakeMember(1), {}, TimePoint{});
  Actions actions;
  const SendGossip message{{1}, 1, {}, {{2, "k", 5, "new"}}};
  OnGossip(state, TimePoint{}, message, {2}, actions);
  const SendGossip older{{1}, 2, {}, {{2, "k", 4, "old"}}};
  OnGossip(state, TimePoint{}, older, {3}, actions);
  CHECK(state.items.at({2, "k"}).payload == "new");
  CHECK(std::ranges::count_if(actions, [](const Action& action) {
          return std::holds_alternative<ItemReceived>(action);
        }) == 1);
}

TEST_CASE("liveness: an unreachable member is lost after 1.2 s to 1.9 s") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{3000});
  fleet.unreachable.insert({6});
  Run(fleet, milliseconds{1150});
  CHECK(fleet.marked_lost_by[{6}].empty());
  Run(fleet, milliseconds{750});
  CHECK_FALSE(fleet.marked_lost_by[{6}].empty());
  Run(fleet, milliseconds{10000});
  CHECK(fleet.marked_lost_by[{6}].size() == 11);
}

TEST_CASE("liveness: the deputy gets the second observer's report at once") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{3000});
  // A daemon that does not watch the member, but notices as its deputy that it
  // stopped responding.
  const auto watchers = Watchers(fleet.daemons.at({1}), {6});
  base::DaemonId deputy{1};
  while (std::ranges::find(watchers, deputy) != watchers.end() ||
         deputy == base::DaemonId{6}) {
    ++deputy.value;
  }
  fleet.unreachable.insert({6});
  Run(fleet, milliseconds{1400});
  for (int i = 0; i < 2; ++i) {
    Actions actions;
    ReportSuspicion(fleet.daemons.at(deputy), fleet.now, {6}, actions);
    Deliver(fleet, deputy, actions);
    Run(fleet, milliseconds{250});
  }
  CHECK(fleet.marked_lost_by[{6}].contains(deputy));
}

/// Returns whether all watchers of some unreachable member are unreachable too.
bool HasUnwatchedLostMember(const Fleet& fleet) {
  const MembershipState& state = fleet.daemons.begin()->second;
  return std::ranges::any_of(
      fleet.unreachable, [&](base::DaemonId lost_member) {
        return std::ranges::all_of(
            Watchers(state, lost_member),
            [&](base::DaemonId id) { return fleet.unreachable.contains(id); });
      });
}

TEST_CASE("liveness: a lost member is detected if its watchers are lost too") {
  // Guards against records of killed daemons that stay alive forever because
  // none of the remaining daemons watches them.
  Fleet fleet = MakeFleet(60);
  for (std::uint64_t id = 10; id <= 60; ++id) {
    fleet.unreachable.insert({id});
  }
  REQUIRE(HasUnwatchedLostMember(fleet));
  Run(fleet, milliseconds{120000});
  for (std::uint64_t id = 1; id <= 9; ++id) {
    CHECK(AliveCount(fleet.daemons.at({id})) == 9);
  }
}

TEST_CASE("liveness: the loss of a whole data centre is detected") {
  // Guards against losses that are never confirmed: each member has only one
  // watcher outside its data centre, but two observers are needed.
  Fleet fleet = MakeFleet(18);
  Run(fleet, milliseconds{3000});
  for (std::uint64_t id = 3; id <= 18; id += 3) {
    fleet.unreachable.insert({id});
  }
  Run(fleet, milliseconds{20000});
  for (std::uint64_t id = 1; id <= 17; ++id) {
    if (id % 3 != 0) {
      CHECK(AliveCount(fleet.daemons.at({id})) == 12);
    }
  }
}

TEST_CASE("liveness: a member that just sent a message is not pinged") {
  MembershipState state = MakeMembershipState(MakeMember(1), {}, TimePoint{});
  Actions actions;
  OnTableMembers(state, TimePoint{}, std::vector{MakeMember(4)}, actions);
  const auto pings = [&](int at) {
    Actions list;
    OnTick(state, TimePoint{milliseconds{at}}, list);
    return std::ranges::count_if(list, [](const Action& action) {
      return std::holds_alternative<SendPing>(action);
    });
  };
  CHECK(pings(1000) == 1);
  OnMessageReceived(state, TimePoint{milliseconds{1300}}, {4});
  CHECK(pings(1750) == 0);
  CHECK(pings(1800) == 1);
}

TEST_CASE("liveness: probes do not mark a running member as lost") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{60000});
  CHECK(fleet.marked_lost_by.empty());
  for (const auto& [id, state] : fleet.daemons) {
    CHECK(state.counters.suspicions_sent == 0);
    CHECK(state.probed.size() <= 1);
  }
}

TEST_CASE("liveness: one observer cannot mark a member as lost") {
  MembershipState state = MakeMembershipState(MakeMember(1), {}, TimePoint{});
  Actions actions;
  OnTableMembers(state, TimePoint{},
                 std::vector{MakeMember(2), MakeMember(3), MakeMember(4)},
                 actions);
  OnSuspicion(state, TimePoint{}, {2}, {3}, 1, actions);
  OnSuspicion(state, TimePoint{}, {2}, {3}, 1, actions);
  CHECK(IsAlive(*FindMember(state, {3})));
  OnSuspicion(state, TimePoint{}, {4}, {3}, 1, actions);
  CHECK_FALSE(IsAlive(*FindMember(state, {3})));
}

TEST_CASE("liveness: a member marked as lost refutes when it is back") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{3000});
  fleet.unreachable.insert({6});
  Run(fleet, milliseconds{10000});
  fleet.unreachable.clear();
  Run(fleet, milliseconds{15000});
  for (const auto& [id, state] : fleet.daemons) {
    CHECK(IsAlive(*FindMember(state, {6})));
  }
  CHECK(fleet.daemons.at({6}).counters.refutations >= 1);
}

TEST_CASE("liveness: a paused watcher does not suspect watched members") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{3000});
  MembershipState& state = fleet.daemons.at({3});
  Actions actions;
  OnTick(state, fleet.now + milliseconds{20000}, actions);
  CHECK(std::ranges::none_of(actions, [](const Action& action) {
    return std::holds_alternative<SendSuspicion>(action);
  }));
}

TEST_CASE("watchers: each member has two in its data centre, one outside") {
  Fleet fleet = MakeFleet(30);
  Run(fleet, milliseconds{100});
  std::map<base::DaemonId, std::vector<base::DaemonId>> watching;
  for (const auto& [id, state] : fleet.daemons) {
    for (const auto& [watched, unused] : state.watched) {
      watching[watched].push_back(id);
    }
  }
  for (const auto& [id, state] : fleet.daemons) {
    std::vector<base::DaemonId> expected = Watchers(state, id);
    std::ranges::sort(expected);
    CHECK(watching[id] == expected);
    const std::uint64_t own = id.value % 3;
    CHECK(std::ranges::count_if(expected, [own](base::DaemonId watcher) {
            return watcher.value % 3 == own;
          }) == 2);
    CHECK(expected.size() == 3);
  }
}

TEST_CASE("join: a new daemon gets the full list and is known to all") {
  Fleet fleet = MakeFleet(10);
  Member joining = MakeMember(11);
  joining.state = MemberState::kJoining;
  MembershipOptions options;
  options.seeds = {"127.0.0.1:11", "127.0.0.1:99", "127.0.0.1:4"};
  fleet.daemons.emplace(joining.id,
                        MakeMembershipState(joining, options, fleet.now));
  CHECK_FALSE(MayServe(fleet.daemons.at({11})));
  Run(fleet, milliseconds{12000});
  CHECK(MayServe(fleet.daemons.at({11})));
  CHECK(AliveCount(fleet.daemons.at({11})) == 11);
  for (const auto& [id, state] : fleet.daemons) {
    CHECK(FindMember(state, {11}) != nullptr);
  }
}

TEST_CASE("join: the younger of two daemons with one name does not serve") {
  MembershipState state = MakeMembershipState(MakeMember(9), {}, TimePoint{});
  state.self.state = MemberState::kJoining;
  Member older = MakeMember(2);
  older.name = "d9";
  Actions actions;
  OnTableMembers(state, TimePoint{}, std::vector{older}, actions);
  CHECK_FALSE(MayServe(state));
  older.state = MemberState::kLost;
  OnTableMembers(state, TimePoint{}, std::vector{older}, actions);
  CHECK(MayServe(state));
}

TEST_CASE("join: an earlier incarnation at the same address is lost at once") {
  // Guards against a restarted daemon, alone in its data centre, that waits
  // forever for its predecessor to be marked as lost.
  MembershipState state = MakeMembershipState(MakeMember(9), {}, TimePoint{});
  state.self.state = MemberState::kJoining;
  Member earlier = MakeMember(9);
  earlier.id = {2};
  Actions actions;
  OnTableMembers(state, TimePoint{}, std::vector{earlier}, actions);
  CHECK(MayServe(state));
  CHECK(FindMember(state, {2})->state == MemberState::kLost);
}

TEST_CASE("announcements: the relay repeats a change until it is confirmed") {
  MembershipState state = MakeMembershipState(MakeMember(3), {}, TimePoint{});
  Actions actions;
  OnTick(state, TimePoint{milliseconds{1000}}, actions);
  const auto announced = [](const Actions& list) {
    return std::ranges::count_if(list, [](const Action& action) {
      return std::holds_alternative<AnnounceMembers>(action);
    });
  };
  CHECK(announced(actions) == 1);
  actions.clear();
  OnTick(state, TimePoint{milliseconds{2000}}, actions);
  CHECK(announced(actions) == 1);
  const base::DaemonId id{3};
  OnAnnounced(state, {&id, 1});
  actions.clear();
  OnTick(state, TimePoint{milliseconds{3000}}, actions);
  CHECK(announced(actions) == 0);
}

TEST_CASE("announcements: one daemon announces an empty data centre") {
  // Guards against rows of lost members that stay in the table because their
  // data centre has no relay.
  Fleet fleet = MakeFleet(9);
  for (const std::uint64_t id : {3U, 6U, 9U}) {
    fleet.unreachable.insert({id});
  }
  std::map<base::DaemonId, std::set<base::DaemonId>> announcers;
  for (int step = 0; step < 600; ++step) {
    Run(fleet, kStep);
    for (auto& [id, state] : fleet.daemons) {
      for (const auto& [member, version] : state.announced_versions) {
        if (member.value % 3 == 0 && !fleet.unreachable.contains(id)) {
          announcers[member].insert(id);
        }
      }
    }
  }
  // The alive member with the lowest id in the region of "dc0".
  const std::set<base::DaemonId> relay{{1}};
  for (const std::uint64_t id : {3U, 6U, 9U}) {
    CHECK(announcers[{id}] == relay);
  }
}

}  // namespace
}  // namespace eelgrassbridge::membership
