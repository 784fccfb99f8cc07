// Handles results of the store threads, and schedules reads of the table.
#include "eelgrassbridge/daemon/control_table.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>

#include "eelgrassbridge/base/log.hpp"
#include "eelgrassbridge/daemon/catalogue_store.hpp"
#include "eelgrassbridge/daemon/control_actions.hpp"
#include "eelgrassbridge/daemon/control_catalogue.hpp"
#include "eelgrassbridge/daemon/control_events.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr base::Duration kRetryInterval = base::seconds{1};
/// All daemons together poll the table at most 250 times per second, which is
/// an eighth of its capacity. In a small site each daemon polls every 2 s.
constexpr std::int64_t kPollsPerSecond = 250;
constexpr base::Duration kMinPollInterval = base::seconds{2};
constexpr base::Duration kMaxPollInterval = base::seconds{60};
constexpr std::string_view kMemberPrefix = "member/";

/// @brief Rows of one read, by type.
struct RowsByType {
  std::vector<ownership::GroupRow> groups;
  std::vector<base::GroupId> read_groups;
  /// Deleted group rows: no owner, and the revision of the read as version.
  std::vector<ownership::GroupRow> deleted;
  std::vector<membership::Member> members;
};

std::optional<base::GroupId> GroupOfRowKey(std::string_view key) {
  if (!key.starts_with(ownership::kGroupRowPrefix)) {
    return std::nullopt;
  }
  return base::ParseGroupId(key.substr(ownership::kGroupRowPrefix.size()));
}

void CountDamagedRow(ControlState& state) {
  base::GetCounter(state.context.counters, "table_rows_damaged_total")
      .fetch_add(1, std::memory_order_relaxed);
}

void AddMemberRow(ControlState& state,
                  const store::Row& row,
                  RowsByType& rows) {
  const auto id = base::ParseDaemonId(
      std::string_view(row.key).substr(kMemberPrefix.size()));
  if (!id) {
    CountDamagedRow(state);
    return;
  }
  if (row.version == 0) {
    state.table.member_versions.erase(*id);
    return;
  }
  state.table.member_versions[*id] = row.version;
  auto member = membership::DecodeMember(row);
  if (member) {
    rows.members.push_back(std::move(member).value());
  } else {
    CountDamagedRow(state);
  }
}

RowsByType SplitRowsByType(ControlState& state,
                           base::TimePoint now,
                           const store::ReadResult& read) {
  RowsByType rows;
  for (const store::Row& row : read.rows) {
    if (row.key.starts_with(kMemberPrefix)) {
      AddMemberRow(state, row, rows);
    } else if (row.key == kCatalogueKey) {
      AdoptCatalogueText(state, now, row.value);
    } else if (auto group = GroupOfRowKey(row.key)) {
      auto decoded = ownership::DecodeRow(row);
      if (row.version == 0) {
        ownership::GroupRow deleted;
        deleted.group = *group;
        deleted.version = read.revision;
        rows.deleted.push_back(std::move(deleted));
        rows.read_groups.push_back(std::move(*group));
      } else if (decoded) {
        rows.read_groups.push_back(std::move(*group));
        rows.groups.push_back(std::move(decoded).value());
      } else {
        CountDamagedRow(state);
      }
    }
  }
  return rows;
}

void PassRowsToCores(ControlState& state,
                     base::TimePoint now,
                     const StoreReadResult& result,
                     const RowsByType& rows) {
  const bool completes_snapshot =
      std::holds_alternative<ReadSinceSnapshot>(result.read);
  const bool is_whole =
      completes_snapshot || std::holds_alternative<ReadWholeTable>(result.read);
  // A read of the whole table without any member is reported too: it shows that
  // this daemon is the first one.
  if (is_whole || !rows.members.empty()) {
    membership::Actions actions;
    membership::OnTableMembers(state.membership, now, rows.members, actions);
    CarryOut(state, now, actions);
  }
  ownership::Actions actions;
  ownership::OnRowsRead(
      state.ownership, now,
      {result.sent_at,
       is_whole ? std::span<const base::GroupId>() : rows.read_groups, is_whole,
       rows.groups},
      actions);
  // Deletions need the revision of the read as version, which only reads of
  // changes return.
  if (completes_snapshot ||
      std::holds_alternative<ReadTableChanges>(result.read)) {
    ownership::OnPeerRows(state.ownership, now, rows.deleted, actions);
  }
  CarryOut(state, now, actions, RowSource::kOther);
}

