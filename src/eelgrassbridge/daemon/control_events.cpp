// The tick, events of the target, commands, and the end of a round.
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

/// How often a deputy looks for owners that have fallen silent.
constexpr base::Duration kSilenceInterval = base::milliseconds{250};
/// Repeat of an unanswered join: often at first, rarely in a site whose seeds
/// do not run.
constexpr base::Duration kJoinTime = base::seconds{10};
constexpr base::Duration kJoinInterval = base::seconds{1};
constexpr base::Duration kLateJoinInterval = base::seconds{10};

/// Joins at the seeds after the table was read, too. The table may show a lost
/// daemon as alive, e.g. an earlier run of this one that was the only daemon of
/// its data centre, and then neither announces this one nor lets it serve.
void TickSeeds(ControlState& state, base::TimePoint now) {
  const std::vector<std::string>& seeds = state.membership.options.seeds;
  if (state.join_answered || !state.membership.joined || seeds.empty() ||
      now < state.next_join) {
    return;
  }
  state.next_join =
      now +
      (now - state.started_at < kJoinTime ? kJoinInterval : kLateJoinInterval);
  membership::Actions actions;
  actions.emplace_back(membership::SendJoinRequest{
      seeds[state.next_seed++ % seeds.size()], state.membership.self});
  CarryOut(state, now, actions);
}

void ReportSilentOwners(ControlState& state, base::TimePoint now) {
  if (now < state.next_silence_check) {
    return;
  }
  state.next_silence_check = now + kSilenceInterval;
  membership::Actions actions;
  for (const base::DaemonId owner : ownership::UnresponsiveOwners(
           state.ownership, now, state.settings.membership.suspicion_timeout)) {
    membership::ReportSuspicion(state.membership, now, owner, actions);
  }
  CarryOut(state, now, actions);
}

/// State in which this daemon should be known to the others.
MemberState WantedState(const ControlState& state) {
  if (state.draining) {
    return MemberState::kDraining;
  }
  const bool may_serve = state.phase == StartPhase::kRunning &&
                         membership::MayServe(state.membership) &&
                         state.catalogue.current != nullptr &&
                         state.target_usable;
  return may_serve ? MemberState::kServing : MemberState::kJoining;
}

bool IsSelfOut(const ControlState& state) {
  const auto& catalogue = state.catalogue.current;
  return catalogue != nullptr &&
         (catalogue::IsDataCentreOut(*catalogue, state.settings.data_centre) ||
          catalogue::IsTargetOut(*catalogue, state.settings.name));
}

void UpdateSelf(ControlState& state, base::TimePoint now) {
  const MemberState wanted = WantedState(state);
  const MemberState known = state.membership.self.state;
  if (known != wanted && known != MemberState::kLeft) {
    membership::Actions actions;
    membership::SetSelfState(state.membership, now, wanted, actions);
    CarryOut(state, now, actions);
    // The own record counts for placement at once, not only after gossip.
    ApplyMember(state.view, state.membership.self);
    ownership::OnMember(
        state.ownership, now,
        {state.self, state.settings.name, state.settings.target.service,
         state.settings.data_centre, state.settings.region,
         wanted == MemberState::kServing, state.membership.self.peer_address});
    base::LogChange("state_changed",
                    {{"state", std::string(membership::StateName(wanted))}});
  }
  // A daemon whose target cannot serve still forwards to the others.
  const bool is_ready = state.phase == StartPhase::kRunning &&
                        (state.membership.joined || state.snapshot.is_used) &&
                        state.catalogue.current != nullptr;
  ApplyState(state.view, is_ready,
             state.draining || !state.target_usable || IsSelfOut(state));
}

/// Whether the planned stop may go on.
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
    command.answer->set_value(StatusOf(this->state));
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
    // The next round of gossip carries the record to the others.
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
  ReportSilentOwners(state, now);
  membership::Actions membership_actions;
  membership::OnTick(state.membership, now, membership_actions);
  CarryOut(state, now, membership_actions);
  ownership::Actions ownership_actions;
  ownership::OnTick(state.ownership, now, ownership_actions);
  CarryOut(state, now, ownership_actions, RowSource::kElsewhere);
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
    CarryOut(state, now, actions, RowSource::kElsewhere);
  }
  UpdateSelf(state, now);
  PublishView(state.view, state.context.routing, now);
}

}  // namespace eelgrassbridge::daemon
