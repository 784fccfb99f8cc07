// Construction of the node state, queries on it, and the target tables.
#include "eelgrassbridge/node/node.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/base/identifier.hpp"

namespace eelgrassbridge::node {

namespace {

/// Slots until the target reports its own number.
constexpr std::uint32_t kInitialSlots = 4;
constexpr std::uint32_t kInitialConnections = 64;
/// Maximum number of requests that wait for the target; further ones are
/// refused at once.
constexpr std::uint32_t kQueueCapacity = 48;

/// Part of the retry ratio that the budget earns per request; see
/// ServiceRetryOptions.
constexpr double kEarnedRatioShare = 0.35;

/// Time constant for the decay of a target's reported load. With many daemons,
/// each of them gets an answer from a target only about once a second.
constexpr base::Duration kLoadDecay = base::milliseconds{4000};

http::PoolOptions TargetPoolOptions() {
  http::PoolOptions options;
  // The target is on the same VM, so a connection that is not accepted soon
  // means that the target is down or overloaded.
  options.connect_timeout = std::chrono::milliseconds{200};
  return options;
}

limits::TargetLimiter MakeLimiter() {
  limits::TargetLimiterOptions options;
  options.slots = kInitialSlots;
  options.connections = kInitialConnections;
  options.queue_capacity = kQueueCapacity;
  // The target reports its slots and its remaining cold time itself.
  options.use_ramp = false;
  options.use_pace = true;
  return limits::MakeTargetLimiter(options);
}

limits::ServiceRetryOptions RetryOptions(const Bounds& bounds) {
  limits::ServiceRetryOptions options;
  options.earned_per_request = bounds.retry_ratio * kEarnedRatioShare;
  options.extra = bounds.retry_extra;
  options.window = bounds.retry_window;
  return options;
}

routing::Locality LocalityOf(const Node& node, const Member& member) {
  if (member.data_centre == node.settings.data_centre) {
    return routing::Locality::kDataCentre;
  }
  return RegionOf(node.settings, member.data_centre) == node.settings.region
             ? routing::Locality::kRegion
             : routing::Locality::kOtherRegion;
}

}  // namespace

Node::Node(asio::io_context& event_loop,
           NodeSettings node_settings,
           PlatformPort platform_port)
    : io(event_loop),
      settings(std::move(node_settings)),
      port(std::move(platform_port)),
      process(base::RandomHex128()),
      random(base::NewDaemonId().value),
      store(event_loop),
      operator_copy(event_loop),
      fleet_copy(event_loop),
      admission(event_loop),
      link(event_loop),
      crashes(event_loop),
      quota(event_loop),
      peers(event_loop, http::PoolOptions{}),
      targets(event_loop, TargetPoolOptions()),
      callers_server(event_loop),
      peers_server(event_loop),
      readiness_server(event_loop),
      reports_server(event_loop),
      target_changed(event_loop),
      lease_inputs_changed(event_loop),
      member_inputs_changed(event_loop),
      ranges_changed(event_loop),
      release_possible(event_loop) {
  this->admission.limiter = MakeLimiter();
  this->admission.limiter.pace.known_since = base::BootClock::now();
  this->retries.options = RetryOptions(this->settings.bounds);
  this->lease.options.hold =
      std::min(this->lease.options.hold, this->settings.bounds.max_hold);
  this->log.name = this->settings.name;
}

void Count(Node& node,
           std::string_view name,
           std::string_view labels,
           std::uint64_t number) {
  base::GetCounter(node.counters, name, labels) += number;
}

bool IsDividedByKey(const Node& node) {
  if (!node.routes) {
    return false;
  }
  const auto* const service =
      catalogue::FindService(*node.routes, node.settings.service);
  return service != nullptr && service->divided_by_key;
}

bool HasOwnMap(const Node& node) {
  const auto found = node.ranges.find(node.settings.service);
  return found != node.ranges.end() && found->second.version > 0;
}

std::int64_t RangesVersion(const Node& node, std::string_view service) {
  const auto found = node.ranges.find(service);
  return found == node.ranges.end()
             ? 0
             : static_cast<std::int64_t>(found->second.version);
}

bool TargetTakesRequests(const Node& node) {
  return IsServing(node.target) &&
         !node.data_centres_out.contains(node.settings.data_centre);
}

void RebuildStaleTargetTables(Node& node) {
  if (node.fleet.target_tables_stale) {
    RebuildTargetTables(node);
    // Relays are chosen among the members.
    http::Notify(node.store.changed);
  }
}

void RebuildTargetTables(Node& node) {
  std::map<std::string, std::vector<routing::TargetMember>> by_service;
  node.fleet.address_of.clear();
  for (const auto& [address, member] : node.fleet.members) {
    const bool eligible =
        member.serving && !node.data_centres_out.contains(member.data_centre);
    const base::DaemonId id = DaemonIdOf(address);
    node.fleet.address_of[id] = address;
    by_service[member.service].push_back(
        {id, LocalityOf(node, member), eligible, member.slots,
         RegionIdOf(RegionOf(node.settings, member.data_centre))});
  }
  node.fleet.target_tables_stale = false;
  for (auto& [service, table] : node.fleet.targets) {
    if (!by_service.contains(service)) {
      routing::SetMembers(table, {});
    }
  }
  for (const auto& [service, members] : by_service) {
    routing::TargetTable& table = node.fleet.targets[service];
    table.options.spill = true;
    table.options.report_decay = kLoadDecay;
    routing::SetMembers(table, members);
  }
}

std::uint64_t RegionIdOf(std::string_view region) {
  return base::Hash64(region);
}

base::DaemonId DaemonIdOf(std::string_view address) {
  return base::DaemonId{base::Hash64(address)};
}

void RecordStoreAnswer(Node& node,
                       const StoreState* state,
                       base::TimePoint sent_at) {
  if (state != nullptr) {
    node.store.clock = {state->time, sent_at, true};
  }
  if (!node.store.reachable) {
    node.store.reachable = true;
    Log(node.log, EventKind::kStoreRegained, {});
  }
}

void RecordStoreFailure(Node& node, const base::Error& error) {
  using base::ErrorKind;
  if (error.kind == ErrorKind::kNotFound) {
    return;
  }
  if (error.kind == ErrorKind::kOverloaded ||
      error.kind == ErrorKind::kBadRequest) {
    Count(node, "store_calls_refused_total",
          fmt::format("cause=\"{}\"", base::ErrorName(error.kind)));
    Log(node.log, EventKind::kStoreRefused, {{"cause", error.detail}});
    return;
  }
  if (node.store.reachable) {
    node.store.reachable = false;
    ++node.store.losses;
    http::Notify(node.store.changed);
    Log(node.log, EventKind::kStoreLost, {{"cause", error.detail}});
  }
}

void RecordPeerVersion(Node& node,
                       TableProgress& table,
                       std::uint64_t version) {
  if (version <= table.peer_version) {
    return;
  }
  table.peer_version = version;
  table.peer_version_at = base::BootClock::now();
  http::Notify(node.store.changed);
}

}  // namespace eelgrassbridge::node
