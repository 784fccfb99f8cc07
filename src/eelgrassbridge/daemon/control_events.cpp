// Handlers of the tick, of target events and of commands, and the end of a
// round.
#include "eelgrassbridge/daemon/control_events.hpp"

#include <algorithm>

#include "eelgrassbridge/base/log.hpp"
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/daemon/control_actions.hpp"
#include "eelgrassbridge/daemon/control_catalogue.hpp"
#include "eelgrassbridge/daemon/control_exchange.hpp"
#include "eelgrassbridge/daemon/control_snapshot.hpp"
#include "eelgrassbridge/daemon/control_status.hpp"
#include "eelgrassbridge/daemon/control_table.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"
#include "eelgrassbridge/ownership/ownership_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

using membership::MemberState;

/// Interval at which a deputy checks for owners that no longer send promise
/// requests.
constexpr base::Duration kUnresponsiveCheckInterval = base::milliseconds{250};
/// An unanswered join request is repeated every second for the first 10 s, and
/// then every 10 s, to limit the traffic in a site whose seeds are not running.
constexpr base::Duration kFastJoinPeriod = base::seconds{10};
constexpr base::Duration kFastJoinInterval = base::seconds{1};
constexpr base::Duration kSlowJoinInterval = base::seconds{10};

/// Sends join requests to the seeds until one is answered, even after the table
/// has been read. The table may list a lost daemon as alive, for example an
/// earlier run of this daemon that was the only one of its data centre. Then no
/// relay announces this daemon, and it may not serve.
void TickSeeds(ControlState& state, base::TimePoint now) {
  const std::vector<std::string>& seeds = state.membership.options.seeds;
  if (state.join_answered || !state.membership.joined || seeds.empty() ||
      now < state.next_join) {
    return;
  }
  state.next_join =
      now + (now - state.started_at < kFastJoinPeriod ? kFastJoinInterval
                                                      : kSlowJoinInterval);
  membership::Actions actions;
  actions.emplace_back(membership::SendJoinRequest{
      seeds[state.next_seed++ % seeds.size()], state.membership.self});
  CarryOut(state, now, actions);
}

void ReportUnresponsiveOwners(ControlState& state, base::TimePoint now) {
  if (now < state.next_unresponsive_check) {
    return;
  }
  state.next_unresponsive_check = now + kUnresponsiveCheckInterval;
  membership::Actions actions;
  for (const base::DaemonId owner : ownership::UnresponsiveOwners(
           state.ownership, now, state.settings.membership.suspicion_timeout)) {
    membership::ReportSuspicion(state.membership, now, owner, actions);
  }
  CarryOut(state, now, actions);
}

/// Returns the member state that this daemon should announce.
MemberState DesiredState(const ControlState& state) {
  if (state.draining) {
    return MemberState::kDraining;
  }
  const bool may_serve = state.phase == StartPhase::kRunning &&
                         membership::MayServe(state.membership) &&
                         state.catalogue.current != nullptr &&
                         state.target_usable;
  return may_serve ? MemberState::kServing : MemberState::kJoining;
}

bool IsSelfOutOfService(const ControlState& state) {
  const auto& catalogue = state.catalogue.current;
  return catalogue != nullptr &&
         (catalogue::IsDataCentreOut(*catalogue, state.settings.data_centre) ||
          catalogue::IsTargetOut(*catalogue, state.settings.name));
}

void UpdateSelf(ControlState& state, base::TimePoint now) {
  const MemberState wanted = DesiredState(state);
  const MemberState known = state.membership.self.state;
  if (known != wanted && known != MemberState::kLeft) {
    membership::Actions actions;
    membership::SetSelfState(state.membership, now, wanted, actions);
    CarryOut(state, now, actions);
    // The new state applies to this daemon's own view and placement at once,
    // without waiting for gossip.
    ApplyMember(state.view, state.membership.self);
    ownership::OnMember(
        state.ownership, now,
        {state.self, state.settings.name, state.settings.target.service,
         state.settings.data_centre, state.settings.region,
         wanted == MemberState::kServing, state.membership.self.peer_address});
    base::LogEvent("state_changed",
                   {{"state", std::string(membership::StateName(wanted))}});
  }
  // A daemon is ready even if its target is unusable, since it can forward
  // requests to other daemons.
  const bool is_ready = state.phase == StartPhase::kRunning &&
                        (state.membership.joined || state.snapshot.in_use) &&
                        state.catalogue.current != nullptr;
  ApplyState(
      state.view, is_ready,
      state.draining || !state.target_usable || IsSelfOutOfService(state));
}

/// Returns whether the planned stop may proceed (see QueryDrained).
bool MayStop(const ControlState& state) {
  if (ownership::IsDrained(state.ownership)) {
    return true;
  }
  return std::ranges::none_of(state.view.peers, [&](const auto& entry) {
    return entry.first != state.self && entry.second.accepts_requests &&
           entry.second.service == state.settings.target.service;
  });
}

struct CommandVisitor {
  ControlState& state;
  base::TimePoint now;

  void operator()(ApplyCatalogueChange& command) {
    this->state.to_writer.emplace_back(CatalogueSubmission{
        std::move(command.change), std::move(command.answer)});
  }
  void operator()(QueryStatus& command) {
    command.answer->set_value(MakeFleetStatus(this->state));
  }
  void operator()(StartDrain& /*command*/) {
    this->state.draining = true;
    ownership::SetDraining(this->state.ownership, this->now, true);
  }
  void operator()(QueryDrained& command) {
    command.answer->set_value(MayStop(this->state));
  }
  void operator()(LeaveFleet& command) {
    membership::Actions actions;
    membership::SetSelfState(this->state.membership, this->now,
                             MemberState::kLeft, actions);
    // Gossip at once, so that the others receive the record before the stop.
    this->state.membership.next_gossip = this->now;
    membership::OnTick(this->state.membership, this->now, actions);
    CarryOut(this->state, this->now, actions);
    command.answer->set_value(true);
  }
};

}  // namespace

void OnControlTick(ControlState& state, base::TimePoint now) {
  TickTable(state, now);
  TickSnapshot(state, now);
  if (state.phase == StartPhase::kReading) {
    return;
  }
  TickCatalogue(state, now);
  TickExchange(state, now);
  TickSeeds(state, now);
  ReportUnresponsiveOwners(state, now);
  membership::Actions membership_actions;
  membership::OnTick(state.membership, now, membership_actions);
  CarryOut(state, now, membership_actions);
  ownership::Actions ownership_actions;
  ownership::OnTick(state.ownership, now, ownership_actions);
  CarryOut(state, now, ownership_actions, RowSource::kOther);
}

void OnTargetEvent(ControlState& state,
                   base::TimePoint now,
                   const TargetEvent& event) {
  state.target_usable = event.usable;
  ownership::SetTargetUsable(state.ownership, now, event.usable);
  if (event.new_instance) {
    for (const auto& [group, gate] : state.gates.open) {
      state.to_target.push_back({group, gate->epoch});
    }
  }
}

void OnCommand(ControlState& state,
               base::TimePoint now,
               ControlCommand command) {
  std::visit(CommandVisitor{state, now}, command);
}

void FinishRound(ControlState& state, base::TimePoint now) {
  const auto drained = TakeFinishedDrains(state.gates);
  if (!drained.empty()) {
    ownership::Actions actions;
    ownership::OnReleaseDrained(state.ownership, now, drained, actions);
    CarryOut(state, now, actions, RowSource::kOther);
  }
  UpdateSelf(state, now);
  PublishView(state.view, state.context.routing, now);
}

}  // namespace eelgrassbridge::daemon
