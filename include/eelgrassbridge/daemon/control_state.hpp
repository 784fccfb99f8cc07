// State of the control thread. Nothing here is shared with other threads
// except through the rings, the gates and the published view.
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

/// @brief Kinds of gossip items; numbers on the wire, never reused.
enum class ItemKind : std::uint32_t {
  kRow = 1,        ///< Key and value of the row as in the table.
  kCatalogue = 2,  ///< Version only; the text is asked for.
  kDemand = 3,     ///< Demand of client accounts at one daemon.
  kSuspect = 4,    ///< Requests that were in flight when a target died.
  kLoad = 5,       ///< Requests per second of all groups of one daemon.
};

/// @brief How far the start has come.
enum class StartPhase : std::uint8_t {
  /// The first read of the table is under way.
  kReading,
  /// It succeeded or failed; the daemon takes part.
  kRunning,
};

/// @brief Announcements that were written and are not confirmed.
struct OpenAnnouncement {
  std::vector<base::DaemonId> members;
  /// Member of each write, in the order of the writes; none: a deletion.
  std::vector<std::optional<base::DaemonId>> written;
};

struct CatalogueControl {
  std::shared_ptr<const catalogue::Catalogue> current;
  std::string json;
  /// Newest version heard of, and who may have it.
  std::uint64_t heard_version = 0;
  base::DaemonId heard_from;
  base::TimePoint next_request{};
  /// The initial catalogue was given to the writer.
  base::TimePoint next_initial_submission{};
};

struct TableControl {
  /// Revision up to which every change was read.
  std::uint64_t revision = 0;
  bool whole_read = false;
  bool read_open = false;
  bool poll_open = false;
  bool reachable = false;
  /// The table holds no catalogue.
  bool has_no_catalogue = false;
  base::TimePoint next_read{};
  base::TimePoint next_poll{};
  /// Table versions of announced members.
  std::unordered_map<base::DaemonId, std::uint64_t> member_versions;
  std::unordered_map<std::string, OpenAnnouncement> announcements;
};

struct SnapshotControl {
  bool request_open = false;
  base::TimePoint next_request{};
  /// Revision of the snapshot that this daemon wrote last.
  std::uint64_t written_revision = 0;
  base::TimePoint refresh_at{};
  /// A snapshot fills the view until the table has been read.
  bool is_used = false;
  /// From where the changes complete its rows; none: the table is read whole.
  std::optional<std::uint64_t> revision;
  /// Its group rows, for the core once the table has answered.
  std::vector<ownership::GroupRow> rows;
};

/// @brief Everything that control owns, and what waits to be given to the
/// other threads. The control thread empties these lists into the rings after
/// each round; tests look into them.
struct ControlState {
  static constexpr std::uint32_t kMaxReadsOpen = 2;

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
  base::TimePoint next_silence_check{};
  base::TimePoint started_at;
  /// A daemon of the seeds has answered the join.
  bool join_answered = false;
  std::size_t next_seed = 0;
  base::TimePoint next_join{};
  base::TimePoint next_exchange{};
  base::TimePoint next_demand{};
  /// Own demand as published, by item.
  std::map<std::string, std::map<std::string, double>> own_demand;
  base::TimePoint load_measured_at{};
  /// Own load as last published, in requests per second.
  double published_load = 0;
  base::TimePoint next_load{};
  bool fleet_changed = true;

  /// Joining daemons that cannot read the table.
  std::unordered_set<base::DaemonId> wants_rows;

  std::vector<wire::OutgoingMessage> to_peers;
  std::deque<StoreRead> to_reader;
  /// Reads given to the reader and not answered. At most kMaxReadsOpen, so
  /// that waiting reads can still be merged.
  std::uint32_t reads_open = 0;
  std::deque<StoreWrite> to_writer;
  std::deque<SnapshotRequest> to_snapshot;
  std::deque<ownership::GroupEpoch> to_target;
};

/// @brief Where a member is reached; empty if it is not known.
std::string PeerAddressOf(const ControlState& state, base::DaemonId id);

/// @brief Puts a message on the list for the peer bus; dropped and counted if
/// the receiver's address is not known.
void QueueMessage(ControlState& state,
                  base::DaemonId to,
                  wire::Message message);

/// @brief Puts keys on the list for the store reader. Keys that wait already
/// are not read twice: while the store is slow the core asks again, and the
/// list would grow.
void QueueRead(ControlState& state, std::vector<std::string> keys);

/// @brief A fresh operation id of this daemon's own transactions.
std::string NextOperationId(ControlState& state);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_STATE_HPP
