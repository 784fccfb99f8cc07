// The sockets of the thread `peers`. Internal to the part.
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

/// @brief The DEALER to one peer address.
struct PeerConnection {
  zmq::socket_t socket;
  /// Handshake events; only open while older keys are accepted too.
  zmq::socket_t monitor;
  base::TimePoint opened_at;
  base::TimePoint last_used;
  /// The peer's key that is expected: 0 is the current key, n the n-th
  /// accepted older one.
  std::size_t key_index = 0;
  bool handshake_done = false;
};

/// @brief All sockets; only the thread `peers` touches them once it runs.
struct PeerSockets {
  explicit PeerSockets(const PeerBusOptions& bus_options);

  const PeerBusOptions& options;
  zmq::context_t context;
  std::optional<ZapHandler> zap;
  zmq::socket_t router;
  /// Failed handshakes at the router.
  zmq::socket_t router_monitor;
  std::unordered_map<std::string, PeerConnection> connections;
  std::uint64_t monitor_count = 0;
};

/// @brief Sends a frame without waiting; false if it was dropped.
bool SendFrame(PeerSockets& sockets,
               const std::string& address,
               std::string_view frame,
               base::TimePoint now);

/// @brief Number of failed handshakes at the router since the last call.
std::uint64_t CountNewFailedHandshakes(PeerSockets& sockets);

/// @brief Closes idle connections; during a rotation of keys, tries the next
/// key on connections whose handshake does not succeed.
void MaintainConnections(PeerSockets& sockets, base::TimePoint now);

}  // namespace eelgrassbridge::wire::detail

#endif  // EELGRASSBRIDGE_WIRE_PEER_SOCKETS_HPP
