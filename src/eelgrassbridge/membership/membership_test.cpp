// Tests of membership with a few daemons that exchange messages in memory.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "membership_test_support.hpp"

namespace eelgrassbridge::membership {
namespace {

TEST_CASE("member: the table's JSON keeps every field") {
  Member member = MemberOf(7);
  member.fencing_checked = true;
  member.record_version = 3;
  const auto decoded =
      DecodeMember({MemberKey(member.id), 1, EncodeMember(member)});
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == member);
  CHECK_FALSE(DecodeMember({MemberKey(member.id), 1, "{}"}).has_value());
}

TEST_CASE("gossip: a change reaches all regions, within the byte bound") {
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

TEST_CASE("gossip: an item bound to a region is sent nowhere else") {
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

TEST_CASE("gossip: an older version of an item changes nothing") {
  MembershipState state = MakeMembershipState(MemberOf(1), {}, TimePoint{});
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

TEST_CASE("liveness: a silent member is found lost in 1.2 s to 1.9 s") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{3000});
  fleet.silent.insert({6});
  Run(fleet, milliseconds{1150});
  CHECK(fleet.lost_seen[{6}].empty());
  Run(fleet, milliseconds{750});
  CHECK_FALSE(fleet.lost_seen[{6}].empty());
  Run(fleet, milliseconds{10000});
  CHECK(fleet.lost_seen[{6}].size() == 11);
}

TEST_CASE("liveness: the deputy gets the second observer's word at once") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{3000});
  // A daemon that does not watch the member, but misses it as its deputy.
  const auto watchers = Watchers(fleet.daemons.at({1}), {6});
  base::DaemonId deputy{1};
  while (std::ranges::find(watchers, deputy) != watchers.end() ||
         deputy == base::DaemonId{6}) {
    ++deputy.value;
  }
  fleet.silent.insert({6});
  Run(fleet, milliseconds{1400});
  for (int i = 0; i < 2; ++i) {
    Actions actions;
    ReportSuspicion(fleet.daemons.at(deputy), fleet.now, {6}, actions);
    Deliver(fleet, deputy, actions);
    Run(fleet, milliseconds{250});
  }
  CHECK(fleet.lost_seen[{6}].contains(deputy));
}

/// Whether some member that ended is watched by ended members only.
bool HasUnwatchedGhost(const Fleet& fleet) {
  const MembershipState& state = fleet.daemons.begin()->second;
  return std::ranges::any_of(fleet.silent, [&](base::DaemonId ghost) {
    return std::ranges::all_of(Watchers(state, ghost), [&](base::DaemonId id) {
      return fleet.silent.contains(id);
    });
  });
}

TEST_CASE(
    "liveness: a lost member is found lost if its watchers are lost too") {
  // Guards against records of killed daemons that stay alive for ever because
  // nobody who is left watches them.
  Fleet fleet = MakeFleet(60);
  for (std::uint64_t id = 10; id <= 60; ++id) {
    fleet.silent.insert({id});
  }
  REQUIRE(HasUnwatchedGhost(fleet));
  Run(fleet, milliseconds{120000});
  for (std::uint64_t id = 1; id <= 9; ++id) {
    CHECK(AliveCount(fleet.daemons.at({id})) == 9);
  }
}

TEST_CASE("liveness: the loss of a whole data centre is found") {
  // Its members have one watcher outside, and two observers are needed.
  Fleet fleet = MakeFleet(18);
  Run(fleet, milliseconds{3000});
  for (std::uint64_t id = 3; id <= 18; id += 3) {
    fleet.silent.insert({id});
  }
  Run(fleet, milliseconds{20000});
  for (std::uint64_t id = 1; id <= 17; ++id) {
    if (id % 3 != 0) {
      CHECK(AliveCount(fleet.daemons.at({id})) == 12);
    }
  }
}

TEST_CASE("liveness: a member that was just heard from is not pinged") {
  MembershipState state = MakeMembershipState(MemberOf(1), {}, TimePoint{});
  Actions actions;
  OnTableMembers(state, TimePoint{}, std::vector{MemberOf(4)}, actions);
  const auto pings = [&](int at) {
    Actions list;
    OnTick(state, TimePoint{milliseconds{at}}, list);
    return std::ranges::count_if(list, [](const Action& action) {
      return std::holds_alternative<SendPing>(action);
    });
  };
  CHECK(pings(1000) == 1);
  OnHeard(state, TimePoint{milliseconds{1300}}, {4});
  CHECK(pings(1750) == 0);
  CHECK(pings(1800) == 1);
}

