// Tests the control thread as a whole: several control states with one
// in-memory table and simulated time must agree on owners, never serve a group
// twice, and take over and move groups correctly.
#include "control_site_test_support.hpp"

namespace eelgrassbridge::daemon {

namespace {

std::shared_ptr<GroupGate> GateFor(const Node& node, const std::string& key) {
  const auto view = node.context.routing.view.load();
  const base::GroupId group =
      GroupForKey(*view, view->catalogue->services.at(0), "sur", key);
  const auto gate = view->owned.find(group);
  return gate == view->owned.end() ? nullptr : gate->second;
}

/// Sends one request for the key to every daemon and returns the one that
/// served it. Fails if two daemons do.
Node* SendRequest(const Site& site, const std::string& key) {
  Node* server = nullptr;
  for (const auto& node : site.nodes) {
    const auto gate = GateFor(*node, key);
    if (gate != nullptr && TryEnter(*gate, site.now)) {
      REQUIRE(server == nullptr);
      server = node.get();
      CountKey(*gate, key);
      Leave(*gate);
    }
  }
  return server;
}

const std::string kHotKey = "pallet-7";
/// Runs with 100 requests/s for the other keys and, if `is_hot`, as many for
/// the hot key.
bool RunLoadUntil(Site& site,
                  bool is_hot,
                  const std::vector<std::string>& other_keys,
                  const std::function<bool(Node*)>& condition) {
  std::size_t next = 0;
  return site.RunUntil(
      [&] {
        Node* server = nullptr;
        for (int i = 0; i < 5; ++i) {
          SendRequest(site, other_keys[next++ % other_keys.size()]);
          server = is_hot ? SendRequest(site, kHotKey) : nullptr;
        }
        return condition(server);
      },
      base::seconds{60});
}

}  // namespace

TEST_CASE("a site starts from an empty table and agrees on owners") {
  Site site(3);
  REQUIRE(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                        base::seconds{60}));
  CHECK(site.RunUntil([&] { return DaemonsAgreeOnOwners(site); },
                      base::seconds{30}));
  for (const auto& node : site.nodes) {
    CHECK(node->context.routing.view.load()->ready);
    CHECK(node->context.routing.view.load()->catalogue->version == 1);
    CHECK(MakeFleetStatus(node->state).daemons.size() == 3);
  }
}

TEST_CASE("the groups of a killed daemon are served again within 5 s") {
  Site site(3);
  REQUIRE(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                        base::seconds{60}));
  // Deputies must have read their rows before they may take over.
  site.RunUntil([] { return false; }, base::seconds{20});
  site.nodes[1]->is_running = false;
  CHECK(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                      base::seconds{5}));
}

// A third party that has no record of a lost deputy cannot see that a successor
// is running at its address, and waits 900 s (H, the deputy read bound) for its
// promises to end.
TEST_CASE("a site that is restarted twice in a row does not wait for H") {
  Site site(3);
  REQUIRE(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                        base::seconds{60}));
  for (int run = 1; run <= 2; ++run) {
    site.RunUntil([] { return false; }, base::seconds{4});
    for (const auto& node : site.nodes) {
      node->is_running = false;
    }
    for (int number = 0; number < 3; ++number) {
      site.Add(number, run);
    }
  }
  CHECK(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                      base::seconds{60}));
}

TEST_CASE("all groups are served during an outage of the store") {
  Site site(3);
  REQUIRE(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                        base::seconds{60}));
  site.RunUntil([] { return false; }, base::seconds{20});
  site.is_store_up = false;
  bool whole = true;
  site.RunUntil(
      [&] {
        whole = whole && site.AreAllGroupsServed();
        return false;
      },
      base::seconds{60});
  CHECK(whole);
}

TEST_CASE("a planned stop moves every group to another daemon") {
  Site site(3);
  REQUIRE(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                        base::seconds{60}));
  site.RunUntil([] { return false; }, base::seconds{20});
  Node& leaving = *site.nodes[2];
  OnCommand(leaving.state, site.now, StartDrain{});
  CHECK(site.RunUntil(
      [&] {
        return leaving.state.gates.open.empty() && site.AreAllGroupsServed();
      },
      base::seconds{20}));
  auto answer = std::make_shared<std::promise<bool>>();
  OnCommand(leaving.state, site.now, QueryDrained{answer});
  CHECK(answer->get_future().get());
}

