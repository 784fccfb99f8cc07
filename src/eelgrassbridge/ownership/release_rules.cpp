// Planned moves (rule 9): stop admitting, drain, write, notify.
#include <algorithm>
#include <optional>
#include <utility>

#include "eelgrassbridge/ownership/detail/core.hpp"
#include "eelgrassbridge/ownership/ownership_commands.hpp"
#include "eelgrassbridge/ownership/ownership_queries.hpp"

namespace eelgrassbridge::ownership {

namespace {

constexpr base::Duration kReceiverRetryInterval = base::milliseconds{500};
/// Maximum releases in one transaction. The table's cap on writes counts rows,
/// so a larger batch would use a larger part of one second's cap at once.
constexpr std::size_t kMaxReleasesPerTransaction = 16;

bool IsEligibleDaemon(const OwnershipState& state,
                      const base::GroupId& group,
                      base::DaemonId id,
                      base::TimePoint now) {
  const auto member = state.placement.members.find(id);
  return member != state.placement.members.end() && !IsGone(state, id, now) &&
         IsEligible(*state.catalogue, member->second, group.service,
                    group.residency);
}

/// The present deputy if it can also be the new owner's deputy; otherwise a
/// newly chosen one.
base::DaemonId DeputyAfterMove(OwnershipState& state,
                               const GroupRow& row,
                               base::DaemonId receiver,
                               base::TimePoint now) {
  const auto& members = state.placement.members;
  const auto deputy = members.find(row.deputy);
  const auto owner = members.find(receiver);
  if (row.deputy != receiver && deputy != members.end() &&
      owner != members.end() &&
      deputy->second.data_centre != owner->second.data_centre &&
      IsEligibleDaemon(state, row.group, row.deputy, now)) {
    return row.deputy;
  }
  return ChooseDeputy(state.placement, *state.catalogue, row.group, receiver);
}

base::DaemonId FindReceiver(OwnershipState& state, const base::GroupId& group) {
  return ChooseReceiver(
      state.placement, *state.catalogue, group, state.self,
      [&](base::DaemonId id) { return detail::GroupCountOf(state, id); });
}

void BeginForcedMove(OwnershipState& state,
                     base::TimePoint now,
                     OwnedGroup& owned,
                     Actions& actions) {
  const base::GroupId& group = owned.row.group;
  if (owned.release_to || owned.merging || owned.row.intent ||
      detail::HasOpenWrite(state, group) || now < owned.retry_at ||
      now < owned.movable_at || now < state.store_trouble_until ||
      detail::IsSelfEligible(state, group)) {
    return;
  }
  const base::DaemonId receiver = FindReceiver(state, group);
  if (!receiver || !detail::TakeToken(state, now)) {
    owned.retry_at = now + kReceiverRetryInterval;
    return;
  }
  detail::BeginRelease(owned, receiver, actions);
}

/// Closes the gate and returns the row to write. If no member can receive the
/// group any more, cancels the release and returns none.
std::optional<GroupRow> PrepareRelease(OwnershipState& state,
                                       base::TimePoint now,
                                       OwnedGroup& owned,
                                       Actions& actions) {
  if (!IsEligibleDaemon(state, owned.row.group, owned.release_to, now) &&
      !owned.release_sent) {
    owned.release_to = FindReceiver(state, owned.row.group);
    if (!owned.release_to) {
      detail::CancelRelease(state, now, owned, actions);
      detail::UpdateGate(state, now, owned, actions);
      return std::nullopt;
    }
  }
  GroupRow row = owned.row;
  row.owner = owned.release_to;
  row.epoch += 1;
  row.deputy = DeputyAfterMove(state, owned.row, owned.release_to, now);
  row.intent = {};
  owned.release_sent = true;
  detail::CloseGateOf(state, now, owned, actions);
  return row;
}

}  // namespace

namespace detail {

bool IsSelfEligible(const OwnershipState& state, const base::GroupId& group) {
  if (state.draining || !state.target_usable || state.catalogue == nullptr) {
    return false;
  }
  const auto self = state.placement.members.find(state.self);
  return self != state.placement.members.end() &&
         IsEligible(*state.catalogue, self->second, group.service,
                    group.residency);
}

void BeginRelease(OwnedGroup& owned,
                  base::DaemonId receiver,
                  Actions& actions) {
  owned.release_to = receiver;
  if (owned.gate_open) {
    actions.emplace_back(BeginDrain{{owned.row.group, owned.row.epoch}});
  } else {
    owned.drained = true;
  }
}

void SubmitRelease(OwnershipState& state,
                   base::TimePoint now,
                   OwnedGroup& owned,
                   Actions& actions) {
  if (auto row = PrepareRelease(state, now, owned, actions)) {
    Submit(state, now, WriteKind::kRelease, {{std::move(*row)}}, actions);
  }
}

void CancelRelease(const OwnershipState& state,
                   base::TimePoint now,
                   OwnedGroup& owned,
                   Actions& actions) {
  CloseGateOf(state, now, owned, actions);
  owned.release_to = {};
  owned.merging = false;
  owned.drained = false;
  owned.release_sent = false;
}

void TickReleases(OwnershipState& state,
                  base::TimePoint now,
                  Actions& actions) {
  if (state.catalogue == nullptr) {
    return;
  }
  std::vector<RowWrite> due;
  for (auto& [group, owned] : state.owned) {
    BeginForcedMove(state, now, owned, actions);
    if (!owned.drained || owned.release_sent || owned.row.intent ||
        now < owned.movable_at || HasOpenWrite(state, group)) {
      continue;
    }
    if (owned.merging) {
      SubmitMerge(state, now, owned, actions);
    } else if (auto row = PrepareRelease(state, now, owned, actions)) {
      due.push_back({std::move(*row)});
    }
    if (due.size() == kMaxReleasesPerTransaction) {
      Submit(state, now, WriteKind::kRelease, std::exchange(due, {}), actions);
    }
  }
  if (!due.empty()) {
    Submit(state, now, WriteKind::kRelease, std::move(due), actions);
  }
}

void RepeatReleasesWithoutConflict(OwnershipState& state,
                                   base::TimePoint now,
                                   const Operation& operation,
                                   std::span<const store::Row> conflicts,
                                   Actions& actions) {
  if (operation.kind != WriteKind::kRelease || operation.writes.size() < 2) {
    return;
  }
  for (const RowWrite& write : operation.writes) {
    const bool is_conflict = std::ranges::any_of(
        conflicts, [key = RowKey(write.row.group)](const store::Row& row) {
          return row.key == key;
        });
    const auto owned = state.owned.find(write.row.group);
    // A row that was read with another version in the meantime may have an
    // intent; its release is cancelled like that of a row with a conflict.
    if (!is_conflict && owned != state.owned.end() &&
        owned->second.release_sent &&
        owned->second.row.version == write.row.version &&
        !HasOpenWrite(state, write.row.group)) {
      SubmitRelease(state, now, owned->second, actions);
    }
  }
}

}  // namespace detail

void OnReleaseDrained(OwnershipState& state,
                      base::TimePoint now,
                      std::span<const GroupEpoch> groups,
                      Actions& actions) {
  bool is_any_drained = false;
  for (const GroupEpoch& group : groups) {
    const auto found = state.owned.find(group.group);
    if (found != state.owned.end() && found->second.row.epoch == group.epoch &&
        (found->second.release_to || found->second.merging)) {
      found->second.drained = true;
      is_any_drained = true;
    }
  }
  if (is_any_drained) {
    detail::TickReleases(state, now, actions);
  }
}

void OnReleaseDone(OwnershipState& state,
                   base::TimePoint /*now*/,
                   const GroupEpoch& group,
                   Actions& /*actions*/) {
  const GroupRow* known = FindRow(state, group.group);
  if (known == nullptr || known->epoch <= group.epoch) {
    state.to_read.insert(group.group);
  }
}

}  // namespace eelgrassbridge::ownership
