// Results of the store threads, and when the table is read.
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
/// All daemons together poll the table 250 times a second at most, an eighth
/// of what it bears; a small site polls every 2 s.
constexpr std::int64_t kPollsPerSecond = 250;
constexpr base::Duration kMinPollInterval = base::seconds{2};
constexpr base::Duration kMaxPollInterval = base::seconds{60};
constexpr std::string_view kMemberPrefix = "member/";

/// @brief Rows of one read, sorted by what they hold.
struct SortedRows {
  std::vector<ownership::GroupRow> groups;
  std::vector<base::GroupId> asked;
  /// Deletions, as rows without an owner under the version of the read.
  std::vector<ownership::GroupRow> deleted;
  std::vector<membership::Member> members;
};

std::optional<base::GroupId> GroupOfRowKey(std::string_view key) {
  if (!key.starts_with(ownership::kGroupRowPrefix)) {
    return std::nullopt;
  }
  return base::ParseGroupId(key.substr(ownership::kGroupRowPrefix.size()));
}

void CountDamaged(ControlState& state) {
  base::GetCounter(state.context.counters, "table_rows_damaged_total")
      .fetch_add(1, std::memory_order_relaxed);
}

void SortMemberRow(ControlState& state,
                   const store::Row& row,
                   SortedRows& sorted) {
  const auto id = base::ParseDaemonId(
      std::string_view(row.key).substr(kMemberPrefix.size()));
  if (!id) {
    CountDamaged(state);
    return;
  }
  if (row.version == 0) {
    state.table.member_versions.erase(*id);
    return;
  }
  state.table.member_versions[*id] = row.version;
  auto member = membership::DecodeMember(row);
  if (member) {
    sorted.members.push_back(std::move(member).value());
  } else {
    CountDamaged(state);
  }
}

SortedRows SortRows(ControlState& state,
                    base::TimePoint now,
                    const store::ReadResult& read) {
  SortedRows sorted;
  for (const store::Row& row : read.rows) {
    if (row.key.starts_with(kMemberPrefix)) {
      SortMemberRow(state, row, sorted);
    } else if (row.key == kCatalogueKey) {
      AdoptCatalogueText(state, now, row.value);
    } else if (auto group = GroupOfRowKey(row.key)) {
      auto decoded = ownership::DecodeRow(row);
      if (row.version == 0) {
        ownership::GroupRow deleted;
        deleted.group = *group;
        deleted.version = read.revision;
        sorted.deleted.push_back(std::move(deleted));
        sorted.asked.push_back(std::move(*group));
      } else if (decoded) {
        sorted.asked.push_back(std::move(*group));
        sorted.groups.push_back(std::move(decoded).value());
      } else {
        CountDamaged(state);
      }
    }
  }
  return sorted;
}

void GiveRows(ControlState& state,
              base::TimePoint now,
              const StoreReadResult& result,
              const SortedRows& sorted) {
  const bool is_since = std::holds_alternative<ReadSinceSnapshot>(result.read);
  const bool is_whole =
      is_since || std::holds_alternative<ReadWholeTable>(result.read);
  // An empty list of the whole table is an answer as well: this daemon is the
  // first one.
  if (is_whole || !sorted.members.empty()) {
    membership::Actions actions;
    membership::OnTableMembers(state.membership, now, sorted.members, actions);
    CarryOut(state, now, actions);
  }
  ownership::Actions actions;
  ownership::OnRowsRead(
      state.ownership, now,
      {result.sent_at,
       is_whole ? std::span<const base::GroupId>() : sorted.asked, is_whole,
       sorted.groups},
      actions);
  // Only a read of the changes has a revision of its own.
  if (is_since || std::holds_alternative<ReadTableChanges>(result.read)) {
    ownership::OnPeerRows(state.ownership, now, sorted.deleted, actions);
  }
  CarryOut(state, now, actions, RowSource::kElsewhere);
}

void NoteReachable(ControlState& state, bool reachable) {
  if (state.table.reachable != reachable) {
    state.table.reachable = reachable;
    base::LogEvent(
        reachable ? "store_reachable" : "store_unreachable", {},
        reachable ? base::LogLevel::kNone : base::LogLevel::kWarning);
  }
}

/// Gives the core the rows of the snapshot that the changes complete. Returns
/// false if the table is older than the snapshot.
bool CompleteSnapshot(ControlState& state,
                      base::TimePoint now,
                      const StoreReadResult& result) {
  const auto since = std::get<ReadSinceSnapshot>(result.read).revision;
  if (result.rows->revision < since) {
    base::LogEvent("table_went_back", {}, base::LogLevel::kError);
    state.snapshot.revision.reset();
    return false;
  }
  // Rows that changed since are given as read only: the core could begin a
  // take-over by the older state.
  std::unordered_set<std::string_view> changed;
  for (const store::Row& row : result.rows->rows) {
    changed.insert(row.key);
  }
  std::erase_if(state.snapshot.rows, [&](const ownership::GroupRow& row) {
    return changed.contains(ownership::RowKey(row.group));
  });
  ownership::Actions actions;
  ownership::OnPeerRows(state.ownership, now, state.snapshot.rows, actions);
  CarryOut(state, now, actions, RowSource::kElsewhere);
  return true;
}

