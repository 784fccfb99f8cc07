// The peer bus: messages between daemons over ZeroMQ.
//
// One thread, `peers`, owns all sockets: a ROUTER bound to the peer address
// and one DEALER for each peer that was sent something lately. Two bounded
// rings join it to the control thread. A full ring drops the message and
// counts it; the protocols above repeat what they still need.
#ifndef EELGRASSBRIDGE_WIRE_PEER_BUS_HPP
#define EELGRASSBRIDGE_WIRE_PEER_BUS_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/base/wake_event.hpp"
#include "eelgrassbridge/wire/message.hpp"

namespace eelgrassbridge::wire {

/// @brief CURVE keys of the site, in Z85 text of 40 characters.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
  /// Older public keys still accepted during a rotation.
  std::vector<std::string> accepted_public_keys;
};

struct PeerBusOptions {
  std::string site;
  base::DaemonId self;
  /// "ip:port"; port 0 lets the system choose one.
  std::string bind_address;
  /// None: plain sockets, which is logged as a warning.
  std::optional<CurveKeys> keys;
  /// A DEALER without a message to send for this time is closed.
  base::Duration idle_timeout = base::seconds{30};
  std::size_t ring_capacity = 4096;
};

/// @brief A message to a daemon.
struct OutgoingMessage {
  /// None: whoever listens at the address, for join requests.
  base::DaemonId to;
  std::string address;
  Message message;
  /// Bytes between regions are billed and counted by kind of message.
  bool crosses_regions = false;
};

/// @brief A message from an authenticated daemon.
struct IncomingMessage {
  base::DaemonId from;
  Message message;
};

/// @brief A running bus. The destructor stops its thread.
struct PeerBus {
  struct State;

  PeerBus(PeerBusOptions options,
          base::CounterRegistry& counters,
          base::WakeEvent* receiver_wake);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  std::unique_ptr<State> state;
};

/// @brief Binds the sockets and starts the thread. `receiver_wake`, which may
/// be null, is signalled when messages have come in. Fails with
/// kSettingsInvalid for keys or an address that cannot be used.
base::Result<std::unique_ptr<PeerBus>> StartPeerBus(
    PeerBusOptions options,
    base::CounterRegistry& counters,
    base::WakeEvent* receiver_wake);

/// @brief Gives a message to the thread; false if the ring was full.
bool SendToPeer(PeerBus& bus, OutgoingMessage message);

/// @brief Next message from a peer; for one thread only.
std::optional<IncomingMessage> ReceiveFromPeers(PeerBus& bus);

/// @brief The address that the bus is bound to, "ip:port".
std::string BoundAddress(const PeerBus& bus);

/// @brief Sends what waits in the ring and stops the thread.
void StopPeerBus(PeerBus& bus);

}  // namespace eelgrassbridge::wire

#endif  // EELGRASSBRIDGE_WIRE_PEER_BUS_HPP
