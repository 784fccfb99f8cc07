// Starts a node, handles its signals and performs the planned stop.
#include "eelgrassbridge/node/run_node.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/signal_set.hpp>
#include <asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <system_error>

#include "eelgrassbridge/http/endpoint.hpp"
#include "eelgrassbridge/node/crash_watch.hpp"
#include "eelgrassbridge/node/entry.hpp"
#include "eelgrassbridge/node/fleet_feed.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/operator_confirmation.hpp"
#include "eelgrassbridge/node/operator_feed.hpp"
#include "eelgrassbridge/node/ownership.hpp"
#include "eelgrassbridge/node/peer_call.hpp"
#include "eelgrassbridge/node/quota_coordinator.hpp"
#include "eelgrassbridge/node/quota_reports.hpp"
#include "eelgrassbridge/node/reports.hpp"
#include "eelgrassbridge/node/request_watch.hpp"
#include "eelgrassbridge/node/target_slot.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;

constexpr std::chrono::milliseconds kFlushInterval{250};
/// Shortest pause of the event loop that is logged.
constexpr base::Duration kReportedPause = base::milliseconds{250};
/// Minimum time of a planned stop, so that callers are directed elsewhere. The
/// platform checks readiness once a second and needs two failed checks.
constexpr std::chrono::milliseconds kMinStopTime{2300};
/// New requests are accepted for this long after the stop began; later ones are
/// refused, so that all requests have ended before the process is killed.
constexpr std::chrono::milliseconds kAcceptTime{3000};
/// The node stops once it has had no active request for this long.
constexpr std::chrono::milliseconds kIdleBeforeStop{300};
constexpr std::chrono::milliseconds kStopCheckInterval{50};
/// Time reserved between the end of the planned stop and SIGKILL.
constexpr base::Duration kKillMargin = base::milliseconds{300};
/// Time reserved at the end of the planned stop for the final answers to the
/// requests that are still open.
constexpr base::Duration kFinalAnswerTime = base::milliseconds{300};
constexpr std::chrono::milliseconds kFinalAnswerCheckInterval{10};
/// Turns of the event loop after which a request has begun whose bytes had
/// arrived. Reading from the socket and waking the coroutine of the connection
/// take one each; a new connection takes a few more.
constexpr int kTurnsToBegin = 8;

/// Writes the log, and logs when the event loop did not run for a while.
awaitable<void> FlushLog(Node& node) {
  while (true) {
    const base::TimePoint due = base::BootClock::now() + kFlushInterval;
    co_await http::Sleep(node.io, kFlushInterval);
    const base::Duration late = base::BootClock::now() - due;
    if (late >= kReportedPause) {
      Log(node.log, EventKind::kProcessPaused,
          {{"paused_ms", late.count() / 1000}});
    }
    Flush(node.log);
  }
}

std::uint32_t ActiveRequests(const Node& node) {
  return node.callers_server.active_requests +
         node.peers_server.active_requests;
}

std::uint32_t ClosingConnections(const Node& node) {
  return node.callers_server.closing_connections +
         node.peers_server.closing_connections;
}

void RefuseRequests(Node& node) {
  node.refusing_requests = true;
  // Requests that wait for a slot, or uploads for their turn, need not wait to
  // be refused.
  limits::SetAccepting(node.admission.limiter, false);
  DispatchWaiters(node);
  http::Notify(node.admission.body_arrived);
}

/// Lets the requests begin whose bytes have arrived.
awaitable<void> BeginArrivedRequests(Node& node) {
  for (int i = 0; i < kTurnsToBegin; ++i) {
    co_await asio::post(node.io, asio::use_awaitable);
  }
}

/// Cancels the requests that are still open, so that each gets a final answer:
/// a refusal if it has not run, a failure if it may have run. Requests whose
/// bytes have arrived are refused. Waits until the answers are sent, at most
/// until `latest`.
awaitable<void> EndOpenRequests(Node& node, base::TimePoint latest) {
  RefuseRequests(node);
  const auto open = node.open_requests;
  for (RequestWatch* const request : open) {
    // The head of an answer that has begun may have said that the connection
    // stays.
    request->exchange.close_after_response |=
        !request->exchange.response_started;
    Cancel(*request->cancellation, base::ErrorKind::kDraining);
  }
  co_await BeginArrivedRequests(node);
  while (ActiveRequests(node) > 0 && base::BootClock::now() < latest) {
    co_await http::Sleep(node.io, kFinalAnswerCheckInterval);
    co_await BeginArrivedRequests(node);
  }
  // The end of the process resets connections with data that was not read.
  latest = std::min(latest, base::BootClock::now() + kFinalAnswerTime);
  while (ClosingConnections(node) > 0 && base::BootClock::now() < latest) {
    co_await http::Sleep(node.io, kFinalAnswerCheckInterval);
  }
}

