// The parts of a daemon around its core: messages, gates, requests, target.
#include <algorithm>
#include <type_traits>
#include <variant>

#include "simulation.hpp"

namespace eelgrassbridge::histories {

namespace {

constexpr std::uint64_t kHotKeyHash = 111;
constexpr std::uint32_t kKeys = 3;
constexpr const char* kService = "listing";
constexpr const char* kResidency = "sur";

base::GroupId GroupOf(std::uint32_t key) {
  return {kService, kResidency, key == kKeys - 1 ? 1U : 0U, std::nullopt};
}

Slot* FindSlot(Simulation& sim, base::DaemonId id) {
  const auto found = std::ranges::find_if(sim.slots, [&](const Slot& slot) {
    return slot.alive && slot.core.self == id;
  });
  return found == sim.slots.end() ? nullptr : &*found;
}

/// Sends a message; `receive` passes it to the receiver's core.
template <typename Receive>
void Send(Simulation& sim, Slot& from, base::DaemonId to, Receive receive) {
  Slot* target = FindSlot(sim, to);
  if (target == nullptr || target->index == from.index ||
      sim.now < sim.cut_until[from.index][target->index] ||
      (sim.now < sim.lossy_until && Chance(sim, 40))) {
    return;
  }
  // A few messages stay in a send queue for seconds.
  const Micros delay = Chance(sim, 3)
                           ? Draw(sim, 200 * kMillisecond, 5 * kSecond)
                           : Draw(sim, 200, 4 * kMillisecond);
  InDaemon(sim, target->index, target->run, sim.now + delay,
           [&sim, receive](Slot& receiver) {
             ownership::Actions actions;
             receive(receiver.core, LocalTime(sim, receiver), actions);
             CarryOut(sim, receiver, actions);
           });
}

void PollDrained(Simulation& sim,
                 Slot& slot,
                 const ownership::GroupEpoch& group,
                 const std::shared_ptr<Gate>& gate) {
  InDaemon(sim, slot.index, slot.run, sim.now + 10 * kMillisecond,
           [&sim, group, gate](Slot& holder) {
             if (gate->in_flight > 0) {
               PollDrained(sim, holder, group, gate);
               return;
             }
             // Drained groups are reported together, as the daemon does, so
             // that releases of several groups in one transaction occur.
             std::vector<ownership::GroupEpoch> drained{group};
             for (const auto& [other, other_gate] : holder.gates) {
               if (other_gate->released && other_gate->in_flight == 0 &&
                   other != group.group) {
                 drained.push_back({other, other_gate->epoch});
               }
             }
             ownership::Actions actions;
             ownership::OnReleaseDrained(holder.core, LocalTime(sim, holder),
                                         drained, actions);
             CarryOut(sim, holder, actions);
           });
}

struct Performer {
  Simulation& sim;
  Slot& slot;

