// State of a node, on one event loop. Each part of the node works on it through
// free functions; nothing here needs a lock.
#ifndef EELGRASSBRIDGE_NODE_NODE_HPP
#define EELGRASSBRIDGE_NODE_NODE_HPP

#include <array>
#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"
#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/event.hpp"
#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/limits/cold_pacer.hpp"
#include "eelgrassbridge/limits/service_retry_budget.hpp"
#include "eelgrassbridge/limits/target_limiter.hpp"
#include "eelgrassbridge/node/event_log.hpp"
#include "eelgrassbridge/node/member.hpp"
#include "eelgrassbridge/node/own_target.hpp"
#include "eelgrassbridge/node/platform_port.hpp"
#include "eelgrassbridge/node/settings.hpp"
#include "eelgrassbridge/ranges/lease.hpp"
#include "eelgrassbridge/ranges/planning.hpp"
#include "eelgrassbridge/routing/target_choice.hpp"

namespace eelgrassbridge::node {

/// @brief Who is there, from the rows of the store.
struct Fleet {
  /// By address of the daemon.
  std::map<std::string, Member, std::less<>> members;
  /// Versions of the members' rows.
  std::map<std::string, std::uint64_t, std::less<>> versions;
  /// The choice among the targets of a service.
  std::map<std::string, routing::TargetTable, std::less<>> targets;
  /// Daemon by its number in the tables above.
  std::map<base::DaemonId, std::string> address_of;
  /// The rows have been read once.
  bool known = false;
  /// Members have changed since the choices were made. All rows of a page are
  /// taken before the choices are made again, because each time costs as much
  /// as there are members.
  bool choices_stale = false;
};

/// @brief Ownership in one service, as last read.
struct ServiceRanges {
  ranges::RangeMap map;
  std::uint64_t version = 0;
  base::TimePoint heard_at{};
};

/// @brief Count of requests by key, for planning. Old ones lose their weight.
struct KeyDemand {
  static constexpr std::size_t kBuckets = 1024;
  std::array<float, kBuckets> counts{};
  double total = 0;
  base::TimePoint decayed_at{};
  /// First request; the zero time before it.
  base::TimePoint began_at{};
  /// Mean run time; zero before the first answer.
  double run_seconds = 0;
};

/// @brief The lease of this daemon on its ranges.
struct LeaseState {
  ranges::LeaseOptions options;
  ranges::LeaseRight right;
  /// Version of the row that the next renewal replaces.
  std::uint64_t version = 0;
  /// The row has been read in this process.
  bool version_known = false;
  std::uint64_t sequence = 0;
  bool held = false;
  /// Time of the last plan for the balance of load.
  base::TimePoint balanced_at{};
};

/// @brief Requests that wait for a slot of the target.
struct SlotWaiter {
  explicit SlotWaiter(asio::io_context& io) : event(io) {}
  http::Event event;
  bool dispatched = false;
  std::optional<base::ErrorKind> refusal;
  std::uint64_t generation = 0;
};

struct Admission {
  limits::TargetLimiter limiter;
  limits::ColdPacer cold;
  std::map<limits::Ticket, std::shared_ptr<SlotWaiter>> waiters;
};

/// @brief How far this daemon and others have read a table.
struct TableProgress {
  /// Version of the latest change that was taken in.
  std::uint64_t taken = 0;
  /// The latest one that another daemon has taken in, and when it said so.
  std::uint64_t heard = 0;
  base::TimePoint heard_at{};
};

/// @brief Connection to the store as seen from here.
struct StoreView {
  explicit StoreView(asio::io_context& io) : changed(io) {}
  ranges::StoreClock clock;
  bool reachable = false;
  /// How often it has been lost.
  std::uint64_t losses = 0;
  /// It has been lost, a poll has ended, or another daemon knows more.
  http::Event changed;
  TableProgress operator_rows;
  TableProgress fleet_rows;
};

struct Node {
  Node(asio::io_context& event_loop,
       NodeSettings node_settings,
       PlatformPort platform_port);

  asio::io_context& io;
  NodeSettings settings;
  PlatformPort port;
  /// Identity of this process in the store's rows.
  std::string process;
  std::mt19937_64 random;

  /// None before the first version is known.
  std::shared_ptr<const catalogue::RouteTable> routes;
  std::set<std::string, std::less<>> data_centres_out;
  Fleet fleet;
  std::map<std::string, ServiceRanges, std::less<>> ranges;
  OwnTarget target;
  LeaseState lease;
  StoreView store;
  KeyDemand demand;
  Admission admission;
  limits::ServiceRetryBudget retries;

  http::ConnectionPool peers;
  http::ConnectionPool targets;
  http::Server callers_server;
  http::Server peers_server;
  http::Server readiness_server;
  http::Server reports_server;

  /// The target's grants, or its readiness, have changed.
  http::Event target_changed;
  /// Something that the lease's row or the planner depends on has changed.
  http::Event lease_wanted;
  /// The member's row has to be written.
  http::Event member_wanted;
  /// The map of a service has changed.
  http::Event ranges_changed;
  /// Ranges may have become free for their next owner.
  http::Event release_wanted;

  bool stopping = false;
  /// The planned stop is so far that no new request is taken.
  bool refusing = false;
  EventLog log;
  base::CounterRegistry counters;
};

/// @brief Adds one to a counter.
void Count(Node& node, std::string_view name, std::string_view labels = {});

/// @brief Whether the service of the target beside this daemon is divided by
/// key.
bool OwnsRanges(const Node& node);

/// @brief Version of the map of a divided service, for log lines; zero for
/// none.
std::int64_t RangesVersion(const Node& node, std::string_view service);

/// @brief Whether the target may be given requests now, as far as this daemon
/// knows.
bool TargetTakesRequests(const Node& node);

/// @brief Rebuilds the choice of targets after a change of members or of data
/// centres out of service.
void RefreshChoices(Node& node);

/// @brief The same, if members have changed since.
void RefreshStaleChoices(Node& node);

/// @brief The number that stands for a region in choices.
std::uint64_t RegionNumber(std::string_view region);

/// @brief The number that stands for a daemon in choices.
base::DaemonId NumberOf(std::string_view address);

/// @brief Notes an answer of the store, for its clock and reachability.
void NoteStore(Node& node,
               bool reachable,
               std::string_view cause,
               const StoreState* state,
               base::TimePoint sent_at);

/// @brief Notes the latest change of a table that another daemon knows.
void NoteHeard(Node& node, TableProgress& table, std::uint64_t version);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_NODE_HPP
