// State of a node. All parts of the node access it through free functions on
// one event loop, so it needs no locks.
#ifndef EELGRASSBRIDGE_NODE_NODE_HPP
#define EELGRASSBRIDGE_NODE_NODE_HPP

#include <array>
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"
#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/event.hpp"
#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/limits/link_budget.hpp"
#include "eelgrassbridge/limits/service_retry_budget.hpp"
#include "eelgrassbridge/limits/target_limiter.hpp"
#include "eelgrassbridge/node/crash_record.hpp"
#include "eelgrassbridge/node/event_log.hpp"
#include "eelgrassbridge/node/member.hpp"
#include "eelgrassbridge/node/own_target.hpp"
#include "eelgrassbridge/node/platform_port.hpp"
#include "eelgrassbridge/node/quota_state.hpp"
#include "eelgrassbridge/node/renewal_batch.hpp"
#include "eelgrassbridge/node/row_copies.hpp"
#include "eelgrassbridge/node/settings.hpp"
#include "eelgrassbridge/ranges/lease.hpp"
#include "eelgrassbridge/ranges/planning.hpp"
#include "eelgrassbridge/ranges/recovery.hpp"
#include "eelgrassbridge/routing/crash_suspects.hpp"
#include "eelgrassbridge/routing/target_choice.hpp"