  void operator()(const ownership::SendPromiseRequest& a) const {
    const base::DaemonId from = this->slot.core.self;
    Send(this->sim, this->slot, a.to,
         [from, a](auto& core, auto now, auto& actions) {
           ownership::OnPromiseRequest(core, now, from, a.sent_at, a.groups,
                                       actions);
         });
  }
  void operator()(const ownership::SendPromiseReply& a) const {
    const base::DaemonId from = this->slot.core.self;
    Send(this->sim, this->slot, a.to,
         [from, a](auto& core, auto now, auto& actions) {
           ownership::OnPromiseReply(core, now, from, a.echoed_sent_at,
                                     a.granted, actions);
         });
  }
  void operator()(const ownership::SendStopPromising& a) const {
    const base::DaemonId from = this->slot.core.self;
    Send(this->sim, this->slot, a.to,
         [from, a](auto& core, auto now, auto& actions) {
           ownership::OnStopPromising(core, now, from, a.group, a.row_version,
                                      actions);
         });
  }
  void operator()(const ownership::SendStoppedPromising& a) const {
    const base::DaemonId from = this->slot.core.self;
    Send(this->sim, this->slot, a.to, [from, a](auto& core, auto now, auto&) {
      ownership::OnStoppedPromising(core, now, from, a.group, a.row_version);
    });
  }
  void operator()(const ownership::NotifyReceiver& a) const {
    ++this->sim.result.releases;
    Send(this->sim, this->slot, a.to, [a](auto& core, auto now, auto& actions) {
      ownership::OnReleaseDone(core, now, a.group, actions);
    });
  }
  void operator()(const ownership::SubmitTransaction& a) const {
    SubmitToTable(this->sim, this->slot, a.transaction);
  }
  void operator()(const ownership::ReadRows& a) const {
    ReadFromTable(this->sim, this->slot, a.groups, false);
  }
  void operator()(const ownership::SendGrant&) const {}
  void operator()(const ownership::OpenGate& a) const {
    auto gate = std::make_shared<Gate>();
    gate->epoch = a.group.epoch;
    gate->lease_end = a.lease_end;
    gate->carved_out = a.carved_out;
    this->slot.gates[a.group.group] = gate;
    ownership::GroupRow assignment;
    assignment.group = a.group.group;
    assignment.epoch = a.group.epoch;
    assignment.owner = this->slot.core.self;
    this->sim.history.acted_on.emplace_back(assignment, this->sim.now);
  }
  void operator()(const ownership::ExtendLease& a) const {
    this->slot.gates.at(a.group.group)->lease_end = a.lease_end;
  }
  void operator()(const ownership::CloseGate& a) const {
    this->slot.gates.at(a.group.group)->lease_end = {};
    this->slot.gates.erase(a.group.group);
  }
  void operator()(const ownership::BeginDrain& a) const {
    const std::shared_ptr<Gate> gate = this->slot.gates.at(a.group.group);
    gate->released = true;
    PollDrained(this->sim, this->slot, a.group, gate);
  }
  void operator()(const ownership::RowChanged& a) const {
    // Gossip reaches only some daemons at once, so that outdated views are
    // common.
    for (Slot& other : this->sim.slots) {
      if (other.index != this->slot.index && Chance(this->sim, 40)) {
        Send(this->sim, this->slot, other.core.self,
             [a](auto& core, auto now, auto& actions) {
               ownership::OnPeerRows(core, now, std::span(&a.row, 1), actions);
             });
      }
    }
  }
};

/// The gate that admits a key in this daemon, or null.
std::shared_ptr<Gate> GateFor(const Slot& slot,
                              std::uint32_t key,
                              base::GroupId& group) {
  group = GroupOf(key);
  if (key == 0) {
    base::GroupId hot = group;
    hot.hot_key = kHotKeyHash;
    const auto found = slot.gates.find(hot);
    if (found != slot.gates.end()) {
      group = hot;
      return found->second;
    }
  }
  const auto found = slot.gates.find(group);
  if (found == slot.gates.end() ||
      (key == 0 && !found->second->carved_out.empty())) {
    return nullptr;
  }
  return found->second;
}

struct HandOver {
  std::uint32_t key = 0;
  base::GroupId group;
  std::shared_ptr<Gate> gate;
  base::TimePoint not_after;
};

/// The target accepts the request if its Not-After has not passed, and ends it
/// at that time at the latest.
void RunOnTarget(Simulation& sim, Slot& slot, const HandOver& request) {
  const base::TimePoint local = LocalTime(sim, slot);
  const bool is_late = local > request.not_after;
  if (is_late && !sim.options.broken_model.no_not_after) {
    --request.gate->in_flight;
    return;
  }
  const Micros last =
      is_late ? sim.now + kRunLimit : RealTime(sim, slot, request.not_after);
  const Micros end = std::min(sim.now + Draw(sim, 100, kRunLimit), last);
  slot.running.emplace_back(sim.history.served.size(), last);
  sim.history.served.push_back({request.key, request.group, request.gate->epoch,
                                slot.core.self, sim.now, end});
  ++sim.result.requests_served;
  const std::shared_ptr<Gate> gate = request.gate;
  At(sim, end, [gate] { --gate->in_flight; });
}

}  // namespace

void CarryOut(Simulation& sim, Slot& slot, ownership::Actions& actions) {
  for (const ownership::Action& action : actions) {
    std::visit(Performer{sim, slot}, action);
  }
}

void SendRequest(Simulation& sim, Slot& slot) {
  const auto key = static_cast<std::uint32_t>(Draw(sim, 0, kKeys - 1));
  HandOver request;
  request.key = key;
  request.gate = GateFor(slot, key, request.group);
  const base::TimePoint local = LocalTime(sim, slot);
  if (request.gate == nullptr || request.gate->released ||
      local >= request.gate->lease_end) {
    return;
  }
  ++request.gate->in_flight;
  const base::Duration run_limit{kRunLimit};
  request.not_after =
      std::min(local + run_limit, request.gate->lease_end + run_limit);
  // The worker may be paused between the check and the send.
  const Micros pause = Chance(sim, 5) ? Draw(sim, 0, 4 * kSecond) : 0;
  InDaemon(
      sim, slot.index, slot.run, sim.now + 50 + pause,
      [&sim, request](Slot& holder) { RunOnTarget(sim, holder, request); });
}

void SendRows(Simulation& sim, Slot& slot) {
  const auto at = static_cast<std::size_t>(
      Draw(sim, 0, static_cast<Micros>(sim.slots.size()) - 1));
  std::vector<ownership::GroupRow> rows;
  for (const auto& [group, row] : slot.core.rows) {
    rows.push_back(row);
  }
  Send(sim, slot, sim.slots[at].core.self,
       [rows](auto& core, auto now, auto& actions) {
         ownership::OnPeerRows(core, now, rows, actions);
       });
}

void StartDaemon(Simulation& sim, Slot& slot) {
  ++slot.run;
  slot.alive = true;
  slot.paused_until = 0;
  slot.gates.clear();
  slot.last_reachable.clear();
  slot.lost_until.clear();
  ownership::OwnershipOptions options;
  options.deputy_read_bound = base::seconds{6};
  options.hot_time = base::seconds{1};
  options.cool_time = base::milliseconds{1500};
  options.unknown_member_grace = base::seconds{3};
  options.broken = sim.options.broken_rules;
  const base::DaemonId id{(std::uint64_t{slot.index} + 1) * 1000 + slot.run};
  slot.core = ownership::MakeOwnershipState(id, options, LocalTime(sim, slot));
  ownership::OnCatalogue(slot.core, LocalTime(sim, slot), sim.catalogue);
  ReadFromTable(sim, slot, {}, true);
}

}  // namespace eelgrassbridge::histories
