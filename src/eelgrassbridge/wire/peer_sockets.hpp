// The ZeroMQ sockets of the thread `peers`. Internal to this part.
#ifndef EELGRASSBRIDGE_WIRE_PEER_SOCKETS_HPP
#define EELGRASSBRIDGE_WIRE_PEER_SOCKETS_HPP

#include <zmq.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "curve.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/wire/peer_bus.hpp"

namespace eelgrassbridge::wire::detail {

/// @brief The DEALER socket for one peer address.
struct PeerConnection {
  zmq::socket_t socket;
  /// Delivers handshake events; open only during a key rotation, when several
  /// keys are accepted.
  zmq::socket_t monitor;
  base::TimePoint opened_at;
  base::TimePoint last_used;
  /// The key that the peer is expected to use: 0 is the site's own key, n the
  /// n-th of CurveKeys::accepted_public_keys.
  std::size_t key_index = 0;
  bool handshake_done = false;
};

/// @brief All sockets. Once the thread `peers` runs, only it may use them.
struct PeerSockets {
  explicit PeerSockets(const PeerBusOptions& bus_options);

  const PeerBusOptions& options;
  zmq::context_t context;
  std::optional<ZapHandler> zap;
  zmq::socket_t router;
  /// Delivers an event for each failed handshake at the router.
  zmq::socket_t router_monitor;
  std::unordered_map<std::string, PeerConnection> connections;
  /// Number of monitors opened so far; makes their endpoints unique.
  std::uint64_t monitor_count = 0;
};

/// @brief Queues a frame in the peer's socket without blocking. Returns false
/// if it was dropped.
bool SendFrame(PeerSockets& sockets,
               const std::string& address,
               std::string_view frame,
               base::TimePoint now);

/// @brief Returns the number of failed handshakes at the router since the last
/// call.
std::uint64_t CountNewFailedHandshakes(PeerSockets& sockets);

/// @brief Closes idle connections. During a key rotation, reopens connections
/// whose handshake hasn't succeeded, with the next key.
void MaintainConnections(PeerSockets& sockets, base::TimePoint now);

}  // namespace eelgrassbridge::wire::detail

#endif  // EELGRASSBRIDGE_WIRE_PEER_SOCKETS_HPP