namespace eelgrassbridge::node {

/// @brief The daemons of the site, from the rows of the store.
struct Fleet {
  /// By daemon address.
  std::map<std::string, Member, std::less<>> members;
  /// Versions of the members' rows in the present era of the store, by daemon
  /// address.
  std::map<std::string, std::uint64_t, std::less<>> versions;
  /// Candidate targets, by service.
  std::map<std::string, routing::TargetTable, std::less<>> targets;
  /// Daemon address by the id used in `targets`.
  std::map<base::DaemonId, std::string> address_of;
  /// The rows of all services have been read at least once.
  bool loaded = false;
  /// The rows of this daemon's service have been read in the present era of the
  /// store, so `versions` has the version of each that exists.
  bool own_rows_read = false;
  /// Members have changed since `targets` was built. It is rebuilt only after
  /// all rows of a page are applied, because each rebuild takes time linear in
  /// the number of members.
  bool target_tables_stale = false;
  /// When daemons failed as relays or did not answer a probe, by address. An
  /// entry stays until the daemon answers a probe.
  std::map<std::string, base::TimePoint, std::less<>> failed_relays;
};

/// @brief Latest known range map of a service.
struct ServiceRanges {
  ranges::RangeMap map;
  /// Version of the row in the present era of the store; 0 if it has not been
  /// read in this era.
  std::uint64_t version = 0;
};

/// @brief Exponentially decaying counts of requests by key, for planning.
struct KeyDemand {
  static constexpr std::size_t kBuckets = 1024;
  std::array<float, kBuckets> counts{};
  double total = 0;
  base::TimePoint decayed_at{};
  /// Time of the first request; zero before it.
  base::TimePoint first_request_at{};
  /// Mean run time in seconds; zero before the first answer.
  double run_seconds = 0;
  /// Count of refusals by a full target; decays as `total` does.
  double refused = 0;
  /// Count and sum in seconds of run times, which decay more slowly.
  double steady_runs = 0;
  double steady_run_sum = 0;
  base::TimePoint steady_decayed_at{};
  /// Whether the routes in force call for adaptive limits, as of the last
  /// renewal of the lease.
  bool adaptive = false;
  /// When the load was last computed for a renewal.
  base::TimePoint published_at{};
};

/// @brief The lease of this daemon on its ranges.
struct LeaseState {
  ranges::LeaseOptions options;
  ranges::LeaseRight right;
  /// Right under the renewals since this era has no range map; takes effect
  /// with its first map.
  ranges::LeaseRight pending_right;
  /// Version of the row that the next renewal replaces.
  std::uint64_t version = 0;
  /// This process has read the row, so `version` is valid.
  bool version_known = false;
  std::uint64_t sequence = 0;
  /// The right is extended with each renewal.
  bool held = false;
  /// Era of the store in which the lease was last confirmed: the claims of this
  /// daemon were recorded, or the map was read under its lease.
  std::uint64_t held_era = 0;
  /// Content of the row at `version`, as far as it is known.
  ranges::LeaseRecord recorded;
  /// The service had no lease rows of any era when they were read.
  bool no_rows_found = false;
  /// Versions of lease rows that cannot be read, and the store time at which
  /// they were first seen, by daemon address.
  std::map<std::string, std::pair<std::uint64_t, base::Duration>> unreadable;
  /// Time of the last plan that balanced load.
  base::TimePoint balanced_at{};
};

/// @brief Recovery of the ownership of keys in the present era of the store;
/// see ranges/recovery.hpp.
struct RecoveryState {
  ranges::RecoveryRecord record;
  /// Version of the row; 0 if it has not been read.
  std::uint64_t version = 0;
  base::TimePoint received_at{};
};

/// @brief A request that waits for a slot of the target.
struct SlotWaiter {
  explicit SlotWaiter(asio::io_context& io) : event(io) {}
  http::Event event;
  bool dispatched = false;
  std::optional<base::ErrorKind> refusal;
  std::uint64_t generation = 0;
  limits::RunStart run_start;
};

struct Admission {
  explicit Admission(asio::io_context& io)
      : paced_start(io), body_arrived(io) {}
  limits::TargetLimiter limiter;
  /// Dispatches the next queued request when the pace of a cold target lets it
  /// start.
  http::Alarm paced_start;
  /// The last report of the target said that it is cold.
  bool reported_cold = false;
  std::map<limits::Ticket, std::shared_ptr<SlotWaiter>> waiters;
  /// Requests that will ask for a slot once their bodies have arrived, apart
  /// from those whose bodies take too long.
  std::uint32_t arriving_bodies = 0;
  /// Notified when `arriving_bodies` has decreased.
  http::Event body_arrived;
};

struct LinkShare;

/// @brief The VM's link; see link_share.hpp.
struct LinkState {
  explicit LinkState(asio::io_context& io) : turn_check(io) {}
  limits::LinkBudget budget;
  /// Downloads that wait for a turn, which remove themselves.
  std::map<limits::LinkTicket, LinkShare*> waiting;
  /// Gives turns when one of those that are given has stalled.
  http::Alarm turn_check;
  /// Sent bytes of this process that are recorded in the budget.
  std::uint64_t recorded_bytes = 0;
};

/// @brief Latest known changes of a table, here and on other daemons.
struct TableProgress {
  /// Version of the latest change that this daemon has applied.
  std::uint64_t applied_version = 0;
  /// Latest version that another daemon has reported as applied, and when that
  /// report arrived.
  std::uint64_t peer_version = 0;
  base::TimePoint peer_version_at{};
};

/// @brief Reachability, era, clock and read progress of the store.
///
/// Invariant: the clock, and the versions of both tables, are from answers in
/// the present era.
struct StoreView {
  explicit StoreView(asio::io_context& io) : changed(io) {}
  /// Latest known era of the store; see StoreState.
  std::uint64_t era = 0;
  /// An answer has told the era.
  bool era_known = false;
  /// The store was restored while this process ran.
  bool restored = false;
  /// Latest era that another daemon has reported.
  std::uint64_t peer_era = 0;
  ranges::StoreClock clock;
  bool reachable = false;
  /// How often the store has become unreachable.
  std::uint64_t losses = 0;
  /// Notified when the store becomes unreachable, when a poll ends, when an era
  /// begins, when another daemon reports a later era, or a later version of a
  /// table, and when the members have changed.
  http::Event changed;
  TableProgress operator_rows;
  TableProgress fleet_rows;
};

/// @brief A renewal of a lease that waits for the next batch.
struct WaitingRenewal {
  WaitingRenewal(asio::io_context& io, Renewal waiting)
      : renewal(std::move(waiting)), done(io) {}
  Renewal renewal;
  std::optional<base::Result<CommitResult>> result;
  /// Notified when `result` is set.
  http::Event done;
};

/// @brief Renewals of this daemon and of those whose delegate it is.
struct RenewalQueue {
  std::vector<std::shared_ptr<WaitingRenewal>> waiting;
  /// A coroutine commits batches until none is waiting.
  bool running = false;
  /// Until then this daemon renews its lease itself, because its delegate could
  /// not.
  base::TimePoint own_until{};
  /// Delegate in place of the relay, after neither the relay nor this daemon
  /// could renew the lease; else empty.
  std::string substitute;
};

/// @brief Crashes of targets and the requests that may have caused them; see
/// crash_watch.hpp.
struct CrashWatch {
  explicit CrashWatch(asio::io_context& io) : changed(io) {}
  routing::CrashSuspects suspects;
  /// Runs on the own target whose connections broke since its last sign of
  /// life.
  std::vector<CrashRecord> broken_runs;
  /// What this daemon's row has or is to have.
  std::vector<CrashRecord> own;
  /// The row that a former process of this daemon may have written has been
  /// read. Until then it is not replaced.
  bool former_row_read = false;
  bool unpublished = false;
  /// Notified when `unpublished` is set.
  http::Event changed;
};

struct RequestWatch;

struct Node {
  Node(asio::io_context& event_loop,
       NodeSettings node_settings,
       PlatformPort platform_port);