void SetReachable(ControlState& state, bool reachable) {
  if (state.table.reachable != reachable) {
    state.table.reachable = reachable;
    base::LogEvent(
        reachable ? "store_reachable" : "store_unreachable", {},
        reachable ? base::LogLevel::kNone : base::LogLevel::kWarning);
  }
}

/// Passes the rows of the snapshot, except those that have changed since, to
/// the ownership core. Returns false if the table is older than the snapshot.
bool CompleteSnapshot(ControlState& state,
                      base::TimePoint now,
                      const StoreReadResult& result) {
  const auto since = std::get<ReadSinceSnapshot>(result.read).revision;
  if (result.rows->revision < since) {
    base::LogEvent("table_went_back", {}, base::LogLevel::kError);
    state.snapshot.revision.reset();
    return false;
  }
  // Only the current state of a changed row may reach the core; with the state
  // of the snapshot it could begin a take-over.
  std::unordered_set<std::string_view> changed;
  for (const store::Row& row : result.rows->rows) {
    changed.insert(row.key);
  }
  std::erase_if(state.snapshot.rows, [&](const ownership::GroupRow& row) {
    return changed.contains(ownership::RowKey(row.group));
  });
  ownership::Actions actions;
  ownership::OnPeerRows(state.ownership, now, state.snapshot.rows, actions);
  CarryOut(state, now, actions, RowSource::kOther);
  return true;
}

/// Returns whether the rows read, together with those of the snapshot, are the
/// whole table.
bool OnWholeTableRead(ControlState& state,
                      base::TimePoint now,
                      const StoreReadResult& result) {
  state.table.read_pending = false;
  state.phase = StartPhase::kRunning;
  if (!result.rows) {
    return false;
  }
  const bool completes_snapshot =
      std::holds_alternative<ReadSinceSnapshot>(result.read);
  if (completes_snapshot && !CompleteSnapshot(state, now, result)) {
    return false;
  }
  state.table.is_loaded = true;
  state.table.revision = result.rows->revision;
  state.snapshot.in_use = false;
  state.snapshot.rows = {};
  if (completes_snapshot) {
    return true;
  }
  state.table.has_no_catalogue = std::ranges::none_of(
      result.rows->rows,
      [](const store::Row& row) { return row.key == kCatalogueKey; });
  return true;
}

void OnChangesRead(ControlState& state, const StoreReadResult& result) {
  state.table.poll_pending = false;
  if (!result.rows) {
    return;
  }
  if (result.rows->revision < state.table.revision) {
    // The table was restored from an older state.
    base::LogEvent("table_went_back", {}, base::LogLevel::kError);
    state.table.is_loaded = false;
    return;
  }
  state.table.revision = result.rows->revision;
  for (const store::Row& row : result.rows->rows) {
    if (row.key == kCatalogueKey) {
      state.table.has_no_catalogue = false;
    }
  }
}

base::Duration PollInterval(const ControlState& state) {
  const auto alive =
      static_cast<std::int64_t>(membership::AliveCount(state.membership));
  return std::clamp<base::Duration>(alive * base::seconds{1} / kPollsPerSecond,
                                    kMinPollInterval, kMaxPollInterval);
}

