// Guards the control thread's work as a whole: several control states with one
// in-memory table and simulated time must agree on owners, never serve a group
// twice, and take over, move and hand on as the design says.
#include <doctest/doctest.h>

#include <functional>
#include <set>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/daemon/control_events.hpp"
#include "eelgrassbridge/daemon/control_status.hpp"
#include "eelgrassbridge/daemon/request_id_records.hpp"

namespace eelgrassbridge::daemon {

namespace {

catalogue::Catalogue SomeCatalogue() {
  catalogue::Catalogue catalogue;
  catalogue.site = "astillas";
  catalogue.data_centres = {{"sur-canelones", "sur"}, {"sur-cerro", "sur"}};
  catalogue::Service service;
  service.name = "listing";
  service.owner = "stock";
  service.divided_by_key = true;
  service.instances = 3;
  service.regions = {"sur"};
  service.kinds.emplace_back().name = "read";
  catalogue.services = {service};
  return catalogue;
}

settings::Settings SettingsOf(int number) {
  settings::Settings settings;
  settings.site = "astillas";
  settings.name = "d" + std::to_string(number);
  settings.region = "sur";
  settings.data_centre = number % 2 == 0 ? "sur-cerro" : "sur-canelones";
  settings.http = {"127.0.0.1", static_cast<std::uint16_t>(8000 + number)};
  settings.peer = {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
  settings.seeds = {{"127.0.0.1", 9000}};
  settings.target.service = "listing";
  return settings;
}

/// Fixed, so that each run takes the same way.
base::DaemonId IdOf(int number) {
  return {base::Hash64(std::to_string(number))};
}

struct Node {
  Node(int number, base::TimePoint now)
      : settings(SettingsOf(number)),
        context(settings),
        state(settings, initial, context, IdOf(number), now) {}

  settings::Settings settings;
  catalogue::Catalogue initial = SomeCatalogue();
  RequestContext context;
  ControlState state;
  bool runs = true;
  std::vector<wire::Incoming> inbox;
};

struct Site {
  explicit Site(int count) {
    for (int number = 0; number < count; ++number) {
      this->Add(number);
    }
  }

  Node& Add(int number) {
    this->nodes.push_back(std::make_unique<Node>(number, this->now));
    Node& node = *this->nodes.back();
    OnTargetEvent(node.state, this->now, {true, false});
    return node;
  }

  void Deliver(Node& from, const wire::Outgoing& outgoing) {
    for (const auto& node : this->nodes) {
      const bool is_receiver =
          node->state.membership.self.peer_address == outgoing.address &&
          (!outgoing.to || outgoing.to == node->state.self);
      if (node->runs && is_receiver) {
        node->inbox.push_back({from.state.self, outgoing.message});
      }
    }
  }

  void RunStore(Node& node) {
    while (!node.state.to_reader.empty()) {
      StoreReadResult result{node.state.to_reader.front(), this->now, {}};
      node.state.to_reader.pop_front();
      if (this->store_runs) {
        result = RunRead(this->store, result.read);
        result.sent_at = this->now;
      }
      OnReadResult(node.state, this->now, result);
    }
    while (!node.state.to_writer.empty()) {
      const StoreWrite write = node.state.to_writer.front();
      node.state.to_writer.pop_front();
      if (this->store_runs) {
        OnWriteResult(node.state, this->now, RunWrite(this->store, write));
      } else if (const auto* const lost =
                     std::get_if<store::Transaction>(&write)) {
        OnWriteResult(node.state, this->now,
                      TransactionEnd{lost->operation_id, {}});
      }
    }
  }

  void Step() {
    this->now += kTick;
    for (const auto& node : this->nodes) {
      if (!node->runs) {
        continue;
      }
      std::vector<wire::Incoming> inbox;
      inbox.swap(node->inbox);
      for (wire::Incoming& incoming : inbox) {
        OnPeerMessage(node->state, this->now, std::move(incoming));
      }
      OnControlTick(node->state, this->now);
      this->RunStore(*node);
      FinishRound(node->state, this->now);
      std::vector<wire::Outgoing> outgoing;
      outgoing.swap(node->state.to_peers);
      for (const wire::Outgoing& message : outgoing) {
        this->Deliver(*node, message);
      }
    }
    this->CheckExclusive();
  }

  /// A paused or killed daemon counts too: its workers may still run.
  void CheckExclusive() {
    std::set<base::GroupId> served;
    for (const auto& node : this->nodes) {
      for (const auto& [group, gate] : node->state.gates.open) {
        if (!gate->released.load() && IsLeaseValid(*gate, this->now)) {
          const std::string name = base::ToString(group);
          CAPTURE(name);
          REQUIRE(served.insert(group).second);
        }
      }
    }
  }

  /// Groups that some running daemon may serve now.
  std::size_t Served() const {
    std::size_t count = 0;
    for (const auto& node : this->nodes) {
      for (const auto& [group, gate] : node->state.gates.open) {
        count += node->runs && !gate->released.load() &&
                 IsLeaseValid(*gate, this->now);
      }
    }
    return count;
  }

  bool RunUntil(const std::function<bool()>& holds, base::Duration longest) {
    const base::TimePoint end = this->now + longest;
    while (this->now < end) {
      this->Step();
      if (holds()) {
        return true;
      }
    }
    return false;
  }

  bool IsWholeServed() const { return this->Served() == kGroups; }

  static constexpr std::size_t kGroups = 12;
  static constexpr base::Duration kTick = base::milliseconds{50};
  base::TimePoint now = base::FromMicroseconds(1'000'000'000);
  std::shared_ptr<store::MemoryTable> table =
      std::make_shared<store::MemoryTable>();
  store::Store store = store::MakeMemoryStore(this->table);
  bool store_runs = true;
  std::vector<std::unique_ptr<Node>> nodes;
};

/// All running daemons name the same owner for each group.
bool AgreeOnOwners(const Site& site) {
  for (const base::GroupId& group : catalogue::AllGroups(SomeCatalogue())) {
    std::set<base::DaemonId> owners;
    for (const auto& node : site.nodes) {
      if (node->runs) {
        const auto view = node->context.routing.view.load();
        owners.insert(FindOwner(*view, group).owner);
      }
    }
    if (owners.size() != 1 || owners.contains(base::DaemonId{})) {
      return false;
    }
  }
  return true;
}

std::shared_ptr<GroupGate> GateFor(const Node& node, const std::string& key) {
  const auto view = node.context.routing.view.load();
  const base::GroupId group =
      GroupForKey(*view, view->catalogue->services.at(0), "sur", key);
  const auto gate = view->owned.find(group);
  return gate == view->owned.end() ? nullptr : gate->second;
}

/// Sends one request for the key as workers would, asking every daemon, and
/// returns the one that served it. No two may.
Node* Send(const Site& site, const std::string& key) {
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
/// Steps with 100 requests/s for the other keys, and as many for a hot key.
bool RunLoadUntil(Site& site,
                  bool is_hot,
                  const std::vector<std::string>& other_keys,
                  const std::function<bool(Node*)>& holds) {
  std::size_t next = 0;
  return site.RunUntil(
      [&] {
        Node* server = nullptr;
        for (int i = 0; i < 5; ++i) {
          Send(site, other_keys[next++ % other_keys.size()]);
          server = is_hot ? Send(site, kHotKey) : nullptr;
        }
        return holds(server);
      },
      base::seconds{60});
}

}  // namespace

TEST_CASE("a site starts from an empty table and agrees on owners") {
  Site site(3);
  REQUIRE(
      site.RunUntil([&] { return site.IsWholeServed(); }, base::seconds{60}));
  CHECK(site.RunUntil([&] { return AgreeOnOwners(site); }, base::seconds{30}));
  for (const auto& node : site.nodes) {
    CHECK(node->context.routing.view.load()->ready);
    CHECK(node->context.routing.view.load()->catalogue->version == 1);
    CHECK(StatusOf(node->state).daemons.size() == 3);
  }
}

TEST_CASE("the groups of a killed daemon are served again within 5 s") {
  Site site(3);
  REQUIRE(
      site.RunUntil([&] { return site.IsWholeServed(); }, base::seconds{60}));
  // Deputies must have read their rows before they may take over.
  site.RunUntil([] { return false; }, base::seconds{20});
  site.nodes[1]->runs = false;
  CHECK(site.RunUntil([&] { return site.IsWholeServed(); }, base::seconds{5}));
}

TEST_CASE("a store outage alone stops nothing") {
  Site site(3);
  REQUIRE(
      site.RunUntil([&] { return site.IsWholeServed(); }, base::seconds{60}));
  site.RunUntil([] { return false; }, base::seconds{20});
  site.store_runs = false;
  bool whole = true;
  site.RunUntil(
      [&] {
        whole = whole && site.IsWholeServed();
        return false;
      },
      base::seconds{60});
  CHECK(whole);
}

TEST_CASE("a planned stop moves every group without a gap of the lease") {
  Site site(3);
  REQUIRE(
      site.RunUntil([&] { return site.IsWholeServed(); }, base::seconds{60}));
  site.RunUntil([] { return false; }, base::seconds{20});
  Node& leaving = *site.nodes[2];
  OnCommand(leaving.state, site.now, StartDrain{});
  CHECK(site.RunUntil(
      [&] { return leaving.state.gates.open.empty() && site.IsWholeServed(); },
      base::seconds{20}));
  auto answer = std::make_shared<std::promise<bool>>();
  OnCommand(leaving.state, site.now, QueryDrained{answer});
  CHECK(answer->get_future().get());
}

TEST_CASE("a catalogue change reaches every daemon and never reverts") {
  Site site(3);
  REQUIRE(
      site.RunUntil([&] { return site.IsWholeServed(); }, base::seconds{60}));
  CatalogueChange change;
  change.expected_version = 1;
  change.operation_id = base::RandomHex128();
  change.next = SomeCatalogue();
  change.next.out_of_service = {
      {catalogue::OutOfService::What::kDataCentre, "sur-canelones", false}};
  const auto submit = [&](Node& node) {
    auto answer = std::make_shared<std::promise<ChangeResult>>();
    OnCommand(node.state, site.now, ApplyCatalogueChange{change, answer});
    site.Step();
    return answer->get_future().get();
  };
  CHECK(submit(*site.nodes[0]).status == ChangeResult::Status::kAccepted);
  // A second operator who started from version 1 is shown the winner's.
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
        return site.nodes[1]->state.gates.open.empty() && site.IsWholeServed();
      },
      base::seconds{20}));
}

TEST_CASE("a daemon that starts while the store is down learns from peers") {
  Site site(3);
  REQUIRE(
      site.RunUntil([&] { return site.IsWholeServed(); }, base::seconds{60}));
  site.store_runs = false;
  Node& late = site.Add(3);
  CHECK(site.RunUntil(
      [&] {
        const auto view = late.context.routing.view.load();
        return view != nullptr && view->ready && AgreeOnOwners(site);
      },
      base::seconds{20}));
  CHECK(late.state.gates.open.empty());
}

// With gossip alone, once a second, a caller that sent a poison request again
// after 200 ms stopped 3.2 targets on average; two are allowed.
TEST_CASE("all daemons of a service know of a target's death at once") {
  Site site(5);
  const auto knows_all = [](const auto& node) {
    return node->state.view.peers.size() == 5;
  };
  REQUIRE(
      site.RunUntil([&] { return std::ranges::all_of(site.nodes, knows_all); },
                    base::seconds{60}));
  const routing::Fingerprint fingerprint{1, 2};
  PoisonState& poison = site.nodes[3]->context.poison;
  routing::NoteDeath(poison.quarantine, fingerprint, 7, site.now);
  poison.has_suspects = true;
  poison.has_news = true;
  const auto knows = [&](const auto& node) {
    return routing::VerdictOf(node->context.poison.quarantine, fingerprint,
                              site.now) == routing::PoisonVerdict::kRunAlone;
  };
  CHECK(site.RunUntil([&] { return std::ranges::all_of(site.nodes, knows); },
                      2 * Site::kTick));
}

// Guards against an overloaded owner that nobody relieves, and against a key
// served by the parent's owner and by its own at once.
TEST_CASE("a hot key moves to the least loaded daemon and comes back") {
  Site site(3);
  REQUIRE(
      site.RunUntil([&] { return site.IsWholeServed(); }, base::seconds{60}));
  Node* const parent_owner = Send(site, kHotKey);
  REQUIRE(parent_owner != nullptr);
  Node* const idle =
      site.nodes[site.nodes[0].get() == parent_owner ? 1 : 0].get();
  std::vector<std::string> others(200);
  std::ranges::generate(
      others, [i = 0]() mutable { return "key-" + std::to_string(i++); });
  std::erase_if(others, [&](auto& key) { return Send(site, key) == idle; });
  for (const auto& node : site.nodes) {
    node->state.ownership.options.cool_time = base::seconds{20};
  }
  const auto old_gate = GateFor(*parent_owner, kHotKey);
  // Carved out, and still with the parent's owner: an id is issued here.
  REQUIRE(RunLoadUntil(site, true, others, [&](Node* server) {
    return server != nullptr && GateFor(*server, kHotKey)->group.hot_key;
  }));
  CHECK(Send(site, kHotKey) == parent_owner);
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
  // The receiver is now the most loaded daemon; the key must not go round.
  CHECK_FALSE(RunLoadUntil(site, true, others,
                           [&](Node* server) { return server != idle; }));
  REQUIRE(RunLoadUntil(site, false, others, [&](Node*) {
    const auto gate = GateFor(*parent_owner, kHotKey);
    return gate != nullptr && !gate->group.hot_key && site.IsWholeServed();
  }));
  CHECK(Send(site, kHotKey) == parent_owner);
}

}  // namespace eelgrassbridge::daemon