  asio::io_context& io;
  NodeSettings settings;
  PlatformPort port;
  /// Random id of this process in the store's rows.
  std::string process;
  std::mt19937_64 random;

  /// Null until the first version has been read.
  std::shared_ptr<const catalogue::RouteTable> routes;
  std::set<std::string, std::less<>> data_centres_out;
  Fleet fleet;
  std::map<std::string, ServiceRanges, std::less<>> ranges;
  OwnTarget target;
  LeaseState lease;
  RecoveryState recovery;
  StoreView store;
  OperatorCopy operator_copy;
  FleetCopy fleet_copy;
  RenewalQueue renewals;
  KeyDemand demand;
  Admission admission;
  LinkState link;
  limits::ServiceRetryBudget retries;
  CrashWatch crashes;
  QuotaState quota;

  http::ConnectionPool peers;
  http::ConnectionPool targets;
  http::Server callers_server;
  http::Server peers_server;
  http::Server readiness_server;
  http::Server reports_server;

  /// Notified when the target's grants or readiness may have changed.
  http::Event target_changed;
  /// Notified when an input of the lease row has changed, when the routes have
  /// changed, and when a range map arrives that this daemon's lease waits for.
  http::Event lease_inputs_changed;
  /// Notified when an input of this daemon's member row has changed.
  http::Event member_inputs_changed;
  /// Notified when the range map of a service has changed.
  http::Event ranges_changed;
  /// Notified when the target may have released ranges for their next owner.
  http::Event release_possible;

  /// A planned stop has begun.
  bool stopping = false;
  /// Ends the process after a stop; empty if the process is to go on.
  std::function<void()> end_process;
  /// New requests are refused; set in a later phase of the planned stop.
  bool refusing_requests = false;
  /// The requests that are being handled, which remove themselves.
  std::set<RequestWatch*> open_requests;
  EventLog log;
  base::CounterRegistry counters;
};

/// @brief Increments a counter of the node.
void Count(Node& node,
           std::string_view name,
           std::string_view labels = {},
           std::uint64_t number = 1);

/// @brief Whether the service of the target beside this daemon is divided by
/// key.
bool IsDividedByKey(const Node& node);

/// @brief Whether the range map that the own service has in the present era of
/// the store has been read. Until then, the former map serves only for routing
/// and for the daemon's own claims.
bool HasOwnMap(const Node& node);

/// @brief Version of a service's range map, for log lines; zero if there is
/// none.
std::int64_t RangesVersion(const Node& node, std::string_view service);

/// @brief Whether the target is serving and its data centre is in service, as
/// far as this daemon knows.
bool TargetTakesRequests(const Node& node);

/// @brief Rebuilds the target tables of all services, after a change of members
/// or of data centres out of service.
void RebuildTargetTables(Node& node);

/// @brief Rebuilds the target tables if members have changed since the last
/// rebuild.
void RebuildStaleTargetTables(Node& node);

/// @brief Hash that identifies a region in target tables.
std::uint64_t RegionIdOf(std::string_view region);

/// @brief Hash of a daemon's address that identifies it in target tables.
base::DaemonId DaemonIdOf(std::string_view address);

/// @brief Updates the store's reachability and clock from an answer of it.
/// @param state Null if the answer must not set the clock.
/// @param sent_at Time at which the call was sent.
void RecordStoreAnswer(Node& node,
                       const StoreState* state,
                       base::TimePoint sent_at);

/// @brief Updates the store's reachability from a failed call. A call that the
/// store has refused is counted and logged, but says nothing about others.
void RecordStoreFailure(Node& node, const base::Error& error);

/// @brief Records that another daemon has applied a version of a table.
void RecordPeerVersion(Node& node, TableProgress& table, std::uint64_t version);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_NODE_HPP
