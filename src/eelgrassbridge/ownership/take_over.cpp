// Take-over by the deputy and by a third party (rules 4, 5, 7 and 8 of the
// design page).
#include <algorithm>

#include "eelgrassbridge/ownership/detail/core.hpp"
#include "eelgrassbridge/ownership/ownership_commands.hpp"
#include "eelgrassbridge/ownership/ownership_queries.hpp"

namespace eelgrassbridge::ownership {

namespace {

constexpr base::Duration kTakeOverRetryInterval = base::milliseconds{300};
constexpr base::Duration kStopPromisingInterval = base::milliseconds{500};
/// Groups per tick whose preferred owner is computed; bounds the cost of a
/// tick.
constexpr std::size_t kMaxOwnerlessGroupsPerTick = 8;

bool IsMemberEligible(const OwnershipState& state,
                      const base::GroupId& group,
                      base::DaemonId id) {
  const auto member = state.placement.members.find(id);
  return member != state.placement.members.end() &&
         state.catalogue != nullptr &&
         IsEligible(*state.catalogue, member->second, group.service,
                    group.residency);
}

/// Whether the group's owner is lost and no other live daemon has an intent.
bool CanBeTakenOver(const OwnershipState& state,
                    const GroupRow& row,
                    base::TimePoint now) {
  return row.owner != state.self && IsGone(state, row.owner, now) &&
         (!row.intent || row.intent == state.self ||
          IsGone(state, row.intent, now));
}

bool NeedsThirdParty(const OwnershipState& state,
                     const GroupRow& row,
                     base::TimePoint now) {
  return CanBeTakenOver(state, row, now) && row.deputy != state.self &&
         (!row.deputy || IsGone(state, row.deputy, now) ||
          !IsMemberEligible(state, row.group, row.deputy));
}

void Queue(OwnershipState& state,
           base::TimePoint now,
           const GroupRow& row,
           bool as_deputy) {
  TakeOver take_over;
  take_over.as_deputy = as_deputy;
  take_over.row = row;
  take_over.retry_at = now;
  const auto demand = state.demand.find(row.group);
  take_over.demand = demand == state.demand.end() ? 0 : demand->second;
  state.take_overs.emplace(row.group, std::move(take_over));
}

void AbandonTakeOver(OwnershipState& state, const base::GroupId& group) {
  ++state.counters.take_overs_given_up;
  state.take_overs.erase(group);
}

/// Time at which a take-over may begin. All daemons have nearly the same list
/// of groups that lost their owner; the position of a group in the order of
/// demand spreads their writes over the store's write budget.
base::TimePoint TakeOverDue(const OwnershipState& state,
                            const TakeOver& take_over) {
  const auto before = std::ranges::count_if(
      state.lost_owner_groups,
      [&](const LostGroup& lost) { return lost.demand > take_over.demand; });
  constexpr double kWritesEach = 2;
  return state.first_loss + base::Duration{static_cast<std::int64_t>(
                                kWritesEach * static_cast<double>(before) /
                                state.options.write_budget * 1e6)};
}

void SubmitIntent(OwnershipState& state,
                  base::TimePoint now,
                  TakeOver& take_over,
                  Actions& actions) {
  std::uint64_t& stopped = state.stopped_at_version[take_over.row.group];
  take_over.previous_stopped_version = stopped;
  stopped = std::max(stopped, take_over.row.version);
  if (take_over.phase == TakeOver::Phase::kQueued) {
    ++state.counters.take_overs_begun;
  }
  take_over.phase = TakeOver::Phase::kIntent;
  take_over.retry_at = now + kTakeOverRetryInterval;
  GroupRow row = take_over.row;
  row.intent = state.self;
  detail::Submit(state, now, WriteKind::kIntent, {{row}}, actions);
}

/// Requests a read of the row if the result of the write is unknown, or if
/// there is no write after a conflict. UpdateTakeOver continues the take-over
/// according to the row that the table returns.
void ReadUnresolvedRow(OwnershipState& state,
                       base::TimePoint now,
                       TakeOver& take_over) {
  const auto open = state.open_writes.find(take_over.row.group);
  const bool is_awaited =
      open != state.open_writes.end() && !open->second.unknown;
  if (!is_awaited && now >= take_over.retry_at) {
    take_over.retry_at = now + kTakeOverRetryInterval;
    state.to_read.insert(take_over.row.group);
  }
}

void StepQueued(OwnershipState& state,
                base::TimePoint now,
                TakeOver& take_over,
                Actions& actions) {
  if (now < take_over.retry_at || now < TakeOverDue(state, take_over) ||
      now < state.started_at + TakerLeaseWait(state.options)) {
    return;
  }
  if (detail::HasOpenWrite(state, take_over.row.group)) {
    // A write of unknown result from the time when this daemon owned the group.
    // Newer versions were received from other daemons, but only a read of the
    // table resolves the write.
    ReadUnresolvedRow(state, now, take_over);
    return;
  }
  SubmitIntent(state, now, take_over, actions);
}

void OnIntentConfirmed(OwnershipState& state,
                       base::TimePoint now,
                       TakeOver& take_over,
                       const GroupRow& row) {
  // There are no further promises if the row has no deputy, or if the deputy
  // wrote the intent that this one replaced.
  const bool is_stopped = !take_over.as_deputy &&
                          (!row.deputy || take_over.row.intent == row.deputy ||
                           state.options.broken.third_party_waits_lease_only);
  take_over.row = row;
  take_over.phase = TakeOver::Phase::kWaiting;
  take_over.intent_confirmed_at = now;
  take_over.stop_requested_at = now - kStopPromisingInterval;
  if (is_stopped) {
    take_over.deputy_stopped_at = now;
  }
}

base::TimePoint WaitEnd(const OwnershipState& state,
                        const TakeOver& take_over) {
  const base::Duration lease_wait =
      TakerLeaseWait(state.options) +
      RunLimitWait(state.options, detail::RunLimit(state, take_over.row.group));
  if (state.options.broken.no_wait_before_take_over) {
    return take_over.intent_confirmed_at;
  }
  if (take_over.as_deputy) {
    base::TimePoint from = take_over.intent_confirmed_at;
    const auto entry = state.deputy_of.find(take_over.row.group);
    if (entry != state.deputy_of.end() &&
        !state.options.broken.deputy_promises_during_take_over) {
      from = std::max(from, entry->second.last_promise_at.value_or(from));
    }
    return from + lease_wait;
  }
  if (take_over.deputy_stopped_at) {
    return std::max(take_over.intent_confirmed_at,
                    *take_over.deputy_stopped_at) +
           lease_wait;
  }
  return take_over.intent_confirmed_at + ThirdPartyWait(state.options) +
         lease_wait;
}

void SubmitFinal(OwnershipState& state,
                 base::TimePoint now,
                 TakeOver& take_over,
                 Actions& actions) {
  take_over.phase = TakeOver::Phase::kFinal;
  take_over.retry_at = now + kTakeOverRetryInterval;
  GroupRow row = take_over.row;
  row.owner = state.self;
  row.epoch += 1;
  row.intent = {};
  row.deputy = state.catalogue == nullptr
                   ? base::DaemonId{}
                   : ChooseDeputy(state.placement, *state.catalogue, row.group,
                                  state.self);
  detail::Submit(state, now, WriteKind::kTakeOver, {{row}}, actions);
}

void StepWaiting(OwnershipState& state,
                 base::TimePoint now,
                 TakeOver& take_over,
                 Actions& actions) {
  if (!take_over.as_deputy && !take_over.deputy_stopped_at) {
    const bool may_ask =
        now >= take_over.stop_requested_at + kStopPromisingInterval;
    if (detail::IsConfirmedStopped(state, take_over.row.deputy) ||
        (may_ask && detail::IsReplacedAtAddress(state, take_over.row.deputy))) {
      take_over.deputy_stopped_at = now;
    } else if (may_ask) {
      take_over.stop_requested_at = now;
      actions.emplace_back(
          SendStopPromising{take_over.row.deputy,
                            {take_over.row.group, take_over.row.epoch},
                            take_over.row.version});
    }
  }
  if (now >= WaitEnd(state, take_over)) {
    SubmitFinal(state, now, take_over, actions);
  }
}

void QueueThirdPartyTakeOvers(OwnershipState& state, base::TimePoint now) {
  const std::size_t count =
      std::min(kMaxOwnerlessGroupsPerTick, state.ownerless_groups.size());
  for (std::size_t i = 0; i < count; ++i) {
    const base::GroupId group = std::move(state.ownerless_groups.front());
    state.ownerless_groups.pop_front();
    const GroupRow* row = FindRow(state, group);
    if (row == nullptr || state.take_overs.contains(group) ||
        !NeedsThirdParty(state, *row, now) ||
        !detail::IsSelfEligible(state, group) ||
        PreferredOwner(state.placement, *state.catalogue, group) !=
            state.self) {
      continue;
    }
    Queue(state, now, *row, false);
  }
}

}  // namespace

namespace detail {

void ConsiderTakeOver(OwnershipState& state,
                      base::TimePoint now,
                      const base::GroupId& group) {
  const GroupRow* row = FindRow(state, group);
  if (row == nullptr || state.take_overs.contains(group) ||
      !CanBeTakenOver(state, *row, now)) {
    return;
  }
  if (row->intent == state.self) {
    // An intent of this daemon that took effect after the take-over was
    // abandoned. Nobody else replaces it while this daemon is alive, so the
    // take-over must be completed.
    Queue(state, now, *row, row->deputy == state.self);
    return;
  }
  if (!IsSelfEligible(state, group)) {
    return;
  }
  if (row->deputy == state.self) {
    Queue(state, now, *row, true);
  } else if (NeedsThirdParty(state, *row, now)) {
    state.ownerless_groups.push_back(group);
  }
}

void UpdateTakeOver(OwnershipState& state,
                    base::TimePoint now,
                    const GroupRow& row) {
  const auto found = state.take_overs.find(row.group);
  if (found == state.take_overs.end()) {
    return;
  }
  TakeOver& take_over = found->second;
  if (row.owner == state.self) {
    ++state.counters.take_overs_done;
    state.take_overs.erase(found);
    return;
  }
  const bool is_changed = row.version > take_over.row.version;
  switch (take_over.phase) {
    case TakeOver::Phase::kQueued:
      if (is_changed) {
        state.take_overs.erase(found);
      }
      return;
    case TakeOver::Phase::kIntent:
      if (is_changed && row.intent == state.self) {
        OnIntentConfirmed(state, now, take_over, row);
        return;
      }
      break;
    case TakeOver::Phase::kWaiting:
    case TakeOver::Phase::kFinal:
      break;
  }
  if (is_changed) {
    AbandonTakeOver(state, row.group);
    return;
  }
  const auto open = state.open_writes.find(row.group);
  if (open != state.open_writes.end() && !open->second.unknown) {
    return;
  }
  // The row still has the version that the write without a reply expected. The
  // next attempt expects the same version, so at most one of the two takes
  // effect.
  if (take_over.phase == TakeOver::Phase::kIntent) {
    take_over.resubmit = true;
  } else if (take_over.phase == TakeOver::Phase::kFinal) {
    take_over.phase = TakeOver::Phase::kWaiting;
  }
}

void OnIntentNotSent(OwnershipState& state, const Operation& operation) {
  if (operation.kind != WriteKind::kIntent) {
    return;
  }
  const base::GroupId& group = operation.writes.front().row.group;
  const auto take_over = state.take_overs.find(group);
  if (take_over == state.take_overs.end() || HasOpenWrite(state, group)) {
    return;
  }
  take_over->second.phase = TakeOver::Phase::kQueued;
  const auto stopped = state.stopped_at_version.find(group);
  if (stopped != state.stopped_at_version.end() &&
      stopped->second == take_over->second.row.version) {
    stopped->second = take_over->second.previous_stopped_version;
  }
}

void TickTakeOvers(OwnershipState& state,
                   base::TimePoint now,
                   Actions& actions) {
  QueueThirdPartyTakeOvers(state, now);
  std::vector<TakeOver*> in_order;
  for (auto found = state.take_overs.begin();
       found != state.take_overs.end();) {
    TakeOver& take_over = found->second;
    // An owner that is found alive before the intent was written keeps its
    // group.
    if (take_over.phase == TakeOver::Phase::kQueued &&
        (!IsGone(state, take_over.row.owner, now) ||
         (!IsSelfEligible(state, found->first) &&
          take_over.row.intent != state.self))) {
      found = state.take_overs.erase(found);
      continue;
    }
    in_order.push_back(&take_over);
    ++found;
  }
  std::ranges::sort(in_order, std::ranges::greater{}, &TakeOver::demand);
  for (TakeOver* take_over : in_order) {
    switch (take_over->phase) {
      case TakeOver::Phase::kQueued:
        StepQueued(state, now, *take_over, actions);
        break;
      case TakeOver::Phase::kWaiting:
        StepWaiting(state, now, *take_over, actions);
        break;
      case TakeOver::Phase::kIntent:
        if (take_over->resubmit) {
          take_over->resubmit = false;
          SubmitIntent(state, now, *take_over, actions);
        } else {
          ReadUnresolvedRow(state, now, *take_over);
        }
        break;
      case TakeOver::Phase::kFinal:
        ReadUnresolvedRow(state, now, *take_over);
        break;
    }
  }
}

}  // namespace detail

void OnStoppedPromising(OwnershipState& state,
                        base::TimePoint now,
                        base::DaemonId from,
                        const GroupEpoch& group,
                        std::uint64_t row_version) {
  const auto found = state.take_overs.find(group.group);
  if (found == state.take_overs.end()) {
    return;
  }
  TakeOver& take_over = found->second;
  if (take_over.phase == TakeOver::Phase::kWaiting && !take_over.as_deputy &&
      take_over.row.deputy == from && take_over.row.epoch == group.epoch &&
      take_over.row.version == row_version && !take_over.deputy_stopped_at) {
    take_over.deputy_stopped_at = now;
  }
}

}  // namespace eelgrassbridge::ownership
