// Start, signals and planned stop of a node.
#include "eelgrassbridge/node/run_node.hpp"

#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/signal_set.hpp>
#include <asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <system_error>

#include "eelgrassbridge/node/entry.hpp"
#include "eelgrassbridge/node/feeds.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/ownership.hpp"
#include "eelgrassbridge/node/peer_call.hpp"
#include "eelgrassbridge/node/reports.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;

constexpr std::chrono::milliseconds kFlushInterval{250};
/// Callers are told to go elsewhere by readiness, which the platform asks once
/// a second and believes after two misses.
constexpr std::chrono::milliseconds kNoticeTime{2300};
/// From then on new requests are refused, so that all of them have ended before
/// the kill.
constexpr std::chrono::milliseconds kTakeTime{3000};
/// The node ends once it has had no request for this long.
constexpr std::chrono::milliseconds kIdleBeforeEnd{300};
constexpr std::chrono::milliseconds kStopCheck{50};
/// Left between the planned end and the kill.
constexpr base::Duration kKillMargin = base::milliseconds{500};

void LogFailure(const std::exception_ptr& failure) {
  // A part of the node that ended by an error cannot be done without; the
  // platform starts the process again.
  if (failure) {
    std::rethrow_exception(failure);
  }
}

awaitable<void> FlushLog(Node& node) {
  while (true) {
    co_await http::Sleep(node.io, kFlushInterval);
    Flush(node.log);
  }
}

std::uint32_t ActiveRequests(const Node& node) {
  return node.callers_server.active_requests +
         node.peers_server.active_requests;
}

/// Serves on until the callers know and nothing is in flight.
awaitable<void> Stop(Node& node) {
  const base::TimePoint begun = base::BootClock::now();
  const base::TimePoint last = begun + node.settings.bounds.grace - kKillMargin;
  node.stopping = true;
  node.callers_server.draining = true;
  node.peers_server.draining = true;
  Log(node.log, EventKind::kStopping,
      {{"active", std::int64_t{ActiveRequests(node)}}});
  Flush(node.log);
  base::TimePoint busy_at = begun;
  base::TimePoint now = begun;
  while (now < last) {
    co_await http::Sleep(node.io, kStopCheck);
    now = base::BootClock::now();
    if (ActiveRequests(node) > 0) {
      busy_at = now;
    }
    node.refusing = now - begun >= kTakeTime;
    if (now - begun >= kNoticeTime && now - busy_at >= kIdleBeforeEnd) {
      break;
    }
  }
  Log(node.log, EventKind::kStopped,
      {{"active", std::int64_t{ActiveRequests(node)}}});
  Flush(node.log);
  node.io.stop();
}

void Reload(Node& node, const ReadSettings& read_settings) {
  auto settings = read_settings();
  if (!settings) {
    Log(node.log, EventKind::kSettingsRejected,
        {{"cause", settings.error().detail}});
    return;
  }
  const bool changed = settings.value() != node.settings;
  node.settings.bounds = settings.value().bounds;
  Log(node.log, EventKind::kSettingsReloaded,
      {{"changed", std::int64_t{changed}}});
}

awaitable<void> WatchSignals(Node& node, ReadSettings read_settings) {
  asio::signal_set signals(node.io, SIGTERM, SIGINT, SIGHUP);
  while (true) {
    std::error_code error;
    const int signal = co_await signals.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    if (signal == SIGHUP) {
      Reload(node, read_settings);
    } else if (!node.stopping) {
      asio::co_spawn(node.io, Stop(node), LogFailure);
    }
  }
}

void StartServer(Node& node,
                 http::Server& server,
                 const std::string& address,
                 awaitable<void> (*handle)(Node&, http::Exchange&)) {
  server.handler = [&node, handle](http::Exchange& exchange) {
    return handle(node, exchange);
  };
  http::Listen(server, *http::ParseEndpoint(address));
  asio::co_spawn(node.io, http::Serve(server), LogFailure);
}

/// Descriptors are divided between the listeners; the rest is for connections
/// to targets, daemons and the store.
void SetConnectionLimits(Node& node) {
  const std::uint32_t descriptors = node.settings.max_descriptors;
  node.callers_server.limits.max_connections = descriptors / 3;
  node.peers_server.limits.max_connections = descriptors / 4;
  // Daemons keep connections for longer than the caller's limit allows.
  node.peers_server.limits.idle_timeout = std::chrono::milliseconds{30000};
}

void StartServers(Node& node) {
  SetConnectionLimits(node);
  const NodeSettings& settings = node.settings;
  StartServer(node, node.readiness_server, settings.readiness, HandleReadiness);
  StartServer(node, node.reports_server, settings.reports, HandleTargetCall);
  StartServer(
      node, node.peers_server,
      settings.peers_listen.empty() ? settings.peers : settings.peers_listen,
      HandlePeerRequest);
  StartServer(node, node.callers_server, settings.callers, HandleCallerRequest);
}

}  // namespace

void StartNode(Node& node) {
  StartServers(node);
  Log(node.log, EventKind::kStarted,
      {{"data_centre", node.settings.data_centre},
       {"service", node.settings.service},
       {"address", node.settings.peers},
       {"process", node.process}});
  for (auto* part : {FollowOperator, FollowFleet, PublishMember, KeepLease,
                     PlanRanges, HandOverRanges, FlushLog}) {
    asio::co_spawn(node.io, part(node), LogFailure);
  }
}

base::Result<void> RunNode(const NodeSettings& settings,
                           const MakePort& make_port,
                           const ReadSettings& read_settings) {
  asio::io_context io(1);
  Node node(io, settings, make_port(io, settings));
  // A write to a connection that its other side has closed is an error of that
  // connection only.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    StartNode(node);
  } catch (const std::system_error& error) {
    return base::Fail(base::ErrorKind::kSettingsInvalid, error.what());
  }
  asio::co_spawn(io, WatchSignals(node, read_settings), LogFailure);
  io.run();
  // The frames of coroutines that still wait refer to the node, so the process
  // ends without unwinding them.
  Flush(node.log);
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace eelgrassbridge::node
