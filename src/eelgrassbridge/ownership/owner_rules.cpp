// Rules of the owner: lease, promises, reads, deputy and intents (rules 1, 2,
// 6, 7 and 8 of the design page).
#include <algorithm>
#include <map>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/ownership/detail/core.hpp"
#include "eelgrassbridge/ownership/ownership_commands.hpp"
#include "eelgrassbridge/ownership/ownership_queries.hpp"

namespace eelgrassbridge::ownership {

namespace {

constexpr base::Duration kRowChangeRetryInterval = base::seconds{1};
/// How often a deputy is searched for while there is no candidate.
constexpr base::Duration kDeputySearchInterval = base::seconds{5};
/// Send times stored for each deputy, to match a reply with its request.
constexpr std::size_t kMaxSentRequests = 8;

void RewriteUnknown(OwnershipState& state,
                    base::TimePoint now,
                    OwnedGroup& owned,
                    Actions& actions) {
  const auto open = state.open_writes.find(owned.row.group);
  if (open == state.open_writes.end() || !open->second.unknown ||
      now < owned.retry_at) {
    return;
  }
  owned.retry_at = now + kRowChangeRetryInterval;
  if (open->second.kind == WriteKind::kRelease && owned.release_sent) {
    detail::SubmitRelease(state, now, owned, actions);
    return;
  }
  detail::Submit(state, now, WriteKind::kRewrite, {{owned.row}}, actions);
}

void ClearIntent(OwnershipState& state,
                 base::TimePoint now,
                 OwnedGroup& owned,
                 Actions& actions) {
  if (!owned.row.intent || detail::HasOpenWrite(state, owned.row.group) ||
      now < owned.retry_at) {
    return;
  }
  owned.retry_at = now + kRowChangeRetryInterval;
  GroupRow row = owned.row;
  if (row.intent == row.deputy && state.catalogue != nullptr) {
    // The deputy gets no messages from this owner, or was informed that the
    // owner is lost.
    row.deputy = ChooseDeputy(state.placement, *state.catalogue, row.group,
                              state.self, row.deputy);
  }
  row.intent = {};
  detail::Submit(state, now, WriteKind::kClearIntent, {{row}}, actions);
}

/// Requests a read when half the lease has passed without a promise or a read,
/// i.e. when about two promises in a row are missing.
void AskForRead(OwnershipState& state, base::TimePoint now, OwnedGroup& owned) {
  if (owned.release_sent || state.outstanding_reads.contains(owned.row.group)) {
    return;
  }
  const std::optional<base::TimePoint> end = detail::LeaseEnd(state, owned);
  const base::Duration margin = state.options.lease / 2;
  if (end && now + margin < *end) {
    return;
  }
  state.to_read.insert(owned.row.group);
}

/// Time at which a lost deputy may be replaced: after the take-overs of the
/// same burst of losses, and spread over the write budget.
base::TimePoint DeputyWriteDue(const OwnershipState& state,
                               const base::GroupId& group) {
  constexpr double kTwoTo64 = 18446744073709551616.0;
  const double place = static_cast<double>(base::Hash64(base::ToString(group),
                                                        state.self.value)) /
                       kTwoTo64 * state.lost_deputy_groups;
  const double writes =
      2.0 * static_cast<double>(state.lost_owner_groups.size()) + place;
  return state.first_loss + base::Duration{static_cast<std::int64_t>(
                                writes / state.options.write_budget * 1e6)};
}

const PlacementMember* FindPlacementMember(const OwnershipState& state,
                                           base::DaemonId id) {
  const auto found = state.placement.members.find(id);
  return found == state.placement.members.end() ? nullptr : &found->second;
}

bool IsDeputyUsable(const OwnershipState& state,
                    const OwnedGroup& owned,
                    base::TimePoint now) {
  const PlacementMember* deputy = FindPlacementMember(state, owned.row.deputy);
  if (deputy == nullptr || IsGone(state, owned.row.deputy, now)) {
    return !IsGone(state, owned.row.deputy, now);
  }
  return IsEligible(*state.catalogue, *deputy, owned.row.group.service,
                    owned.row.group.residency);
}

bool IsDeputyUnresponsive(const OwnershipState& state,
                          const OwnedGroup& owned,
                          base::TimePoint now) {
  const base::TimePoint last = std::max(
      owned.deputy_since, owned.promise_sent_at.value_or(base::TimePoint{}));
  return now - last > state.options.deputy_promise_timeout;
}

bool IsDeputyInSameDataCentre(const OwnershipState& state,
                              const OwnedGroup& owned) {
  const PlacementMember* deputy = FindPlacementMember(state, owned.row.deputy);
  const PlacementMember* self = FindPlacementMember(state, state.self);
  return deputy != nullptr && self != nullptr &&
         deputy->data_centre == self->data_centre;
}

void ReplaceDeputy(OwnershipState& state,
                   base::TimePoint now,
                   OwnedGroup& owned,
                   Actions& actions) {
  if (state.catalogue == nullptr || owned.row.intent || owned.drained ||
      detail::HasOpenWrite(state, owned.row.group) || now < owned.retry_at) {
    return;
  }
  const bool is_lost = !owned.row.deputy || !IsDeputyUsable(state, owned, now);
  const bool is_unresponsive =
      !is_lost && IsDeputyUnresponsive(state, owned, now);
  const bool is_same_data_centre =
      !is_lost && IsDeputyInSameDataCentre(state, owned);
  if (!is_lost && !is_unresponsive && !is_same_data_centre) {
    return;
  }
  if (is_lost && now < DeputyWriteDue(state, owned.row.group)) {
    return;
  }
  owned.retry_at = now + kDeputySearchInterval;
  const base::DaemonId chosen = ChooseDeputy(
      state.placement, *state.catalogue, owned.row.group, state.self,
      is_unresponsive ? owned.row.deputy : base::DaemonId{});
  if (chosen == owned.row.deputy) {
    return;
  }
  const PlacementMember* member = FindPlacementMember(state, chosen);
  const PlacementMember* self = FindPlacementMember(state, state.self);
  const bool is_other_data_centre = member != nullptr && self != nullptr &&
                                    member->data_centre != self->data_centre;
  if (is_same_data_centre && !is_unresponsive && !is_other_data_centre) {
    return;
  }
  if (!detail::TakeToken(state, now)) {
    owned.retry_at = now;
    return;
  }
  owned.retry_at = now + kRowChangeRetryInterval;
  GroupRow row = owned.row;
  row.deputy = chosen;
  detail::Submit(state, now, WriteKind::kReplaceDeputy, {{row}}, actions);
}

void SendPromiseRequests(OwnershipState& state,
                         base::TimePoint now,
                         Actions& actions) {
  if (now < state.next_promise) {
    return;
  }
  state.next_promise = now + state.options.promise_interval;
  std::map<base::DaemonId, std::vector<GroupEpoch>> by_deputy;
  for (const auto& [group, owned] : state.owned) {
    const bool is_usable = owned.row.deputy && !owned.row.intent &&
                           !owned.release_sent &&
                           (!detail::HasOpenWrite(state, group) ||
                            state.options.broken.replaced_deputy_still_used);
    if (is_usable) {
      by_deputy[owned.row.deputy].push_back({group, owned.row.epoch});
    }
  }
  for (auto& [deputy, groups] : by_deputy) {
    std::deque<base::TimePoint>& sent = state.sent_requests[deputy];
    sent.push_back(now);
    if (sent.size() > kMaxSentRequests) {
      sent.pop_front();
    }
    actions.emplace_back(SendPromiseRequest{deputy, now, std::move(groups)});
  }
}

}  // namespace

namespace detail {

std::optional<base::TimePoint> LeaseEnd(const OwnershipState& state,
                                        const OwnedGroup& owned) {
  if (owned.row.intent || owned.release_sent ||
      (!owned.promise_sent_at && !owned.read_sent_at)) {
    return std::nullopt;
  }
  return std::max(owned.promise_sent_at.value_or(base::TimePoint::min()),
                  owned.read_sent_at.value_or(base::TimePoint::min())) +
         OwnerLease(state.options);
}

void CloseGateOf(const OwnershipState& state,
                 base::TimePoint now,
                 OwnedGroup& owned,
                 Actions& actions) {
  if (owned.gate_open) {
    owned.gate_open = false;
    owned.movable_at = std::max(
        owned.movable_at,
        now + RunLimitWait(state.options, RunLimit(state, owned.row.group)));
    actions.emplace_back(CloseGate{{owned.row.group, owned.row.epoch}});
  }
}

void UpdateGate(OwnershipState& state,
                base::TimePoint now,
                OwnedGroup& owned,
                Actions& actions) {
  const std::optional<base::TimePoint> end = LeaseEnd(state, owned);
  if (!end) {
    CloseGateOf(state, now, owned, actions);
    return;
  }
  const bool is_releasing = owned.merging || owned.release_to;
  if (*end <= now || is_releasing || !state.target_usable) {
    return;
  }
  const GroupEpoch group{owned.row.group, owned.row.epoch};
  if (owned.gate_open && owned.gate_carved_out != owned.row.carved_out) {
    CloseGateOf(state, now, owned, actions);
  }
  if (!owned.gate_open) {
    owned.gate_open = true;
    owned.gate_lease_end = *end;
    owned.gate_carved_out = owned.row.carved_out;
    actions.emplace_back(SendGrant{group});
    actions.emplace_back(OpenGate{group, *end, owned.row.carved_out});
  } else if (*end > owned.gate_lease_end) {
    owned.gate_lease_end = *end;
    actions.emplace_back(ExtendLease{group, *end});
  }
}

void TickOwned(OwnershipState& state, base::TimePoint now, Actions& actions) {
  for (auto& [group, owned] : state.owned) {
    RewriteUnknown(state, now, owned, actions);
    ClearIntent(state, now, owned, actions);
    AskForRead(state, now, owned);
    ReplaceDeputy(state, now, owned, actions);
  }
  SendPromiseRequests(state, now, actions);
}

}  // namespace detail

void OnPromiseReply(OwnershipState& state,
                    base::TimePoint now,
                    base::DaemonId from,
                    base::TimePoint echoed_sent_at,
                    std::span<const GroupEpoch> granted,
                    Actions& actions) {
  const auto sent = state.sent_requests.find(from);
  if (sent == state.sent_requests.end() ||
      std::ranges::find(sent->second, echoed_sent_at) == sent->second.end()) {
    ++state.counters.promises_ignored;
    return;
  }
  const BrokenRules& broken = state.options.broken;
  for (const GroupEpoch& grant : granted) {
    const auto found = state.owned.find(grant.group);
    const bool is_usable =
        found != state.owned.end() && found->second.row.deputy == from &&
        found->second.row.epoch == grant.epoch && !found->second.row.intent &&
        (!detail::HasOpenWrite(state, grant.group) ||
         broken.replaced_deputy_still_used);
    if (!is_usable) {
      ++state.counters.promises_ignored;
      continue;
    }
    OwnedGroup& owned = found->second;
    const base::TimePoint date =
        broken.promise_dated_by_arrival ? now : echoed_sent_at;
    if (!owned.promise_sent_at || *owned.promise_sent_at < date) {
      owned.promise_sent_at = date;
      detail::UpdateGate(state, now, owned, actions);
    }
  }
}

}  // namespace eelgrassbridge::ownership