TEST_CASE("liveness: probes find no running member lost") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{60000});
  CHECK(fleet.lost_seen.empty());
  for (const auto& [id, state] : fleet.daemons) {
    CHECK(state.counters.suspicions_sent == 0);
    CHECK(state.probed.size() <= 1);
  }
}

TEST_CASE("liveness: one observer alone does not find a member lost") {
  MembershipState state = MakeMembershipState(MemberOf(1), {}, TimePoint{});
  Actions actions;
  OnTableMembers(state, TimePoint{},
                 std::vector{MemberOf(2), MemberOf(3), MemberOf(4)}, actions);
  OnSuspicion(state, TimePoint{}, {2}, {3}, 1, actions);
  OnSuspicion(state, TimePoint{}, {2}, {3}, 1, actions);
  CHECK(IsAlive(*FindMember(state, {3})));
  OnSuspicion(state, TimePoint{}, {4}, {3}, 1, actions);
  CHECK_FALSE(IsAlive(*FindMember(state, {3})));
}

TEST_CASE("liveness: a member that was found lost refutes when it is back") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{3000});
  fleet.silent.insert({6});
  Run(fleet, milliseconds{10000});
  fleet.silent.clear();
  Run(fleet, milliseconds{15000});
  for (const auto& [id, state] : fleet.daemons) {
    CHECK(IsAlive(*FindMember(state, {6})));
  }
  CHECK(fleet.daemons.at({6}).counters.refutations >= 1);
}

TEST_CASE("liveness: a paused watcher does not blame those it watches") {
  Fleet fleet = MakeFleet(12);
  Run(fleet, milliseconds{3000});
  MembershipState& state = fleet.daemons.at({3});
  Actions actions;
  OnTick(state, fleet.now + milliseconds{20000}, actions);
  CHECK(std::ranges::none_of(actions, [](const Action& action) {
    return std::holds_alternative<SendSuspicion>(action);
  }));
}

TEST_CASE("watchers: each member has two inside and one outside") {
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
  Member joining = MemberOf(11);
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

TEST_CASE("join: the younger daemon of one name does not serve") {
  MembershipState state = MakeMembershipState(MemberOf(9), {}, TimePoint{});
  state.self.state = MemberState::kJoining;
  Member older = MemberOf(2);
  older.name = "d9";
  Actions actions;
  OnTableMembers(state, TimePoint{}, std::vector{older}, actions);
  CHECK_FALSE(MayServe(state));
  older.state = MemberState::kLost;
  OnTableMembers(state, TimePoint{}, std::vector{older}, actions);
  CHECK(MayServe(state));
}

TEST_CASE("join: an earlier run at the own address is found lost at once") {
  // Guards against a restarted daemon, alone in its data centre, that waits for
  // ever for a verdict about its predecessor.
  MembershipState state = MakeMembershipState(MemberOf(9), {}, TimePoint{});
  state.self.state = MemberState::kJoining;
  Member earlier = MemberOf(9);
  earlier.id = {2};
  Actions actions;
  OnTableMembers(state, TimePoint{}, std::vector{earlier}, actions);
  CHECK(MayServe(state));
  CHECK(FindMember(state, {2})->state == MemberState::kLost);
}

TEST_CASE("announcements: the relay writes a change once it is confirmed") {
  MembershipState state = MakeMembershipState(MemberOf(3), {}, TimePoint{});
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

TEST_CASE("announcements: a data centre without members is announced by one") {
  // Guards against rows of lost members that stay in the table because their
  // data centre has no relay.
  Fleet fleet = MakeFleet(9);
  for (const std::uint64_t id : {3U, 6U, 9U}) {
    fleet.silent.insert({id});
  }
  std::map<base::DaemonId, std::set<base::DaemonId>> announcers;
  for (int step = 0; step < 600; ++step) {
    Run(fleet, kStep);
    for (auto& [id, state] : fleet.daemons) {
      for (const auto& [member, version] : state.announcing) {
        if (member.value % 3 == 0 && !fleet.silent.contains(id)) {
          announcers[member].insert(id);
        }
      }
    }
  }
  // The lowest id of the region of "dc0" that is alive.
  const std::set<base::DaemonId> relay{{1}};
  for (const std::uint64_t id : {3U, 6U, 9U}) {
    CHECK(announcers[{id}] == relay);
  }
}

}  // namespace
}  // namespace eelgrassbridge::membership
