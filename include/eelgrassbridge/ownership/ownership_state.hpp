// Ownership as one daemon knows it.
//
// Only the control thread touches it, through ownership_commands.hpp. Rows of
// all groups are kept for routing and placement; the tick looks only at the
// groups that this daemon owns, is deputy of, or is taking over, and at short
// lists of work, so its cost does not grow with the number of rows.
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
  /// rewrite, ends this state.
  bool unknown = false;
  /// An earlier write over the same version has an unknown result, so this one
  /// failing to be sent does not end the state.
  bool follows_unknown = false;
};

/// @brief One row of a transaction; `row.version` is the version it replaces.
struct RowWrite {
  GroupRow row;
  bool is_delete = false;
  /// Whether the row is held in open_writes until the result is known.
  bool is_tracked = true;
};

/// @brief A transaction given to the store writer and not answered yet.
struct Operation {
  WriteKind kind = WriteKind::kCreate;
  std::vector<RowWrite> writes;
  base::TimePoint sent_at;
};

/// @brief A group that lost its owner in a spell of losses.
struct LostGroup {
  double demand = 0;
  base::GroupId group;
};

/// @brief A group that the table says this daemon owns.
///
/// Invariants: promise_sent_at moves only while no write of this daemon is
/// open on the row; read_sent_at moves only with a read that showed this owner,
/// this epoch and no intent; after a release has begun nothing is served until
/// the row is read or written again with this daemon as owner.
struct OwnedGroup {
  GroupRow row;
  /// When this version of the row became known here.
  base::TimePoint learned_at{};
  std::optional<base::TimePoint> promise_sent_at;
  std::optional<base::TimePoint> read_sent_at;
  bool gate_open = false;
  base::TimePoint gate_lease_end{};
  std::vector<std::uint64_t> gate_carved_out;
  /// The move under way: stop admitting, drain, write.
  base::DaemonId release_to;
  /// The drain ends in a merge with the parent and not in a move.
  bool merging = false;
  bool drained = false;
  /// A release or merge was written and is not resolved: nothing is served.
  bool release_sent = false;
  /// Next time at which a change (deputy, clearing, rewrite) may be tried.
  base::TimePoint retry_at{};
  /// Not released before: requests that entered through a gate closed since, or
  /// through the parent's gate before a carve-out, may still run.
  base::TimePoint movable_at{};
  /// Since when the present deputy is named.
  base::TimePoint deputy_since{};
};

/// @brief A group that this daemon is deputy of.
struct DeputyGroup {
  /// Row as this daemon itself last read it from the table.
  GroupRow row;
  base::TimePoint read_sent_at;
  std::optional<base::TimePoint> last_promise_at;
  /// Last request of the owner that covered the group.
  std::optional<base::TimePoint> last_request_at;
};

/// @brief A take-over under way.
struct TakeOver {
  enum class Phase : std::uint8_t { kQueued, kIntent, kWaiting, kFinal };
  Phase phase = Phase::kQueued;
  bool as_deputy = false;
  /// When it became known that the deputy promises no more.
  std::optional<base::TimePoint> deputy_stopped_at;
  GroupRow row;
  base::TimePoint intent_confirmed_at{};
  base::TimePoint asked_at{};
  base::TimePoint retry_at{};
  /// The intent was lost and the row is unchanged: write it again.
  bool resubmit = false;
  double demand = 0;
  /// Version up to which promising had stopped before this take-over.
  std::uint64_t stopped_before = 0;
};

/// @brief How long a key has been hot or cool.
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

  /// All rows known. Deleted rows are removed.
  std::unordered_map<base::GroupId, GroupRow> rows;
  std::unordered_map<base::DaemonId, std::unordered_set<base::GroupId>>
      by_owner;
  std::unordered_map<base::DaemonId, std::unordered_set<base::GroupId>>
      by_deputy;
  /// When the present version of a hot key's row became known here; only these
  /// rows are ever deleted.
  std::unordered_map<base::GroupId, base::TimePoint> hot_learned_at;
  /// Ordinary groups of each owner: what the balance counts. Hot keys are left
  /// out, since a parent that moves for balance when its hot key comes back
  /// would make the two chase each other.
  std::unordered_map<base::DaemonId, std::uint32_t> ordinary_count;

  std::unordered_map<base::GroupId, OwnedGroup> owned;
  std::unordered_map<base::GroupId, DeputyGroup> deputy_of;
  std::unordered_map<base::GroupId, TakeOver> take_overs;
  /// Writes not resolved, by group. One at a time for each row.
  std::unordered_map<base::GroupId, OpenWrite> open_writes;
  /// No promise for a row up to this version: a take-over by this daemon
  /// began, or a third party was told that promising stopped.
  std::unordered_map<base::GroupId, std::uint64_t> stopped_at_version;

  /// Transactions without an answer, by operation id.
  std::unordered_map<std::string, Operation> operations;
  /// Groups without owner and usable deputy that a third party should take.
  std::deque<base::GroupId> orphans;
  /// Groups of the catalogue without a row.
  std::deque<base::GroupId> missing;
  /// Rows that must be read from the table at the next tick.
  std::unordered_set<base::GroupId> to_read;
  /// Rows asked for and not yet answered, with the time of the question.
  std::unordered_map<base::GroupId, base::TimePoint> reads_open;
  /// No read is asked for before; set after a failed read.
  base::TimePoint reads_blocked_until{};
  /// The whole table was read once; nothing is created before.
  bool table_known = false;

  base::TimePoint next_promise{};
  /// Send times of the last requests to each deputy; only their echoes count.
  std::unordered_map<base::DaemonId, std::deque<base::TimePoint>> sent_requests;
  base::TimePoint next_deputy_read{};
  base::TimePoint next_balance{};
  base::TimePoint next_sweep{};
  /// Counts or members changed since the last look at the balance.
  bool balance_stale = true;

  /// Pace of writes that can wait.
  double tokens = 0;
  base::TimePoint tokens_at{};
  /// Groups that lost their owner or deputy in the present spell of losses; all
  /// daemons see about the same list, so a place in it spreads their writes.
  std::vector<LostGroup> lost_owner_groups;
  std::uint32_t lost_deputy_groups = 0;
  base::TimePoint first_loss{};
  base::TimePoint last_loss{};
  /// The store did not answer a write lately: no planned move is begun.
  base::TimePoint store_trouble_until{};

  std::unordered_map<base::GroupId, double> demand;
  std::unordered_map<base::DaemonId, double> owner_load;
  /// Last report about this daemon's own groups, until the tick has seen it.
  std::vector<GroupDemand> local_demand;
  std::unordered_map<base::GroupId, HotKeyWatch> hot;
  std::unordered_map<base::GroupId, HotKeyWatch> cool;

  std::uint64_t next_operation = 1;
  OwnershipCounters counters;
};

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_STATE_HPP
