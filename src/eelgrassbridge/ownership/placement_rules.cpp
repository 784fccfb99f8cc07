// Creation of missing rows, balance of group counts, and the periodic check for
// lost owners.
#include <algorithm>
#include <set>

#include "eelgrassbridge/ownership/detail/core.hpp"
#include "eelgrassbridge/ownership/ownership_queries.hpp"

namespace eelgrassbridge::ownership::detail {

namespace {

constexpr base::Duration kSweepInterval = base::seconds{5};
/// Longest time between a daemon's becoming able to take over a group with a
/// lost owner and the check that queues the take-over. Also the minimum time
/// between two checks of all owners.
constexpr base::Duration kSweepDelayAfterChange = base::milliseconds{200};
/// Records of lost members that no row names are deleted after this time.
constexpr base::Duration kLostMemberRetention = base::seconds{3600};

void CreateMissing(OwnershipState& state,
                   base::TimePoint now,
                   Actions& actions) {
  if (!state.table_known || now < state.store_trouble_until) {
    return;
  }
  const std::size_t count = std::min<std::size_t>(
      state.options.missing_rows_per_tick, state.missing.size());
  for (std::size_t i = 0; i < count; ++i) {
    base::GroupId group = std::move(state.missing.front());
    state.missing.pop_front();
    if (state.rows.contains(group)) {
      continue;
    }
    const bool is_mine =
        IsSelfEligible(state, group) && !HasOpenWrite(state, group) &&
        PreferredOwner(state.placement, *state.catalogue, group) == state.self;
    if (is_mine && TakeToken(state, now)) {
      GroupRow row;
      row.group = group;
      row.owner = state.self;
      row.epoch = 1;
      row.deputy =
          ChooseDeputy(state.placement, *state.catalogue, group, state.self);
      Submit(state, now, WriteKind::kCreate, {{row}}, actions);
    }
    // The group stays in the list until its row is known, since the daemon that
    // should create the row may be lost.
    state.missing.push_back(std::move(group));
  }
}

/// The owned group with the least demand that may be moved for balance.
OwnedGroup* CheapestToMove(OwnershipState& state,
                           base::TimePoint now,
                           const std::string& service,
                           const std::string& residency) {
  OwnedGroup* cheapest = nullptr;
  double least = 0;
  for (auto& [group, owned] : state.owned) {
    if (group.service != service || group.residency != residency ||
        group.hot_key || owned.row.intent || owned.release_to ||
        owned.merging || HasOpenWrite(state, group) || now < owned.movable_at) {
      continue;
    }
    const auto demand = state.demand.find(group);
    const double value = demand == state.demand.end() ? 0 : demand->second;
    if (cheapest == nullptr || value < least ||
        (value == least && group < cheapest->row.group)) {
      cheapest = &owned;
      least = value;
    }
  }
  return cheapest;
}

bool IsMoving(const OwnershipState& state) {
  return std::ranges::any_of(state.owned, [](const auto& item) {
    return item.second.release_to || item.second.merging;
  });
}

void Balance(OwnershipState& state, base::TimePoint now, Actions& actions) {
  if (now < state.next_balance || !state.balance_stale || state.owned.empty() ||
      now < state.store_trouble_until) {
    return;
  }
  state.next_balance = now + state.options.balance_interval;
  if (IsMoving(state)) {
    return;
  }
  state.balance_stale = false;
  std::set<std::pair<std::string, std::string>> classes;
  for (const auto& [group, owned] : state.owned) {
    classes.emplace(group.service, group.residency);
  }
  for (const auto& [service, residency] : classes) {
    const base::GroupId sample{service, residency, 0, std::nullopt};
    if (!IsSelfEligible(state, sample)) {
      continue;
    }
    std::vector<MemberLoad> loads;
    for (const base::DaemonId id :
         Candidates(state.placement, *state.catalogue, sample)) {
      loads.push_back({id, GroupCountOf(state, id)});
    }
    const std::optional<base::DaemonId> receiver =
        BalanceReceiver(loads, state.self, state.options.balance_difference);
    if (!receiver) {
      continue;
    }
    state.balance_stale = true;
    OwnedGroup* owned = CheapestToMove(state, now, service, residency);
    if (owned != nullptr && TakeToken(state, now)) {
      BeginRelease(*owned, *receiver, actions);
      return;
    }
  }
}

/// Checks all owners for take-overs that no event triggered, e.g. of an owner
/// that was never in the member list, and deletes old records of lost members.
void Sweep(OwnershipState& state, base::TimePoint now) {
  if (now < state.next_sweep) {
    return;
  }
  if (!state.ownerless_groups.empty()) {
    state.next_sweep = now + kSweepDelayAfterChange;
    return;
  }
  state.next_sweep = now + kSweepInterval;
  std::erase_if(state.placement.gone, [&](const auto& item) {
    const bool is_old = now - item.second > kLostMemberRetention &&
                        !state.by_owner.contains(item.first) &&
                        !state.by_deputy.contains(item.first);
    if (is_old) {
      state.placement.members.erase(item.first);
      state.owner_load.erase(item.first);
    }
    return is_old;
  });
  std::vector<base::DaemonId> gone;
  for (const auto& [owner, groups] : state.by_owner) {
    if (IsGone(state, owner, now)) {
      gone.push_back(owner);
    }
  }
  for (const base::DaemonId owner : gone) {
    for (const base::GroupId& group : state.by_owner.at(owner)) {
      ConsiderTakeOver(state, now, group);
    }
  }
}

}  // namespace

std::uint32_t GroupCountOf(const OwnershipState& state, base::DaemonId owner) {
  const auto found = state.ordinary_count.find(owner);
  return found == state.ordinary_count.end() ? 0 : found->second;
}

void ScheduleEarlySweep(OwnershipState& state, base::TimePoint now) {
  state.next_sweep = std::min(state.next_sweep, now + kSweepDelayAfterChange);
}

void TickPlacement(OwnershipState& state,
                   base::TimePoint now,
                   Actions& actions) {
  if (state.catalogue == nullptr) {
    return;
  }
  CreateMissing(state, now, actions);
  Balance(state, now, actions);
  Sweep(state, now);
}

}  // namespace eelgrassbridge::ownership::detail