void CompleteAnnouncement(ControlState& state,
                          base::TimePoint now,
                          const PendingAnnouncement& pending,
                          const store::TransactionResult& result) {
  using Status = store::TransactionResult::Status;
  if (result.status == Status::kConflict) {
    const RowsByType rows = SplitRowsByType(state, now, {result.conflicts, 0});
    membership::Actions actions;
    membership::OnTableMembers(state.membership, now, rows.members, actions);
    CarryOut(state, now, actions);
    return;
  }
  if (result.status == Status::kUnknown) {
    // The next poll reads the row versions, and the core repeats the
    // announcement.
    state.table.next_poll = now;
    return;
  }
  if (result.status == Status::kApplied) {
    for (std::size_t at = 0;
         at < std::min(pending.written.size(), result.versions.size()); ++at) {
      if (pending.written[at]) {
        state.table.member_versions[*pending.written[at]] = result.versions[at];
      }
    }
    membership::OnAnnounced(state.membership, pending.members);
  }
}

void CompleteTransaction(ControlState& state,
                         base::TimePoint now,
                         const TransactionCompletion& completion) {
  using Status = store::TransactionResult::Status;
  if (completion.result.status == Status::kApplied ||
      completion.result.status == Status::kConflict) {
    SetReachable(state, true);
  }
  const auto announcement =
      state.table.announcements.find(completion.operation_id);
  if (announcement != state.table.announcements.end()) {
    const PendingAnnouncement pending = std::move(announcement->second);
    state.table.announcements.erase(announcement);
    CompleteAnnouncement(state, now, pending, completion.result);
    return;
  }
  ownership::Actions actions;
  ownership::OnTransactionResult(state.ownership, now, completion.operation_id,
                                 completion.result, actions);
  CarryOut(state, now, actions, RowSource::kOwnWrite);
}

void CompleteSubmission(ControlState& state,
                        base::TimePoint now,
                        SubmissionCompletion completion) {
  using Status = ChangeResult::Status;
  if (completion.result.status == Status::kAccepted ||
      completion.result.status == Status::kConflict) {
    AdoptCatalogue(state, now, completion.result.current);
  }
  if (completion.answer != nullptr) {
    completion.answer->set_value(std::move(completion.result));
  }
}

}  // namespace

void OnReadResult(ControlState& state,
                  base::TimePoint now,
                  const StoreReadResult& result) {
  SetReachable(state, result.rows.has_value());
  if (std::holds_alternative<ReadWholeTable>(result.read) ||
      std::holds_alternative<ReadSinceSnapshot>(result.read)) {
    if (!OnWholeTableRead(state, now, result)) {
      return;
    }
  } else if (std::holds_alternative<ReadTableChanges>(result.read)) {
    OnChangesRead(state, result);
  } else if (!result.rows) {
    ownership::OnReadFailed(state.ownership, now);
  }
  if (result.rows) {
    PassRowsToCores(state, now, result,
                    SplitRowsByType(state, now, *result.rows));
  }
}

void OnWriteResult(ControlState& state,
                   base::TimePoint now,
                   StoreWriteResult result) {
  if (const auto* const completion =
          std::get_if<TransactionCompletion>(&result)) {
    CompleteTransaction(state, now, *completion);
  } else {
    CompleteSubmission(state, now,
                       std::get<SubmissionCompletion>(std::move(result)));
  }
}

void TickTable(ControlState& state, base::TimePoint now) {
  if (!state.table.is_loaded) {
    if (!state.table.read_pending && now >= state.table.next_read) {
      state.table.read_pending = true;
      state.table.next_read = now + kRetryInterval;
      if (state.snapshot.revision) {
        state.to_reader.emplace_back(
            ReadSinceSnapshot{*state.snapshot.revision});
      } else {
        state.to_reader.emplace_back(ReadWholeTable{});
      }
    }
    return;
  }
  if (!state.table.poll_pending && now >= state.table.next_poll) {
    state.table.poll_pending = true;
    state.table.next_poll = now + PollInterval(state);
    state.to_reader.emplace_back(ReadTableChanges{state.table.revision});
  }
}

}  // namespace eelgrassbridge::daemon
