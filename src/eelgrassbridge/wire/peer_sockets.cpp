// Opening, use and maintenance of the peer sockets.
#include "peer_sockets.hpp"

#include <cstring>
#include <vector>

#include "eelgrassbridge/wire/codec.hpp"

namespace eelgrassbridge::wire::detail {

namespace {

/// Maximum number of messages queued for an unreachable peer. It is small,
/// because most of them would be outdated when the peer returns.
constexpr int kSendQueueMessages = 256;
constexpr int kReceiveQueueMessages = 4096;
/// Time after which the next key is tried.
constexpr base::Duration kHandshakeTimeout = base::seconds{1};
constexpr int kReconnectMilliseconds = 100;
constexpr int kReconnectMaxMilliseconds = 1000;
/// Time during which a closed socket still sends its queued messages.
constexpr int kLingerMilliseconds = 200;
/// Bounds the number of file descriptors and the memory of the sockets.
constexpr std::size_t kMaxConnections = 2000;
constexpr int kMaxSockets = 8192;
constexpr int kFailedHandshakeEvents = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                                       ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                                       ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;

/// Whether a text looks like "ip:port". Host names are rejected, because ZeroMQ
/// would block on resolving them.
bool IsAddress(std::string_view text) {
  return text.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
             std::string_view::npos &&
         text.rfind(':') != std::string_view::npos;
}

zmq::socket_t OpenMonitor(PeerSockets& sockets,
                          zmq::socket_t& watched,
                          int events) {
  const std::string endpoint =
      "inproc://monitor-" + std::to_string(++sockets.monitor_count);
  zmq::socket_t monitor;
  if (zmq_socket_monitor(watched.handle(), endpoint.c_str(), events) == 0) {
    monitor = zmq::socket_t(sockets.context, zmq::socket_type::pair);
    monitor.set(zmq::sockopt::linger, 0);
    monitor.connect(endpoint);
  }
  return monitor;
}

/// Returns the number of the next event, if any. An event has two frames; the
/// first one starts with the number, in two bytes.
std::optional<int> NextEvent(zmq::socket_t& monitor) {
  zmq::message_t event;
  if (!monitor || !monitor.recv(event, zmq::recv_flags::dontwait)) {
    return std::nullopt;
  }
  zmq::message_t address;
  while (monitor.get(zmq::sockopt::rcvmore) &&
         monitor.recv(address, zmq::recv_flags::dontwait)) {
  }
  std::uint16_t number = 0;
  if (event.size() >= sizeof number) {
    std::memcpy(&number, event.data(), sizeof number);
  }
  return number;
}

std::size_t KeyCount(const PeerBusOptions& options) {
  return options.keys ? 1 + options.keys->accepted_public_keys.size() : 1;
}

PeerConnection Connect(PeerSockets& sockets,
                       const std::string& address,
                       std::size_t key_index,
                       base::TimePoint now) {
  PeerConnection connection;
  connection.socket = zmq::socket_t(sockets.context, zmq::socket_type::dealer);
  connection.socket.set(zmq::sockopt::linger, kLingerMilliseconds);
  connection.socket.set(zmq::sockopt::sndhwm, kSendQueueMessages);
  connection.socket.set(zmq::sockopt::reconnect_ivl, kReconnectMilliseconds);
  connection.socket.set(zmq::sockopt::reconnect_ivl_max,
                        kReconnectMaxMilliseconds);
  connection.opened_at = now;
  connection.last_used = now;
  connection.key_index = key_index;
  if (sockets.options.keys) {
    const CurveKeys& keys = *sockets.options.keys;
    ConfigureCurveClient(connection.socket, keys,
                         key_index == 0
                             ? keys.public_key
                             : keys.accepted_public_keys[key_index - 1]);
    if (KeyCount(sockets.options) > 1) {
      connection.monitor = OpenMonitor(sockets, connection.socket,
                                       ZMQ_EVENT_HANDSHAKE_SUCCEEDED);
    }
  }
  connection.socket.connect("tcp://" + address);
  return connection;
}

}  // namespace

PeerSockets::PeerSockets(const PeerBusOptions& bus_options)
    : options(bus_options) {
  this->context.set(zmq::ctxopt::max_sockets, kMaxSockets);
  if (this->options.keys) {
    this->zap = OpenZapHandler(this->context, *this->options.keys);
  }
  this->router = zmq::socket_t(this->context, zmq::socket_type::router);
  this->router.set(zmq::sockopt::linger, 0);
  this->router.set(zmq::sockopt::rcvhwm, kReceiveQueueMessages);
  this->router.set(zmq::sockopt::maxmsgsize,
                   static_cast<std::int64_t>(kMaxFrameBytes));
  if (this->options.keys) {
    ConfigureCurveServer(this->router, *this->options.keys);
  }
  this->router_monitor =
      OpenMonitor(*this, this->router, kFailedHandshakeEvents);
  this->router.bind("tcp://" + this->options.bind_address);
}

bool SendFrame(PeerSockets& sockets,
               const std::string& address,
               std::string_view frame,
               base::TimePoint now) {
  auto found = sockets.connections.find(address);
  if (found == sockets.connections.end()) {
    if (!IsAddress(address) || sockets.connections.size() >= kMaxConnections) {
      return false;
    }
    found =
        sockets.connections.emplace(address, Connect(sockets, address, 0, now))
            .first;
  }
  found->second.last_used = now;
  return found->second.socket
      .send(zmq::buffer(frame), zmq::send_flags::dontwait)
      .has_value();
}

std::uint64_t CountNewFailedHandshakes(PeerSockets& sockets) {
  std::uint64_t count = 0;
  while (NextEvent(sockets.router_monitor)) {
    ++count;
  }
  return count;
}

void MaintainConnections(PeerSockets& sockets, base::TimePoint now) {
  std::vector<std::string> to_retry;
  for (auto at = sockets.connections.begin();
       at != sockets.connections.end();) {
    PeerConnection& connection = at->second;
    if (now - connection.last_used > sockets.options.idle_timeout) {
      at = sockets.connections.erase(at);
      continue;
    }
    while (NextEvent(connection.monitor)) {
      connection.handshake_done = true;
    }
    if (connection.monitor && !connection.handshake_done &&
        now - connection.opened_at > kHandshakeTimeout) {
      to_retry.push_back(at->first);
    }
    ++at;
  }
  for (const std::string& address : to_retry) {
    PeerConnection& connection = sockets.connections.at(address);
    const base::TimePoint last_used = connection.last_used;
    const std::size_t next_key =
        (connection.key_index + 1) % KeyCount(sockets.options);
    connection = Connect(sockets, address, next_key, now);
    connection.last_used = last_used;
  }
}

}  // namespace eelgrassbridge::wire::detail
