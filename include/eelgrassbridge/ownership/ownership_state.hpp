// Ownership state of one daemon.
//
// Only the control thread accesses it, through ownership_commands.hpp. Rows of
// all groups are kept for routing and placement; a tick processes only the
// groups that this daemon owns, is deputy of, or is taking over, and short work
// queues, so its cost does not grow with the number of rows.
#ifndef EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_STATE_HPP
#define EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_STATE_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/ownership/group_row.hpp"
#include "eelgrassbridge/ownership/ownership_options.hpp"
#include "eelgrassbridge/ownership/placement.hpp"

namespace eelgrassbridge::ownership {

/// @brief Load of one group, and of its busiest keys.
struct GroupDemand {
  struct KeyLoad {
    std::uint64_t key_hash = 0;
    double requests_per_second = 0;
  };
  base::GroupId group;
  double requests_per_second = 0;
  std::vector<KeyLoad> busiest_keys;
};

/// @brief Why this daemon wrote a row.
enum class WriteKind : std::uint8_t {
  kCreate,
  kReplaceDeputy,
  kClearIntent,
  kRelease,
  kCarveOut,
  kMerge,
  kRewrite,
  kIntent,
  kTakeOver,
};

/// @brief A write of this daemon whose result is not known yet.
struct OpenWrite {
  WriteKind kind = WriteKind::kCreate;
  std::string operation_id;
  std::uint64_t expected_version = 0;
  base::TimePoint sent_at;
  /// The reply was lost. Only a version above expected_version, or a confirmed
  /// rewrite, resolves the write.
  bool unknown = false;
  /// An earlier write over the same version has an unknown result, so the
  /// result stays unknown if this write is not sent.
  bool follows_unknown = false;
};

/// @brief One row of a transaction; `row.version` is the version it replaces.
struct RowWrite {
  GroupRow row;
  bool is_delete = false;
  /// Whether the row is held in open_writes until the result is known.
  bool is_tracked = true;
};

/// @brief A transaction passed to the store writer that has no result yet.
struct Operation {
  WriteKind kind = WriteKind::kCreate;
  std::vector<RowWrite> writes;
  base::TimePoint sent_at;
};

/// @brief A group that lost its owner in the current burst of losses.
struct LostGroup {
  double demand = 0;
  base::GroupId group;
};

/// @brief A group that this daemon owns according to the table.
///
/// Invariants: promise_sent_at advances only while this daemon has no open
/// write on the row; read_sent_at advances only with a read that showed this
/// owner, this epoch and no intent; after a release has begun nothing is served
/// until the row is read or written again with this daemon as owner.
struct OwnedGroup {
  GroupRow row;
  /// When this daemon received this version of the row.
  base::TimePoint learned_at{};
  std::optional<base::TimePoint> promise_sent_at;
  std::optional<base::TimePoint> read_sent_at;
  bool gate_open = false;
  base::TimePoint gate_lease_end{};
  std::vector<std::uint64_t> gate_carved_out;
  /// Receiver of the planned move in progress (stop admitting, drain, write);
  /// none: no move.
  base::DaemonId release_to;
  /// The drain ends in a merge with the parent instead of a move.
  bool merging = false;
  bool drained = false;
  /// A release or merge was submitted and is not resolved: nothing is served.
  bool release_sent = false;
  /// Earliest time of the next row change (deputy, clearing, rewrite).
  base::TimePoint retry_at{};
  /// Earliest time of a release. Until then, requests admitted by a gate that
  /// was closed, or by the parent's gate before a carve-out, may still run.
  base::TimePoint movable_at{};
  /// When the row first named the current deputy.
  base::TimePoint deputy_since{};
};

/// @brief A group that this daemon is deputy of.
struct DeputyGroup {
  /// Row as this daemon last read it from the table itself.
  GroupRow row;
  base::TimePoint read_sent_at;
  std::optional<base::TimePoint> last_promise_at;
  /// Time of the owner's last promise request for the group.
  std::optional<base::TimePoint> last_request_at;
};

/// @brief A take-over in progress.
struct TakeOver {
  enum class Phase : std::uint8_t { kQueued, kIntent, kWaiting, kFinal };
  Phase phase = Phase::kQueued;
  bool as_deputy = false;
  /// When this daemon learned that the deputy has stopped promising.
  std::optional<base::TimePoint> deputy_stopped_at;
  GroupRow row;
  base::TimePoint intent_confirmed_at{};
  base::TimePoint stop_requested_at{};
  base::TimePoint retry_at{};
  /// The intent did not take effect and the row is unchanged: submit it again.
  bool resubmit = false;
  double demand = 0;
  /// Value of stopped_at_version before this take-over.
  std::uint64_t previous_stopped_version = 0;
};

/// @brief Since when a key has been hot or cool without interruption.
struct HotKeyWatch {
  base::TimePoint since{};
  base::TimePoint last_seen{};
};

struct OwnershipCounters {
  std::uint64_t take_overs_begun = 0;
  std::uint64_t take_overs_done = 0;
  std::uint64_t take_overs_given_up = 0;
  std::uint64_t releases_done = 0;
  std::uint64_t deputies_replaced = 0;
  std::uint64_t intents_cleared = 0;
  std::uint64_t unknown_results = 0;
  std::uint64_t write_conflicts = 0;
  std::uint64_t promises_ignored = 0;
  std::uint64_t clock_jumps = 0;
  std::uint64_t rows_undecodable = 0;
  std::uint64_t hot_keys_carved_out = 0;
  std::uint64_t hot_keys_moved = 0;
  std::uint64_t hot_keys_merged = 0;
};

struct OwnershipState {
  base::DaemonId self;
  OwnershipOptions options;
  base::TimePoint started_at;
  base::TimePoint last_tick;
  bool draining = false;
  bool target_usable = true;
  std::shared_ptr<const catalogue::Catalogue> catalogue;
  PlacementView placement;

