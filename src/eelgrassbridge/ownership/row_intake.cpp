// Updates the state with received rows: the index of rows, and this daemon's
// role as owner, deputy or taker.
#include <algorithm>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/ownership/detail/core.hpp"

namespace eelgrassbridge::ownership::detail {

namespace {

void Unindex(OwnershipState& state, const GroupRow& row) {
  const auto remove = [&](auto& index, base::DaemonId id) {
    const auto found = index.find(id);
    if (found != index.end()) {
      found->second.erase(row.group);
      if (found->second.empty()) {
        index.erase(found);
      }
    }
  };
  if (!row.group.hot_key) {
    const auto count = state.ordinary_count.find(row.owner);
    if (count != state.ordinary_count.end() && --count->second == 0) {
      state.ordinary_count.erase(count);
    }
  }
  remove(state.by_owner, row.owner);
  remove(state.by_deputy, row.deputy);
}

void RecordUnknownMember(OwnershipState& state,
                         base::TimePoint now,
                         base::DaemonId id) {
  if (id && !state.placement.members.contains(id)) {
    state.placement.unknown_since.try_emplace(id, now);
  }
}

void Index(OwnershipState& state, base::TimePoint now, const GroupRow& row) {
  const auto [at, is_added] = state.rows.try_emplace(row.group, row);
  if (!is_added) {
    if (at->second.owner != row.owner) {
      state.balance_stale = true;
    }
    Unindex(state, at->second);
    at->second = row;
  }
  state.by_owner[row.owner].insert(row.group);
  if (!row.group.hot_key) {
    ++state.ordinary_count[row.owner];
  }
  if (row.deputy) {
    state.by_deputy[row.deputy].insert(row.group);
  }
  if (row.group.hot_key) {
    state.hot_learned_at[row.group] = now;
  }
  RecordUnknownMember(state, now, row.owner);
  RecordUnknownMember(state, now, row.deputy);
  RecordUnknownMember(state, now, row.intent);
}

/// Requests reads of the parent's hot keys without a known row. A carve-out
/// whose reply was lost may have created such a row.
void ReadUnknownHotKeys(OwnershipState& state, const GroupRow& parent) {
  for (const std::uint64_t key_hash : parent.carved_out) {
    base::GroupId hot = parent.group;
    hot.hot_key = key_hash;
    if (!state.rows.contains(hot)) {
      state.to_read.insert(std::move(hot));
    }
  }
}

void UpdateOwned(OwnershipState& state,
                 base::TimePoint now,
                 const GroupRow& row,
                 std::optional<base::TimePoint> request_sent_at,
                 Actions& actions) {
  auto found = state.owned.find(row.group);
  if (row.owner != state.self) {
    if (found != state.owned.end()) {
      CloseGateOf(state, now, found->second, actions);
      state.owned.erase(found);
    }
    return;
  }
  if (!request_sent_at) {
    if (found == state.owned.end() || row.version > found->second.row.version) {
      state.to_read.insert(row.group);
    }
    return;
  }
  if (found != state.owned.end() && found->second.row.epoch != row.epoch) {
    // The group had another owner between two reads.
    CloseGateOf(state, now, found->second, actions);
    state.owned.erase(found);
    found = state.owned.end();
  }
  if (found == state.owned.end()) {
    found = state.owned.emplace(row.group, OwnedGroup{}).first;
    found->second.deputy_since = now;
  }
  OwnedGroup& owned = found->second;
  if (owned.row.deputy != row.deputy) {
    owned.deputy_since = now;
  }
  if (owned.row.version != row.version) {
    owned.learned_at = now;
    ReadUnknownHotKeys(state, row);
  }
  owned.row = row;
  if (row.intent) {
    owned.read_sent_at.reset();
    owned.promise_sent_at.reset();
  } else if (!owned.read_sent_at || *owned.read_sent_at < *request_sent_at) {
    owned.read_sent_at = *request_sent_at;
  }
  if (owned.release_sent && !HasOpenWrite(state, row.group)) {
    CancelRelease(state, now, owned, actions);
  }
  UpdateGate(state, now, owned, actions);
}

void UpdateDeputyOf(OwnershipState& state,
                    const GroupRow& row,
                    std::optional<base::TimePoint> request_sent_at) {
  const auto found = state.deputy_of.find(row.group);
  if (row.deputy != state.self || row.owner == state.self) {
    if (found != state.deputy_of.end()) {
      state.deputy_of.erase(found);
    }
    return;
  }
  if (!request_sent_at) {
    if (found == state.deputy_of.end() ||
        row.version > found->second.row.version) {
      state.to_read.insert(row.group);
    }
    return;
  }
  DeputyGroup& entry = state.deputy_of[row.group];
  if (entry.row.owner != row.owner) {
    entry.last_request_at.reset();
  }
  entry.row = row;
  entry.read_sent_at = std::max(entry.read_sent_at, *request_sent_at);
  const auto stopped = state.stopped_at_version.find(row.group);
  if (stopped != state.stopped_at_version.end() &&
      stopped->second < row.version && !row.intent) {
    state.stopped_at_version.erase(stopped);
  }
}

/// Whether a hot-key row that another daemon sent has been merged into its
/// parent and deleted in the meantime.
bool IsMergedBack(const OwnershipState& state, const GroupRow& row) {
  if (!row.group.hot_key) {
    return false;
  }
  const auto parent = state.rows.find(ParentOf(row.group));
  return parent != state.rows.end() &&
         row.epoch <= parent->second.hot_epoch_floor &&
         !std::ranges::binary_search(parent->second.carved_out,
                                     *row.group.hot_key);
}

}  // namespace

base::GroupId ParentOf(const base::GroupId& group) {
  base::GroupId parent = group;
  parent.hot_key.reset();
  return parent;
}

base::Duration RunLimit(const OwnershipState& state,
                        const base::GroupId& group) {
  const catalogue::Service* service =
      state.catalogue == nullptr
          ? nullptr
          : catalogue::FindService(*state.catalogue, group.service);
  return service == nullptr ? catalogue::Service{}.run_limit
                            : service->run_limit;
}

void RemoveRow(OwnershipState& state,
               base::TimePoint now,
               const base::GroupId& group,
               Actions& actions) {
  const auto owned = state.owned.find(group);
  if (owned != state.owned.end()) {
    CloseGateOf(state, now, owned->second, actions);
    state.owned.erase(owned);
  }
  state.deputy_of.erase(group);
  state.take_overs.erase(group);
  state.stopped_at_version.erase(group);
  state.hot_learned_at.erase(group);
  const auto known = state.rows.find(group);
  if (known == state.rows.end()) {
    return;
  }
  GroupRow deleted;
  deleted.group = group;
  deleted.version = known->second.version + 1;
  Unindex(state, known->second);
  state.rows.erase(known);
  actions.emplace_back(RowChanged{std::move(deleted)});
}

void ProcessRow(OwnershipState& state,
                base::TimePoint now,
                const GroupRow& row,
                std::optional<base::TimePoint> request_sent_at,
                Actions& actions) {
  const auto known = state.rows.find(row.group);
  if (known != state.rows.end() && row.version < known->second.version) {
    return;
  }
  if (!row.owner) {
    if (known != state.rows.end()) {
      RemoveRow(state, now, row.group, actions);
    }
    return;
  }
  if (!request_sent_at && IsMergedBack(state, row)) {
    return;
  }
  const bool is_newer =
      known == state.rows.end() || row.version > known->second.version;
  // An owner that has just cleared an intent is alive. If it is still regarded
  // as lost later, the sweep begins a new take-over.
  const bool is_cleared = known != state.rows.end() && known->second.intent &&
                          !row.intent && known->second.owner == row.owner;
  if (is_newer) {
    Index(state, now, row);
    actions.emplace_back(RowChanged{row});
  }
  if (request_sent_at) {
    ResolveByVersion(state, row);
    UpdateTakeOver(state, now, row);
  }
  UpdateOwned(state, now, row, request_sent_at, actions);
  UpdateDeputyOf(state, row, request_sent_at);
  if (is_newer && !is_cleared) {
    ConsiderTakeOver(state, now, row.group);
  }
}

void ProcessAbsence(OwnershipState& state,
                    base::TimePoint now,
                    const base::GroupId& group,
                    base::TimePoint request_sent_at,
                    Actions& actions) {
  if (!group.hot_key) {
    // Rows of ordinary groups are never deleted, so the row did not exist yet
    // when the store answered this read. A creation of unknown result that
    // takes effect later is harmless: like the next attempt, it requires that
    // the row is absent.
    const auto open = state.open_writes.find(group);
    if (!state.rows.contains(group) && open != state.open_writes.end() &&
        open->second.unknown) {
      state.open_writes.erase(open);
    }
    return;
  }
  // The store may have answered a read that was sent before this daemon
  // received the row, before the row was created.
  const auto learned = state.hot_learned_at.find(group);
  if (learned != state.hot_learned_at.end() &&
      learned->second >= request_sent_at) {
    return;
  }
  state.open_writes.erase(group);
  RemoveRow(state, now, group, actions);
  // The parent's list contains a key without a row: remove the key, so that the
  // parent's owner serves it again.
  const auto parent = state.owned.find(ParentOf(group));
  if (parent == state.owned.end() ||
      parent->second.learned_at >= request_sent_at ||
      HasOpenWrite(state, parent->first) || parent->second.row.intent) {
    return;
  }
  GroupRow row = parent->second.row;
  if (std::erase(row.carved_out, *group.hot_key) > 0) {
    Submit(state, now, WriteKind::kMerge, {{row}}, actions);
  }
}

}  // namespace eelgrassbridge::ownership::detail
