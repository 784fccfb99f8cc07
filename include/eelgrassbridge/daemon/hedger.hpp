// Request hedging: sends a second copy (the hedge) of a slow idempotent request
// of an undivided service to another target. The first complete answer is used
// and the other copy is cancelled.
#ifndef EELGRASSBRIDGE_DAEMON_HEDGER_HPP
#define EELGRASSBRIDGE_DAEMON_HEDGER_HPP

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "eelgrassbridge/daemon/attempt.hpp"
#include "eelgrassbridge/daemon/interrupt.hpp"
#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/routing/hedging.hpp"

namespace eelgrassbridge::daemon {

/// @brief State shared by the two copies of one request.
///
/// Invariant: `resolved` is valid while is_finished is false. The hedge thread
/// copies what it needs while it holds the mutex and does not access `resolved`
/// afterwards, so the worker need not wait for a cancelled hedge.
struct HedgedCall {
  std::mutex mutex;
  std::condition_variable hedge_ended;
  std::shared_ptr<const RoutingView> view;
  const ResolvedRequest* resolved = nullptr;
  std::atomic<std::uint64_t> first_target = 0;
  bool is_finished = false;
  bool is_hedge_running = false;
  std::optional<CallerAnswer> hedge_answer;
  Interrupt first;
  Interrupt hedge;
};

/// @brief The thread pool that sends hedges, and the observed latencies from
/// which their delay is computed.
struct Hedger {
  explicit Hedger(RequestContext& request_context);
  ~Hedger();
  Hedger(const Hedger&) = delete;
  Hedger& operator=(const Hedger&) = delete;

  RequestContext& context;
  std::mutex mutex;
  std::condition_variable changed;
  std::multimap<base::TimePoint, std::shared_ptr<HedgedCall>> pending;
  bool is_stopping = false;
  /// Guarded by mutex. Key: "service/kind".
  std::map<std::string, routing::HedgeTracker, std::less<>> trackers;
  std::vector<std::thread> threads;
};

/// @brief Like AttemptUndivided, but hedged if the service, the request kind,
/// the observed latencies and the retry budget allow it.
Attempt AttemptHedged(Hedger& hedger,
                      const std::shared_ptr<const RoutingView>& view,
                      const ResolvedRequest& resolved,
                      std::span<const base::DaemonId> tried);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_HEDGER_HPP