  /// All known rows; deleted rows are removed.
  std::unordered_map<base::GroupId, GroupRow> rows;
  std::unordered_map<base::DaemonId, std::unordered_set<base::GroupId>>
      by_owner;
  std::unordered_map<base::DaemonId, std::unordered_set<base::GroupId>>
      by_deputy;
  /// When this daemon received the current version of a hot key's row. Only
  /// rows of hot keys are ever deleted.
  std::unordered_map<base::GroupId, base::TimePoint> hot_learned_at;
  /// Number of ordinary groups of each owner, which is what Balance compares.
  /// Hot keys do not count: otherwise a hot key that returns to its parent's
  /// owner could make the parent move for balance, and so on without end.
  std::unordered_map<base::DaemonId, std::uint32_t> ordinary_count;

  std::unordered_map<base::GroupId, OwnedGroup> owned;
  std::unordered_map<base::GroupId, DeputyGroup> deputy_of;
  std::unordered_map<base::GroupId, TakeOver> take_overs;
  /// Unresolved writes by group; at most one for each row.
  std::unordered_map<base::GroupId, OpenWrite> open_writes;
  /// No promise is given for a row up to this version: this daemon began a
  /// take-over, or confirmed to a third party that it stopped promising.
  std::unordered_map<base::GroupId, std::uint64_t> stopped_at_version;

  /// Transactions that have no result yet, by operation id.
  std::unordered_map<std::string, Operation> operations;
  /// Groups with a lost owner and no usable deputy, for a third party.
  std::deque<base::GroupId> ownerless_groups;
  /// Groups of the catalogue without a row.
  std::deque<base::GroupId> missing;
  /// Rows that must be read from the table at the next tick.
  std::unordered_set<base::GroupId> to_read;
  /// Outstanding reads by group, with the time of the request.
  std::unordered_map<base::GroupId, base::TimePoint> outstanding_reads;
  /// No read is requested before this time; set after a failed read.
  base::TimePoint reads_blocked_until{};
  /// The whole table has been read once; no row is created before that.
  bool table_known = false;

  base::TimePoint next_promise{};
  /// Send times of the latest promise requests to each deputy. A reply that
  /// echoes any other time is ignored.
  std::unordered_map<base::DaemonId, std::deque<base::TimePoint>> sent_requests;
  base::TimePoint next_deputy_read{};
  base::TimePoint next_balance{};
  base::TimePoint next_sweep{};
  /// Counts or members changed since the balance was last computed.
  bool balance_stale = true;

  /// Token bucket for deferrable writes.
  double tokens = 0;
  base::TimePoint tokens_updated_at{};
  /// Groups that lost their owner, and number of groups that lost their deputy,
  /// in the current burst of losses. All daemons have nearly the same list, so
  /// a group's position in it spreads the writes over time.
  std::vector<LostGroup> lost_owner_groups;
  std::uint32_t lost_deputy_groups = 0;
  base::TimePoint first_loss{};
  base::TimePoint last_loss{};
  /// Until this time no planned move or creation begins, because a recent write
  /// was not sent or got no reply.
  base::TimePoint store_trouble_until{};

  std::unordered_map<base::GroupId, double> demand;
  std::unordered_map<base::DaemonId, double> owner_load;
  /// Latest load report on this daemon's own groups, until a tick handles it.
  std::vector<GroupDemand> local_demand;
  /// Keys that are hot by the latest reports, with or without a row of their
  /// own, and rows of hot keys that have become cool.
  std::unordered_map<base::GroupId, HotKeyWatch> hot;
  std::unordered_map<base::GroupId, HotKeyWatch> cool;

  std::uint64_t next_operation = 1;
  OwnershipCounters counters;
};

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_STATE_HPP
