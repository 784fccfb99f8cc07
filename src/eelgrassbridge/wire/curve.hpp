// CURVE security of the peer sockets: keys on sockets, and the ZAP handler
// (ZeroMQ RFC 27) that decides which client keys are accepted. Internal to the
// part.
#ifndef EELGRASSBRIDGE_WIRE_CURVE_HPP
#define EELGRASSBRIDGE_WIRE_CURVE_HPP

#include <zmq.hpp>

#include <set>
#include <string>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/wire/peer_bus.hpp"

namespace eelgrassbridge::wire::detail {

/// @brief Whether both keys are Z85 text of a 32-byte key.
bool AreValidKeys(const CurveKeys& keys);

/// @brief Makes a socket the server side with the site key pair.
void ConfigureCurveServer(zmq::socket_t& socket, const CurveKeys& keys);

/// @brief Makes a socket the client side. `server_key` is the public key that
/// the peer is expected to use.
void ConfigureCurveClient(zmq::socket_t& socket,
                          const CurveKeys& keys,
                          const std::string& server_key);

/// @brief Answers the authentication requests of one ZeroMQ context.
struct ZapHandler {
  zmq::socket_t socket;
  /// Accepted client keys, 32 bytes each.
  std::set<std::string, std::less<>> accepted;
};

ZapHandler OpenZapHandler(zmq::context_t& context, const CurveKeys& keys);

/// @brief Answers all waiting requests; counts refused strangers.
void AnswerZapRequests(ZapHandler& handler, base::Counter& refused);

}  // namespace eelgrassbridge::wire::detail

#endif  // EELGRASSBRIDGE_WIRE_CURVE_HPP
