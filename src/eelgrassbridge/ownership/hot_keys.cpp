// Carve-out, move and merge of hot keys.
#include <algorithm>

#include "eelgrassbridge/ownership/detail/core.hpp"
#include "eelgrassbridge/ownership/ownership_commands.hpp"
#include "eelgrassbridge/ownership/ownership_queries.hpp"

namespace eelgrassbridge::ownership {

namespace {

using HotKeyWatches = std::unordered_map<base::GroupId, HotKeyWatch>;

/// Reports come every second; one may be missing while a gate changes.
constexpr base::Duration kMaxReportGap = base::milliseconds{2500};
/// Minimum gain of a further move of a hot key that has left its parent's
/// owner, as a fraction of its present owner's load. With a smaller gain, every
/// small change of the other loads would move the key again.
constexpr double kMinRepeatedMoveGain = 0.1;

/// Records that a key's condition holds now, and returns whether it has held in
/// all reports for `needed`.
bool HasHeldFor(HotKeyWatches& watches,
                const base::GroupId& key,
                base::TimePoint now,
                base::Duration needed) {
  HotKeyWatch& watch =
      watches.try_emplace(key, HotKeyWatch{now, now}).first->second;
  watch.last_seen = now;
  return now - watch.since >= needed;
}

void DropUnreported(HotKeyWatches& watches, base::TimePoint now) {
  std::erase_if(watches, [&](const auto& watch) {
    return now - watch.second.last_seen > kMaxReportGap;
  });
}

void CarveOut(OwnershipState& state,
              base::TimePoint now,
              const base::GroupId& parent_id,
              std::uint64_t key_hash,
              Actions& actions) {
  const auto parent = state.owned.find(parent_id);
  if (parent == state.owned.end() || parent->second.row.intent ||
      parent->second.release_to || detail::HasOpenWrite(state, parent_id) ||
      !ServingUntil(state, parent_id, now) || !detail::TakeToken(state, now)) {
    return;
  }
  GroupRow row = parent->second.row;
  const auto at = std::ranges::lower_bound(row.carved_out, key_hash);
  if (at != row.carved_out.end() && *at == key_hash) {
    return;
  }
  row.carved_out.insert(at, key_hash);
  GroupRow hot;
  hot.group = parent_id;
  hot.group.hot_key = key_hash;
  hot.owner = state.self;
  hot.deputy = row.deputy;
  hot.epoch = std::max(row.hot_epoch_floor, row.epoch) + 1;
  // Both rows are written in one transaction, so that a key is never on the
  // list without having a row.
  detail::Submit(state, now, WriteKind::kCarveOut, {{row}, {hot, false, false}},
                 actions);
}

base::DaemonId LeastLoaded(OwnershipState& state, const base::GroupId& group) {
  base::DaemonId best;
  std::pair<double, std::uint32_t> least{};
  for (const base::DaemonId id :
       Candidates(state.placement, *state.catalogue, group)) {
    const auto load = state.owner_load.find(id);
    const std::pair value{load == state.owner_load.end() ? 0.0 : load->second,
                          detail::GroupCountOf(state, id)};
    if (!best || value < least) {
      best = id;
      least = value;
    }
  }
  return best;
}

bool IsFreeToMove(const OwnershipState& state,
                  const OwnedGroup& owned,
                  base::TimePoint now) {
  return !owned.row.intent && !owned.release_to && !owned.merging &&
         !detail::HasOpenWrite(state, owned.row.group) &&
         now >= owned.movable_at && now >= state.store_trouble_until;
}

/// @brief The best move of a hot key.
struct HotMove {
  base::DaemonId receiver;
  double key_load = 0;
  /// This owner's load now, less the receiver's load after the move.
  double gain = 0;
};

HotMove FindMove(OwnershipState& state, const base::GroupId& group) {
  HotMove move{LeastLoaded(state, group)};
  if (!move.receiver || move.receiver == state.self) {
    return move;
  }
  const auto demand = state.demand.find(group);
  move.key_load = demand == state.demand.end() ? 0 : demand->second;
  move.gain = state.owner_load[state.self] -
              (state.owner_load[move.receiver] + move.key_load);
  return move;
}

/// Whether a key that is hot should move. While it is with its parent's owner,
/// any gain at the end of hot_time suffices; with another owner, every report
/// in that time must show a gain of at least kMinRepeatedMoveGain.
bool IsMoveWanted(OwnershipState& state, const base::GroupId& group) {
  const GroupRow* parent = FindRow(state, detail::ParentOf(group));
  const bool is_with_parent = parent != nullptr && parent->owner == state.self;
  return is_with_parent ||
         FindMove(state, group).gain >
             kMinRepeatedMoveGain * state.owner_load[state.self];
}

void MoveHotKey(OwnershipState& state,
                base::TimePoint now,
                OwnedGroup& owned,
                Actions& actions) {
  const HotMove move = FindMove(state, owned.row.group);
  // A move helps only if the receiver's load after it is below this owner's
  // present load.
  if (move.gain > 0 && detail::TakeToken(state, now)) {
    // The receiver's load is raised at once, so that a second key does not go
    // to the same receiver before its next report.
    state.owner_load[move.receiver] += move.key_load;
    detail::BeginRelease(owned, move.receiver, actions);
  }
}

void ReturnToParent(OwnershipState& state,
                    base::TimePoint now,
                    OwnedGroup& owned,
                    Actions& actions) {
  const GroupRow* parent = FindRow(state, detail::ParentOf(owned.row.group));
  if (parent == nullptr || IsGone(state, parent->owner, now)) {
    return;
  }
  if (parent->owner != state.self) {
    if (detail::TakeToken(state, now)) {
      detail::BeginRelease(owned, parent->owner, actions);
    }
    return;
  }
  owned.merging = true;
  if (owned.gate_open) {
    actions.emplace_back(BeginDrain{{owned.row.group, owned.row.epoch}});
  } else {
    owned.drained = true;
  }
}

/// Carves out the keys of an ordinary group that have been hot long enough.
void EvaluateKeys(OwnershipState& state,
                  base::TimePoint now,
                  const GroupDemand& demand,
                  double total,
                  Actions& actions) {
  const OwnershipOptions& options = state.options;
  const auto is_hot = [&](const GroupDemand::KeyLoad& key) {
    return total >= options.hot_minimum_load &&
           key.requests_per_second > options.hot_share * total;
  };
  // The time of keys that are not hot in this report, or not in it at all,
  // starts again. Keys with a row of their own are reported under that row.
  const auto owned = state.owned.find(demand.group);
  std::erase_if(state.hot, [&](const auto& watch) {
    const base::GroupId& hot = watch.first;
    const bool is_carved_out =
        owned != state.owned.end() &&
        std::ranges::binary_search(owned->second.row.carved_out, *hot.hot_key);
    return detail::ParentOf(hot) == demand.group && !is_carved_out &&
           std::ranges::none_of(demand.busiest_keys, [&](const auto& key) {
             return key.key_hash == *hot.hot_key && is_hot(key);
           });
  });
  for (const GroupDemand::KeyLoad& key : demand.busiest_keys) {
    base::GroupId hot = demand.group;
    hot.hot_key = key.key_hash;
    if (is_hot(key) && HasHeldFor(state.hot, hot, now, options.hot_time)) {
      CarveOut(state, now, demand.group, key.key_hash, actions);
    }
  }
}

void EvaluateHotKey(OwnershipState& state,
                    base::TimePoint now,
                    const GroupDemand& demand,
                    double total,
                    Actions& actions) {
  const OwnershipOptions& options = state.options;
  const double load = demand.requests_per_second;
  const bool is_cool =
      load < options.cool_share * total || total < options.hot_minimum_load;
  const bool is_hot = !is_cool && load > options.hot_share * total &&
                      IsMoveWanted(state, demand.group);
  if (!is_cool) {
    state.cool.erase(demand.group);
  }
  if (!is_hot) {
    state.hot.erase(demand.group);
  }
  // Both times also run while the group cannot be moved.
  const bool is_cool_long =
      is_cool && HasHeldFor(state.cool, demand.group, now, options.cool_time);
  const bool is_hot_long =
      is_hot && HasHeldFor(state.hot, demand.group, now, options.hot_time);
  const auto owned = state.owned.find(demand.group);
  if (owned == state.owned.end() || !IsFreeToMove(state, owned->second, now)) {
    return;
  }
  if (is_cool_long) {
    ReturnToParent(state, now, owned->second, actions);
  } else if (is_hot_long) {
    MoveHotKey(state, now, owned->second, actions);
  }
}

}  // namespace

namespace detail {

void SubmitMerge(OwnershipState& state,
                 base::TimePoint now,
                 OwnedGroup& owned,
                 Actions& actions) {
  const auto parent = state.owned.find(ParentOf(owned.row.group));
  const bool is_possible =
      parent != state.owned.end() && !parent->second.row.intent &&
      !parent->second.release_to && !HasOpenWrite(state, parent->first);
  if (!is_possible) {
    CancelRelease(state, now, owned, actions);
    UpdateGate(state, now, owned, actions);
    return;
  }
  GroupRow row = parent->second.row;
  std::erase(row.carved_out, *owned.row.group.hot_key);
  row.hot_epoch_floor = std::max(row.hot_epoch_floor, owned.row.epoch);
  owned.release_sent = true;
  CloseGateOf(state, now, owned, actions);
  Submit(state, now, WriteKind::kMerge, {{row}, {owned.row, true}}, actions);
}

void TickHotKeys(OwnershipState& state, base::TimePoint now, Actions& actions) {
  if (state.local_demand.empty() || state.catalogue == nullptr) {
    return;
  }
  const std::vector<GroupDemand> demands = std::move(state.local_demand);
  state.local_demand.clear();
  const double total = state.owner_load[state.self];
  DropUnreported(state.hot, now);
  DropUnreported(state.cool, now);
  for (const GroupDemand& demand : demands) {
    if (demand.group.hot_key) {
      EvaluateHotKey(state, now, demand, total, actions);
    } else {
      EvaluateKeys(state, now, demand, total, actions);
    }
  }
}

}  // namespace detail

void OnDemand(OwnershipState& state,
              base::TimePoint /*now*/,
              std::span<const GroupDemand> demands) {
  double total = 0;
  for (const GroupDemand& demand : demands) {
    state.demand[demand.group] = demand.requests_per_second;
    total += demand.requests_per_second;
  }
  state.owner_load[state.self] = total;
  state.local_demand.assign(demands.begin(), demands.end());
}

void OnPeerLoad(OwnershipState& state,
                base::DaemonId owner,
                double requests_per_second) {
  if (owner != state.self) {
    state.owner_load[owner] = requests_per_second;
  }
}

}  // namespace eelgrassbridge::ownership
