// The peer bus: messages between daemons over ZeroMQ.
//
// One thread, `peers`, owns all sockets: a ROUTER bound to the peer address and
// one DEALER for each peer with recent outgoing messages. Two bounded ring
// buffers connect it to the control thread. When a ring is full, messages are
// dropped and counted; the protocols on top of the bus retransmit.
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

/// @brief CURVE keys of the site, each as 40 characters of Z85 text.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
  /// Other public keys that are accepted during a key rotation.
  std::vector<std::string> accepted_public_keys;
};

struct PeerBusOptions {
  std::string site;
  base::DaemonId self;
  /// "ip:port"; port 0 selects a free port.
  std::string bind_address;
  /// If unset, traffic is neither encrypted nor authenticated, and a warning is
  /// logged.
  std::optional<CurveKeys> keys;
  /// A DEALER that has sent nothing for this long is closed.
  base::Duration idle_timeout = base::seconds{30};
  /// Capacity of each ring, in messages.
  std::size_t ring_capacity = 4096;
};

/// @brief A message to send.
struct OutgoingMessage {
  /// If empty, any daemon that listens on the address; used for join requests.
  base::DaemonId to;
  std::string address;
  Message message;
  /// Traffic between regions is billed, so its bytes are counted separately for
  /// each message type.
  bool crosses_regions = false;
};

/// @brief A received message that passed validation.
struct IncomingMessage {
  base::DaemonId from;
  Message message;
};

/// @brief A peer bus; created by StartPeerBus. The destructor stops its thread.
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
/// be null, is signalled when messages were received. Fails with
/// kSettingsInvalid for invalid keys or an address that cannot be bound.
base::Result<std::unique_ptr<PeerBus>> StartPeerBus(
    PeerBusOptions options,
    base::CounterRegistry& counters,
    base::WakeEvent* receiver_wake);

/// @brief Queues a message for sending. Returns false if the ring is full.
bool SendToPeer(PeerBus& bus, OutgoingMessage message);

/// @brief Returns the next received message, if any. Must always be called from
/// the same thread.
std::optional<IncomingMessage> ReceiveFromPeers(PeerBus& bus);

/// @brief Returns the address that the bus is bound to, as "ip:port".
std::string BoundAddress(const PeerBus& bus);

/// @brief Sends the queued messages and stops the thread.
void StopPeerBus(PeerBus& bus);

}  // namespace eelgrassbridge::wire

#endif  // EELGRASSBRIDGE_WIRE_PEER_BUS_HPP