awaitable<void> StopAndExit(Node& node) {
  co_await StopGracefully(node);
  if (node.end_process) {
    node.end_process();
  }
}

void BeginStop(Node& node) {
  if (!node.stopping) {
    node.stopping = true;
    asio::co_spawn(node.io, StopAndExit(node), asio::detached);
  }
}

/// The node cannot run without any of its loops, and the platform replaces a
/// process that ends. A planned stop first answers the requests that the
/// process has accepted. New ones are refused, because its state may be stale.
void StopAfterFailure(Node& node, std::string_view cause) {
  Count(node, "process_failures_total");
  Log(node.log, EventKind::kProcessFailed,
      {{"cause", cause}, {"active", std::int64_t{ActiveRequests(node)}}});
  RefuseRequests(node);
  BeginStop(node);
}

void StartLoop(Node& node, awaitable<void> loop) {
  asio::co_spawn(node.io, std::move(loop),
                 [&node](const std::exception_ptr& failure) {
                   try {
                     if (failure) {
                       std::rethrow_exception(failure);
                     }
                   } catch (const std::exception& error) {
                     StopAfterFailure(node, error.what());
                   }
                 });
}

/// Runs the loop until the process is to end, also after an exception of a
/// handler.
void RunLoop(Node& node) {
  while (!node.io.stopped()) {
    try {
      node.io.run();
    } catch (const std::exception& error) {
      StopAfterFailure(node, error.what());
    }
  }
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
    } else {
      BeginStop(node);
    }
  }
}

/// Whether this daemon ended the connection unannounced, or a request on it has
/// no answer. Callers that close their side are not logged.
bool IsEndLogged(const http::ConnectionEnd& end,
                 const http::Exchange* unanswered) {
  switch (end.reason) {
    case http::CloseReason::kCallerDisconnected:
      return unanswered != nullptr && end.error != asio::error::eof;
    case http::CloseReason::kIdleTimeout:
    case http::CloseReason::kHeadTimeout:
    case http::CloseReason::kBodyTimeout:
    case http::CloseReason::kUnannouncedEnd:
      return true;
    default:
      return unanswered != nullptr;
  }
}

std::int64_t Milliseconds(base::Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

void LogConnectionEnd(Node& node,
                      std::string_view listener,
                      const http::ServerConnection& connection,
                      const http::Exchange* unanswered) {
  const http::ConnectionEnd& end = *connection.end;
  if (!IsEndLogged(end, unanswered)) {
    return;
  }
  const std::string_view id =
      unanswered == nullptr ? std::string_view{}
                            : http::HeaderValue(unanswered->head.headers,
                                                node.port.headers.request_id);
  Log(node.log, EventKind::kConnectionClosed,
      {{"request", id},
       {"listener", listener},
       {"reason", http::CloseReasonName(end.reason)},
       {"error", end.error ? end.error.message() : std::string{}},
       {"open_ms", Milliseconds(end.open_for)},
       {"waited_ms", Milliseconds(end.waited_for)},
       {"unparsed_bytes", static_cast<std::int64_t>(end.unparsed_bytes)},
       {"requests", static_cast<std::int64_t>(connection.requests)},
       {"stopping", std::int64_t{node.stopping}}});
}

void StartServer(Node& node,
                 http::Server& server,
                 std::string_view listener,
                 const std::string& address,
                 awaitable<void> (*handle)(Node&, http::Exchange&)) {
  server.handler = [&node, handle](http::Exchange& exchange) {
    return handle(node, exchange);
  };
  server.on_connection_end = [&node, listener](
                                 const http::ServerConnection& connection,
                                 const http::Exchange* unanswered) {
    LogConnectionEnd(node, listener, connection, unanswered);
  };
  http::Listen(server, *http::ParseEndpoint(address));
  StartLoop(node, http::Serve(server));
}

/// Divides the descriptors between the listeners; the rest is left for
/// connections to targets, daemons and the store.
void SetConnectionLimits(Node& node) {
  const std::uint32_t descriptors = node.settings.max_descriptors;
  node.callers_server.limits.max_connections = descriptors / 3;
  node.peers_server.limits.max_connections = descriptors / 4;
  // Daemons keep idle connections for longer than the limit for callers.
  node.peers_server.limits.idle_timeout = std::chrono::milliseconds{30000};
}

void StartServers(Node& node) {
  SetConnectionLimits(node);
  const NodeSettings& settings = node.settings;
  StartServer(node, node.readiness_server, "readiness", settings.readiness,
              HandleReadiness);
  StartServer(node, node.reports_server, "reports", settings.reports,
              HandleTargetCall);
  StartServer(
      node, node.peers_server, "peers",
      settings.peers_listen.empty() ? settings.peers : settings.peers_listen,
      HandlePeerRequest);
  StartServer(node, node.callers_server, "callers", settings.callers,
              HandleCallerRequest);
}

}  // namespace

