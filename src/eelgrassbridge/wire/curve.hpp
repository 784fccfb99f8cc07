// CURVE security of the peer sockets: the keys of the sockets, and the ZAP
// handler (ZeroMQ RFC 27) that accepts or rejects client keys. Internal to this
// part.
#ifndef EELGRASSBRIDGE_WIRE_CURVE_HPP
#define EELGRASSBRIDGE_WIRE_CURVE_HPP

#include <zmq.hpp>

#include <set>
#include <string>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/wire/peer_bus.hpp"

namespace eelgrassbridge::wire::detail {

/// @brief Whether all keys are 32-byte keys in Z85 text.
bool AreValidKeys(const CurveKeys& keys);

/// @brief Makes a socket a CURVE server with the site's key pair.
void ConfigureCurveServer(zmq::socket_t& socket, const CurveKeys& keys);

/// @brief Makes a socket a CURVE client. `server_key` is the expected public
/// key of the peer.
void ConfigureCurveClient(zmq::socket_t& socket,
                          const CurveKeys& keys,
                          const std::string& server_key);

/// @brief Handles the authentication requests of one ZeroMQ context.
struct ZapHandler {
  zmq::socket_t socket;
  /// Accepted client keys, 32 bytes each.
  std::set<std::string, std::less<>> accepted;
};

ZapHandler OpenZapHandler(zmq::context_t& context, const CurveKeys& keys);

/// @brief Replies to all pending requests; counts those with unknown keys.
void HandleZapRequests(ZapHandler& handler, base::Counter& rejected);

}  // namespace eelgrassbridge::wire::detail

#endif  // EELGRASSBRIDGE_WIRE_CURVE_HPP