/// Returns whether the rows, with those of the snapshot, are the whole table.
bool NoteWholeRead(ControlState& state,
                   base::TimePoint now,
                   const StoreReadResult& result) {
  state.table.read_open = false;
  state.phase = StartPhase::kRunning;
  if (!result.rows) {
    return false;
  }
  const bool is_since = std::holds_alternative<ReadSinceSnapshot>(result.read);
  if (is_since && !CompleteSnapshot(state, now, result)) {
    return false;
  }
  state.table.whole_read = true;
  state.table.revision = result.rows->revision;
  state.snapshot.is_used = false;
  state.snapshot.rows = {};
  if (is_since) {
    return true;
  }
  state.table.has_no_catalogue = std::ranges::none_of(
      result.rows->rows,
      [](const store::Row& row) { return row.key == kCatalogueKey; });
  return true;
}

void NoteChanges(ControlState& state, const StoreReadResult& result) {
  state.table.poll_open = false;
  if (!result.rows) {
    return;
  }
  if (result.rows->revision < state.table.revision) {
    // The table was replaced by an older state of itself.
    base::LogEvent("table_went_back", {}, base::LogLevel::kError);
    state.table.whole_read = false;
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

void EndAnnouncement(ControlState& state,
                     base::TimePoint now,
                     const OpenAnnouncement& open,
                     const store::TransactionResult& result) {
  using Status = store::TransactionResult::Status;
  if (result.status == Status::kConflict) {
    const SortedRows sorted = SortRows(state, now, {result.conflicts, 0});
    membership::Actions actions;
    membership::OnTableMembers(state.membership, now, sorted.members, actions);
    CarryOut(state, now, actions);
    return;
  }
  if (result.status == Status::kUnknown) {
    // The versions come with the next poll; the core repeats the announcement.
    state.table.next_poll = now;
    return;
  }
  if (result.status == Status::kApplied) {
    for (std::size_t at = 0;
         at < std::min(open.written.size(), result.versions.size()); ++at) {
      if (open.written[at]) {
        state.table.member_versions[*open.written[at]] = result.versions[at];
      }
    }
    membership::OnAnnounced(state.membership, open.members);
  }
}

void EndTransaction(ControlState& state,
                    base::TimePoint now,
                    const TransactionEnd& end) {
  using Status = store::TransactionResult::Status;
  if (end.result.status == Status::kApplied ||
      end.result.status == Status::kConflict) {
    NoteReachable(state, true);
  }
  const auto announcement = state.table.announcements.find(end.operation_id);
  if (announcement != state.table.announcements.end()) {
    const OpenAnnouncement open = std::move(announcement->second);
    state.table.announcements.erase(announcement);
    EndAnnouncement(state, now, open, end.result);
    return;
  }
  ownership::Actions actions;
  ownership::OnTransactionResult(state.ownership, now, end.operation_id,
                                 end.result, actions);
  CarryOut(state, now, actions, RowSource::kOwnWrite);
}

void EndSubmission(ControlState& state,
                   base::TimePoint now,
                   SubmissionEnd end) {
  using Status = ChangeResult::Status;
  if (end.result.status == Status::kAccepted ||
      end.result.status == Status::kConflict) {
    AdoptCatalogue(state, now, end.result.current);
  }
  if (end.answer != nullptr) {
    end.answer->set_value(std::move(end.result));
  }
}

}  // namespace

void OnReadResult(ControlState& state,
                  base::TimePoint now,
                  const StoreReadResult& result) {
  NoteReachable(state, result.rows.has_value());
  if (std::holds_alternative<ReadWholeTable>(result.read) ||
      std::holds_alternative<ReadSinceSnapshot>(result.read)) {
    if (!NoteWholeRead(state, now, result)) {
      return;
    }
  } else if (std::holds_alternative<ReadTableChanges>(result.read)) {
    NoteChanges(state, result);
  } else if (!result.rows) {
    ownership::OnReadFailed(state.ownership, now);
  }
  if (result.rows) {
    GiveRows(state, now, result, SortRows(state, now, *result.rows));
  }
}

void OnWriteResult(ControlState& state,
                   base::TimePoint now,
                   StoreWriteResult result) {
  if (const auto* const end = std::get_if<TransactionEnd>(&result)) {
    EndTransaction(state, now, *end);
  } else {
    EndSubmission(state, now, std::get<SubmissionEnd>(std::move(result)));
  }
}

void TickTable(ControlState& state, base::TimePoint now) {
  if (!state.table.whole_read) {
    if (!state.table.read_open && now >= state.table.next_read) {
      state.table.read_open = true;
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
  if (!state.table.poll_open && now >= state.table.next_poll) {
    state.table.poll_open = true;
    state.table.next_poll = now + PollInterval(state);
    state.to_reader.emplace_back(ReadTableChanges{state.table.revision});
  }
}

}  // namespace eelgrassbridge::daemon