TEST_CASE("a catalogue change reaches every daemon and never reverts") {
  Site site(3);
  REQUIRE(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                        base::seconds{60}));
  CatalogueChange change;
  change.expected_version = 1;
  change.operation_id = base::RandomHex128();
  change.next = MakeCatalogue();
  change.next.out_of_service = {
      {catalogue::OutOfService::What::kDataCentre, "sur-canelones", false}};
  const auto submit = [&](Node& node) {
    auto answer = std::make_shared<std::promise<ChangeResult>>();
    OnCommand(node.state, site.now, ApplyCatalogueChange{change, answer});
    site.Step();
    return answer->get_future().get();
  };
  CHECK(submit(*site.nodes[0]).status == ChangeResult::Status::kAccepted);
  // A second change that is based on version 1 fails with the accepted one.
  change.operation_id = base::RandomHex128();
  const ChangeResult late = submit(*site.nodes[2]);
  CHECK(late.status == ChangeResult::Status::kConflict);
  CHECK(late.current.version == 2);
  CHECK(site.RunUntil(
      [&] {
        return std::ranges::all_of(site.nodes, [](const auto& node) {
          return node->state.catalogue.current->version == 2;
        });
      },
      base::seconds{3}));
  // Only d1 is in sur-canelones; its groups move away.
  CHECK(site.RunUntil(
      [&] {
        return site.nodes[1]->state.gates.open.empty() &&
               site.AreAllGroupsServed();
      },
      base::seconds{20}));
}

TEST_CASE("a daemon that starts while the store is down routes by its peers") {
  Site site(3);
  REQUIRE(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                        base::seconds{60}));
  site.is_store_up = false;
  Node& late = site.Add(3);
  CHECK(site.RunUntil(
      [&] {
        const auto view = late.context.routing.view.load();
        return view != nullptr && view->ready && DaemonsAgreeOnOwners(site);
      },
      base::seconds{20}));
  CHECK(late.state.gates.open.empty());
}

// With regular gossip once per second, a caller that repeated a poison request
// after 200 ms stopped 3.2 targets on average; two are allowed.
TEST_CASE("a target's death reaches all daemons of its service at once") {
  Site site(5);
  const auto knows_all = [](const auto& node) {
    return node->state.view.peers.size() == 5;
  };
  REQUIRE(
      site.RunUntil([&] { return std::ranges::all_of(site.nodes, knows_all); },
                    base::seconds{60}));
  const routing::Fingerprint fingerprint{1, 2};
  PoisonState& poison = site.nodes[3]->context.poison;
  routing::RecordTargetDeath(poison.quarantine, fingerprint, 7, site.now);
  poison.has_suspects = true;
  poison.has_unsent_deaths = true;
  const auto knows = [&](const auto& node) {
    return routing::VerdictOf(node->context.poison.quarantine, fingerprint,
                              site.now) == routing::PoisonVerdict::kSingleRun;
  };
  CHECK(site.RunUntil([&] { return std::ranges::all_of(site.nodes, knows); },
                      2 * Site::kTick));
}

// Guards against an overloaded owner that no other daemon relieves, and against
// a key that is served by the parent's owner and its own owner at once.
TEST_CASE("a hot key moves to the least loaded daemon and returns") {
  Site site(3);
  REQUIRE(site.RunUntil([&] { return site.AreAllGroupsServed(); },
                        base::seconds{60}));
  Node* const parent_owner = SendRequest(site, kHotKey);
  REQUIRE(parent_owner != nullptr);
  Node* const idle =
      site.nodes[site.nodes[0].get() == parent_owner ? 1 : 0].get();
  std::vector<std::string> others(200);
  std::ranges::generate(
      others, [i = 0]() mutable { return "key-" + std::to_string(i++); });
  std::erase_if(others,
                [&](auto& key) { return SendRequest(site, key) == idle; });
  for (const auto& node : site.nodes) {
    node->state.ownership.options.cool_time = base::seconds{20};
  }
  const auto old_gate = GateFor(*parent_owner, kHotKey);
  // The key is carved out, but still with the parent's owner, which issues an
  // id.
  REQUIRE(RunLoadUntil(site, true, others, [&](Node* server) {
    return server != nullptr && GateFor(*server, kHotKey)->group.hot_key;
  }));
  CHECK(SendRequest(site, kHotKey) == parent_owner);
  CHECK_FALSE(TryEnter(*old_gate, site.now));
  const auto hot_gate = GateFor(*parent_owner, kHotKey);
  const auto id = limits::ParseRequestId(
      IssueId(parent_owner->context.request_ids, hot_gate->group,
              parent_owner->state.self, hot_gate->epoch));
  REQUIRE(RunLoadUntil(site, true, others,
                       [&](Node* server) { return server == idle; }));
  CHECK(GateFor(*parent_owner, kHotKey) == nullptr);
  const auto new_gate = GateFor(*idle, kHotKey);
  CHECK(new_gate->epoch == hot_gate->epoch + 1);
  site.RunUntil([] { return false; }, base::seconds{1});
  CHECK_FALSE(std::holds_alternative<limits::RefuseId>(
      BeginId(idle->context.request_ids, new_gate->group, idle->state.self,
              new_gate->epoch, *id, {1, 2})));
  // The receiver now has the highest load. The key must not move on.
  CHECK_FALSE(RunLoadUntil(site, true, others,
                           [&](Node* server) { return server != idle; }));
  REQUIRE(RunLoadUntil(site, false, others, [&](Node*) {
    const auto gate = GateFor(*parent_owner, kHotKey);
    return gate != nullptr && !gate->group.hot_key && site.AreAllGroupsServed();
  }));
  CHECK(SendRequest(site, kHotKey) == parent_owner);
}

}  // namespace eelgrassbridge::daemon