void StartNode(Node& node) {
  StartServers(node);
  Log(node.log, EventKind::kStarted,
      {{"data_centre", node.settings.data_centre},
       {"service", node.settings.service},
       {"address", node.settings.peers},
       {"process", node.process}});
  for (auto* loop :
       {FollowOperator, FollowConfirmations, ProbeFailedRelays, FollowFleet,
        PublishMember, PublishCrashes, KeepLease, PlanRanges, HandOverRanges,
        CoordinateQuotas, ReportQuotas, FlushLog}) {
    StartLoop(node, loop(node));
  }
}

awaitable<void> StopGracefully(Node& node) {
  const base::TimePoint started_at = base::BootClock::now();
  const base::TimePoint exit_at =
      started_at + node.settings.bounds.grace - kKillMargin;
  const base::TimePoint deadline = exit_at - kFinalAnswerTime;
  const base::TimePoint refuse_at = started_at + kAcceptTime;
  node.stopping = true;
  node.callers_server.draining = true;
  node.peers_server.draining = true;
  // Followers choose another relay.
  http::Notify(node.fleet_copy.changed);
  http::Notify(node.operator_copy.changed);
  Log(node.log, EventKind::kStopping,
      {{"active", std::int64_t{ActiveRequests(node)}}});
  Flush(node.log);
  base::TimePoint last_active_at = started_at;
  base::TimePoint now = started_at;
  while (now < deadline) {
    base::Duration pause = kStopCheckInterval;
    if (!node.refusing_requests) {
      pause = std::min(pause, refuse_at - now);
    }
    co_await http::Sleep(node.io, pause);
    now = base::BootClock::now();
    if (!node.refusing_requests && now >= refuse_at) {
      RefuseRequests(node);
    }
    if (ActiveRequests(node) > 0) {
      last_active_at = now;
    }
    if (now - started_at >= kMinStopTime &&
        now - last_active_at >= kIdleBeforeStop) {
      co_await BeginArrivedRequests(node);
      if (ActiveRequests(node) == 0) {
        break;
      }
      last_active_at = now;
    }
  }
  const std::uint32_t active = ActiveRequests(node);
  co_await EndOpenRequests(node, exit_at);
  Log(node.log, EventKind::kStopped,
      {{"active", std::int64_t{active}},
       {"unanswered", std::int64_t{ActiveRequests(node)}}});
  Flush(node.log);
}

base::Result<void> RunNode(const NodeSettings& settings,
                           const MakePort& make_port,
                           const ReadSettings& read_settings) {
  asio::io_context io(1);
  Node node(io, settings, make_port(io, settings));
  node.end_process = [&io] { io.stop(); };
  // A write to a connection closed by its peer must fail with an error instead
  // of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    StartNode(node);
  } catch (const std::system_error& error) {
    return base::Fail(base::ErrorKind::kSettingsInvalid, error.what());
  }
  StartLoop(node, WatchSignals(node, read_settings));
  RunLoop(node);
  // Frames of suspended coroutines refer to the node, so the process exits
  // without destroying them.
  Flush(node.log);
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace eelgrassbridge::node
