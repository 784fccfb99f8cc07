// State of the control thread. Other threads share data with it only through
// the ring buffers, the gates and the published view.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_STATE_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_STATE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "eelgrassbridge/daemon/control_gates.hpp"
#include "eelgrassbridge/daemon/control_view.hpp"
#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/snapshot_thread.hpp"
#include "eelgrassbridge/daemon/store_thread.hpp"
#include "eelgrassbridge/membership/membership_commands.hpp"
#include "eelgrassbridge/ownership/ownership_commands.hpp"
#include "eelgrassbridge/wire/peer_bus.hpp"

namespace eelgrassbridge::daemon {

/// @brief Kinds of gossip items. The values are sent on the wire and must never
/// be reused.
enum class ItemKind : std::uint32_t {
  kRow = 1,        ///< Key and value of a group row as in the table.
  kCatalogue = 2,  ///< Version only; the catalogue itself is requested.
  kDemand = 3,     ///< Demand of client accounts at one daemon.
  kSuspect = 4,    ///< Requests that were in flight when a target died.
  kLoad = 5,       ///< Requests per second of all groups of one daemon.
};

/// @brief Phase of the daemon's start.
enum class StartPhase : std::uint8_t {
  /// The first read of the table has not completed.
  kReading,
  /// The read succeeded or failed, or a snapshot was loaded. All periodic work
  /// runs.
  kRunning,
};

/// @brief Member announcements that were submitted as one transaction and are
/// not confirmed yet.
struct PendingAnnouncement {
  std::vector<base::DaemonId> members;
  /// Member of each write of the transaction, in order; nullopt for a deletion.
  std::vector<std::optional<base::DaemonId>> written;
};

struct CatalogueControl {
  std::shared_ptr<const catalogue::Catalogue> current;
  std::string json;
  /// Newest version that another daemon announced, and the last daemon that
  /// announced it.
  std::uint64_t announced_version = 0;
  base::DaemonId announced_by;
  base::TimePoint next_request{};
  /// Earliest time to submit the initial catalogue again.
  base::TimePoint next_initial_submission{};
};

struct TableControl {
  /// Revision up to which all changes have been read.
  std::uint64_t revision = 0;
  /// The whole table has been read, directly or as a snapshot with the changes
  /// since.
  bool is_loaded = false;
  bool read_pending = false;
  bool poll_pending = false;
  bool reachable = false;
  /// The table holds no catalogue.
  bool has_no_catalogue = false;
  base::TimePoint next_read{};
  base::TimePoint next_poll{};
  /// Row versions of the members in the table.
  std::unordered_map<base::DaemonId, std::uint64_t> member_versions;
  /// By operation id.
  std::unordered_map<std::string, PendingAnnouncement> announcements;
};

struct SnapshotControl {
  bool request_pending = false;
  base::TimePoint next_request{};
  /// Revision of the last snapshot that this daemon wrote.
  std::uint64_t written_revision = 0;
  /// Time to write the snapshot again even if nothing has changed.
  base::TimePoint refresh_at{};
  /// The view is filled from a snapshot, until the table has been read.
  bool in_use = false;
  /// Revision of the loaded snapshot; only the changes after it are read. If
  /// nullopt, the whole table is read.
  std::optional<std::uint64_t> revision;
  /// Group rows of the loaded snapshot, passed to the ownership core after the
  /// table has returned the changes.
  std::vector<ownership::GroupRow> rows;
};

/// @brief State of the control thread, with queues of output to the other
/// threads (`to_*`). The control thread moves the queues into the ring buffers
/// after each round; tests read the queues directly.
struct ControlState {
  static constexpr std::uint32_t kMaxPendingReads = 2;

  ControlState(const settings::Settings& daemon_settings,
               const catalogue::Catalogue& first_catalogue,
               RequestContext& request_context,
               base::DaemonId id,
               base::TimePoint now);

  const settings::Settings& settings;
  const catalogue::Catalogue& initial_catalogue;
  RequestContext& context;
  base::DaemonId self;
  StartPhase phase = StartPhase::kReading;
  bool draining = false;
  bool target_usable = false;

  ownership::OwnershipState ownership;
  membership::MembershipState membership;
  CatalogueControl catalogue;
  TableControl table;
  SnapshotControl snapshot;
  ControlGates gates;
  ViewBuilder view;
  std::uint64_t next_operation = 1;
  std::uint64_t next_item_version = 1;
  base::TimePoint next_unresponsive_check{};
  base::TimePoint started_at;
  /// A daemon has sent a complete join reply.
  bool join_answered = false;
  std::size_t next_seed = 0;
  base::TimePoint next_join{};
  base::TimePoint next_exchange{};
  base::TimePoint next_demand{};
  /// Demand published by this daemon, in requests per second by limit name, for
  /// each gossip item key.
  std::map<std::string, std::map<std::string, double>> own_demand;
  base::TimePoint load_measured_at{};
  /// Last published load of this daemon, in requests per second.
  double published_load = 0;
  base::TimePoint next_load{};
  bool fleet_changed = true;

  /// Joining daemons that need the group rows because they have not read the
  /// table.
  std::unordered_set<base::DaemonId> joiners_wanting_rows;

  std::vector<wire::OutgoingMessage> to_peers;
  std::deque<StoreRead> to_reader;
  /// Reads passed to the store reader that have no result yet. The number is
  /// limited to kMaxPendingReads, so that reads still in `to_reader` can be
  /// merged.
  std::uint32_t pending_reads = 0;
  std::deque<StoreWrite> to_writer;
  std::deque<SnapshotRequest> to_snapshot;
  std::deque<ownership::GroupEpoch> to_target;
};

/// @brief Returns the peer address of a member; empty if it is not known.
std::string PeerAddressOf(const ControlState& state, base::DaemonId id);

/// @brief Queues a message for the peer bus. If the receiver is not a known
/// member, the message is dropped and counted.
void QueueMessage(ControlState& state,
                  base::DaemonId to,
                  wire::Message message);

/// @brief Queues keys for the store reader. Keys that are already queued are
/// not added again: the core repeats its requests while the store is slow, and
/// the queue would grow.
void QueueRead(ControlState& state, std::vector<std::string> keys);

/// @brief Returns a new operation id for a transaction of this daemon.
std::string NextOperationId(ControlState& state);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_STATE_HPP
