// Conditional writes of rows, the handling of their results, and the token
// bucket for deferrable writes.
#include <algorithm>

#include "eelgrassbridge/ownership/detail/core.hpp"
#include "eelgrassbridge/ownership/ownership_commands.hpp"

namespace eelgrassbridge::ownership {

namespace detail {

void Submit(OwnershipState& state,
            base::TimePoint now,
            WriteKind kind,
            std::vector<RowWrite> writes,
            Actions& actions) {
  store::Transaction transaction;
  transaction.operation_id =
      base::ToString(state.self) + "-" + std::to_string(state.next_operation++);
  for (RowWrite& write : writes) {
    write.row.operation_id = transaction.operation_id;
    transaction.writes.push_back(
        {RowKey(write.row.group), write.row.version,
         write.is_delete ? std::nullopt : std::optional(EncodeRow(write.row))});
    if (write.is_tracked) {
      const auto earlier = state.open_writes.find(write.row.group);
      const bool follows_unknown =
          earlier != state.open_writes.end() &&
          (earlier->second.unknown || earlier->second.follows_unknown);
      state.open_writes[write.row.group] = {
          kind,  transaction.operation_id, write.row.version, now,
          false, follows_unknown};
    }
  }
  state.operations[transaction.operation_id] = {kind, std::move(writes), now};
  actions.emplace_back(SubmitTransaction{std::move(transaction)});
}

bool HasOpenWrite(const OwnershipState& state, const base::GroupId& group) {
  return state.open_writes.contains(group);
}

bool TakeToken(OwnershipState& state, base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - state.tokens_updated_at;
  state.tokens =
      std::min(state.options.write_burst,
               state.tokens + elapsed.count() * state.options.write_rate);
  state.tokens_updated_at = now;
  if (state.tokens < 1) {
    return false;
  }
  state.tokens -= 1;
  return true;
}

void ResolveByVersion(OwnershipState& state, const GroupRow& row) {
  const auto open = state.open_writes.find(row.group);
  if (open == state.open_writes.end()) {
    return;
  }
  const bool is_passed = row.version > open->second.expected_version;
  const bool is_broken = state.options.broken.late_write_resolved_by_read &&
                         row.version == open->second.expected_version;
  // A write whose reply is still expected is resolved by that reply.
  if (open->second.unknown && (is_passed || is_broken)) {
    state.open_writes.erase(open);
  }
}

}  // namespace detail

namespace {

constexpr base::Duration kStoreTroubleDuration = base::seconds{2};

/// Removes the open writes of an operation. If `keep_unknown`, those that
/// follow a write of unknown result stay and are marked unknown.
void EndOpenWrites(OwnershipState& state,
                   const Operation& operation,
                   bool keep_unknown) {
  for (const RowWrite& write : operation.writes) {
    const auto open = state.open_writes.find(write.row.group);
    if (open == state.open_writes.end() ||
        open->second.operation_id != write.row.operation_id) {
      continue;
    }
    if (keep_unknown && open->second.follows_unknown) {
      open->second.unknown = true;
    } else {
      state.open_writes.erase(open);
    }
  }
}

void CountApplied(OwnershipState& state, const Operation& operation) {
  switch (operation.kind) {
    case WriteKind::kReplaceDeputy:
      ++state.counters.deputies_replaced;
      break;
    case WriteKind::kClearIntent:
      ++state.counters.intents_cleared;
      break;
    case WriteKind::kRelease:
      ++state.counters.releases_done;
      state.counters.hot_keys_moved +=
          operation.writes.front().row.group.hot_key ? 1 : 0;
      break;
    case WriteKind::kCarveOut:
      ++state.counters.hot_keys_carved_out;
      break;
    case WriteKind::kMerge:
      ++state.counters.hot_keys_merged;
      break;
    default:
      break;
  }
}

void OnApplied(OwnershipState& state,
               base::TimePoint now,
               Operation& operation,
               const store::TransactionResult& result,
               Actions& actions) {
  EndOpenWrites(state, operation, false);
  CountApplied(state, operation);
  for (std::size_t i = 0; i < operation.writes.size(); ++i) {
    GroupRow& row = operation.writes[i].row;
    if (operation.writes[i].is_delete) {
      detail::RemoveRow(state, now, row.group, actions);
      continue;
    }
    row.version =
        i < result.versions.size() ? result.versions[i] : row.version + 1;
    detail::ProcessRow(state, now, row, operation.sent_at, actions);
    if (operation.kind == WriteKind::kRelease) {
      actions.emplace_back(NotifyReceiver{row.owner, {row.group, row.epoch}});
    }
    if (operation.kind == WriteKind::kCarveOut && row.group.hot_key) {
      const auto owned = state.owned.find(row.group);
      if (owned != state.owned.end()) {
        owned->second.movable_at =
            now +
            RunLimitWait(state.options, detail::RunLimit(state, row.group));
      }
    }
  }
}

/// Cancels the releases and merges of an operation that did not take effect.
void CancelFailedReleases(OwnershipState& state,
                          base::TimePoint now,
                          const Operation& operation,
                          Actions& actions) {
  for (const RowWrite& write : operation.writes) {
    const auto owned = state.owned.find(write.row.group);
    if (owned != state.owned.end() && owned->second.release_sent &&
        !detail::HasOpenWrite(state, write.row.group)) {
      detail::CancelRelease(state, now, owned->second, actions);
      detail::UpdateGate(state, now, owned->second, actions);
    }
  }
}

void OnConflict(OwnershipState& state,
                base::TimePoint now,
                const Operation& operation,
                const store::TransactionResult& result,
                Actions& actions) {
  ++state.counters.write_conflicts;
  EndOpenWrites(state, operation, false);
  for (const RowWrite& write : operation.writes) {
    state.to_read.insert(write.row.group);
  }
  for (const store::Row& conflict : result.conflicts) {
    if (conflict.version == 0) {
      for (const RowWrite& write : operation.writes) {
        if (RowKey(write.row.group) == conflict.key) {
          state.to_read.erase(write.row.group);
          detail::ProcessAbsence(state, now, write.row.group, operation.sent_at,
                                 actions);
        }
      }
      continue;
    }
    const base::Result<GroupRow> row = DecodeRow(conflict);
    if (!row) {
      ++state.counters.rows_undecodable;
      continue;
    }
    state.to_read.erase(row.value().group);
    detail::ProcessRow(state, now, row.value(), operation.sent_at, actions);
    if (state.options.broken.blind_repeat &&
        operation.kind == WriteKind::kRelease) {
      RowWrite again = *std::ranges::find(
          operation.writes, row.value().group,
          [](const RowWrite& write) { return write.row.group; });
      again.row.version = conflict.version;
      detail::Submit(state, now, operation.kind, {again}, actions);
    }
  }
  detail::RepeatReleasesWithoutConflict(state, now, operation, result.conflicts,
                                        actions);
  CancelFailedReleases(state, now, operation, actions);
}

}  // namespace

void OnTransactionResult(OwnershipState& state,
                         base::TimePoint now,
                         std::string_view operation_id,
                         const store::TransactionResult& result,
                         Actions& actions) {
  const auto found = state.operations.find(std::string(operation_id));
  if (found == state.operations.end()) {
    return;
  }
  Operation operation = std::move(found->second);
  state.operations.erase(found);
  switch (result.status) {
    case store::TransactionResult::Status::kApplied:
      OnApplied(state, now, operation, result, actions);
      break;
    case store::TransactionResult::Status::kConflict:
      OnConflict(state, now, operation, result, actions);
      break;
    case store::TransactionResult::Status::kUnknown:
      ++state.counters.unknown_results;
      state.store_trouble_until = now + kStoreTroubleDuration;
      for (const RowWrite& write : operation.writes) {
        state.to_read.insert(write.row.group);
        const auto open = state.open_writes.find(write.row.group);
        if (open == state.open_writes.end() ||
            open->second.operation_id != operation_id) {
          continue;
        }
        const auto known = state.rows.find(write.row.group);
        if (known != state.rows.end() &&
            known->second.version > open->second.expected_version) {
          // A newer version of the row arrived before the result.
          state.open_writes.erase(open);
        } else {
          open->second.unknown = true;
        }
      }
      break;
    case store::TransactionResult::Status::kNotSent:
      state.store_trouble_until = now + kStoreTroubleDuration;
      EndOpenWrites(state, operation, true);
      detail::OnIntentNotSent(state, operation);
      CancelFailedReleases(state, now, operation, actions);
      break;
  }
}

}  // namespace eelgrassbridge::ownership
