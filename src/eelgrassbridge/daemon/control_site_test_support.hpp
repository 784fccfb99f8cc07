// A simulated site: several control states with one in-memory table and
// simulated time.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_SITE_TEST_SUPPORT_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_SITE_TEST_SUPPORT_HPP

#include <doctest/doctest.h>

#include <functional>
#include <set>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/daemon/control_events.hpp"
#include "eelgrassbridge/daemon/control_status.hpp"

namespace eelgrassbridge::daemon {

inline catalogue::Catalogue MakeCatalogue() {
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

inline settings::Settings MakeSettings(int number) {
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

/// Returns a fixed id, so that every run of a test is the same.
inline base::DaemonId MakeDaemonId(int number, int run) {
  const std::string name = std::to_string(number);
  return {base::Hash64(run == 0 ? name : name + "/" + std::to_string(run))};
}

struct Node {
  Node(int number, int run, base::TimePoint now)
      : settings(MakeSettings(number)),
        context(settings),
        state(settings, initial, context, MakeDaemonId(number, run), now) {}

  settings::Settings settings;
  catalogue::Catalogue initial = MakeCatalogue();
  RequestContext context;
  ControlState state;
  bool is_running = true;
  std::vector<wire::IncomingMessage> inbox;
};

struct Site {
  explicit Site(int count) {
    for (int number = 0; number < count; ++number) {
      this->Add(number);
    }
  }

  /// Starts a daemon.
  /// @param run number of the start at this address, from 0
  Node& Add(int number, int run = 0) {
    this->nodes.push_back(std::make_unique<Node>(number, run, this->now));
    Node& node = *this->nodes.back();
    OnTargetEvent(node.state, this->now, {true, false});
    return node;
  }

  void Deliver(Node& from, const wire::OutgoingMessage& outgoing) {
    for (const auto& node : this->nodes) {
      const bool is_receiver =
          node->state.membership.self.peer_address == outgoing.address &&
          (!outgoing.to || outgoing.to == node->state.self);
      if (node->is_running && is_receiver) {
        node->inbox.push_back({from.state.self, outgoing.message});
      }
    }
  }

  void RunStore(Node& node) {
    while (!node.state.to_reader.empty()) {
      StoreReadResult result{node.state.to_reader.front(), this->now, {}};
      node.state.to_reader.pop_front();
      if (this->is_store_up) {
        result = RunRead(this->store, result.read);
        result.sent_at = this->now;
      }
      OnReadResult(node.state, this->now, result);
    }
    while (!node.state.to_writer.empty()) {
      const StoreWrite write = node.state.to_writer.front();
      node.state.to_writer.pop_front();
      if (this->is_store_up) {
        OnWriteResult(node.state, this->now, RunWrite(this->store, write));
      } else if (const auto* const lost =
                     std::get_if<store::Transaction>(&write)) {
        OnWriteResult(node.state, this->now,
                      TransactionCompletion{lost->operation_id, {}});
      }
    }
  }

  void Step() {
    this->now += kTick;
    for (const auto& node : this->nodes) {
      if (!node->is_running) {
        continue;
      }
      std::vector<wire::IncomingMessage> inbox;
      inbox.swap(node->inbox);
      for (wire::IncomingMessage& incoming : inbox) {
        OnPeerMessage(node->state, this->now, std::move(incoming));
      }
      OnControlTick(node->state, this->now);
      this->RunStore(*node);
      FinishRound(node->state, this->now);
      std::vector<wire::OutgoingMessage> outgoing;
      outgoing.swap(node->state.to_peers);
      for (const wire::OutgoingMessage& message : outgoing) {
        this->Deliver(*node, message);
      }
    }
    this->CheckExclusive();
  }

  /// Checks that no group is served by two daemons. Paused and killed daemons
  /// count too, since their workers may still be running.
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

  /// Returns the number of groups that a running daemon may serve now.
  std::size_t CountServedGroups() const {
    std::size_t count = 0;
    for (const auto& node : this->nodes) {
      for (const auto& [group, gate] : node->state.gates.open) {
        count += node->is_running && !gate->released.load() &&
                 IsLeaseValid(*gate, this->now);
      }
    }
    return count;
  }

  bool RunUntil(const std::function<bool()>& condition,
                base::Duration timeout) {
    const base::TimePoint end = this->now + timeout;
    while (this->now < end) {
      this->Step();
      if (condition()) {
        return true;
      }
    }
    return false;
  }

  bool AreAllGroupsServed() const {
    return this->CountServedGroups() == kGroups;
  }

  static constexpr std::size_t kGroups = 12;
  static constexpr base::Duration kTick = base::milliseconds{50};
  base::TimePoint now = base::FromMicroseconds(1'000'000'000);
  std::shared_ptr<store::MemoryTable> table =
      std::make_shared<store::MemoryTable>();
  store::Store store = store::MakeMemoryStore(this->table);
  bool is_store_up = true;
  std::vector<std::unique_ptr<Node>> nodes;
};

/// Returns whether the views of all running daemons have the same owner for
/// each group.
inline bool DaemonsAgreeOnOwners(const Site& site) {
  for (const base::GroupId& group : catalogue::AllGroups(MakeCatalogue())) {
    std::set<base::DaemonId> owners;
    for (const auto& node : site.nodes) {
      if (node->is_running) {
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

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_SITE_TEST_SUPPORT_HPP
