// What all request workers of a daemon share.
#ifndef EELGRASSBRIDGE_DAEMON_REQUEST_CONTEXT_HPP
#define EELGRASSBRIDGE_DAEMON_REQUEST_CONTEXT_HPP

#include <atomic>
#include <cstdint>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/base/latency.hpp"
#include "eelgrassbridge/daemon/http_exchange.hpp"
#include "eelgrassbridge/daemon/local_target.hpp"
#include "eelgrassbridge/daemon/routing_view.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// @brief Shared by the workers of the caller HTTP server; lives as long as
/// the server.
struct RequestContext {
  explicit RequestContext(const settings::Settings& daemon_settings);

  const settings::Settings& settings;
  RoutingViewSlot routing;
  LocalTarget target;
  ConnectionPool peers;
  base::CounterRegistry counters;
  base::Latency latency;
  /// Bytes of request bodies held in memory now; bounded so that uploads
  /// cannot exceed the daemon's memory.
  std::atomic<std::int64_t> buffered_body_bytes = 0;
  /// Set at the start of a planned stop: every answer then asks its caller to
  /// close the connection.
  std::atomic<bool> draining = false;
};

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_CONTEXT_HPP
