// The thread `peers`: sends queued messages, receives and validates frames, and
// maintains the sockets.
#include "eelgrassbridge/wire/peer_bus.hpp"

#include <pthread.h>

#include <array>
#include <atomic>
#include <span>
#include <thread>
#include <utility>
#include <variant>

#include "eelgrassbridge/base/log.hpp"
#include "eelgrassbridge/base/ring.hpp"
#include "eelgrassbridge/wire/codec.hpp"
#include "eelgrassbridge/wire/replay_guard.hpp"
#include "peer_sockets.hpp"

namespace eelgrassbridge::wire {

namespace {

constexpr std::size_t kKinds = std::variant_size_v<Message>;
/// Maximum number of frames received before outgoing messages are sent again.
constexpr int kMaxFramesPerIteration = 256;
constexpr base::Duration kMaintenanceInterval = base::milliseconds{500};

using KindCounters = std::array<base::Counter*, kKinds>;

KindCounters MakeKindCounters(base::CounterRegistry& registry,
                              std::string_view name) {
  // Default-constructs each alternative to get the names of the types.
  const std::array<Message, kKinds> kinds =
      []<std::size_t... kIndex>(std::index_sequence<kIndex...>) {
    return std::array<Message, kKinds>{Message(std::in_place_index<kIndex>)...};
  }
  (std::make_index_sequence<kKinds>{});
  KindCounters counters{};
  for (std::size_t at = 0; at < kKinds; ++at) {
    counters.at(at) = &base::GetCounter(
        registry, name,
        "kind=\"" + std::string(MessageName(kinds.at(at))) + "\"");
  }
  return counters;
}

struct BusCounters {
  explicit BusCounters(base::CounterRegistry& registry)
      : bytes_sent(MakeKindCounters(registry, "peer_bytes_sent_total")),
        bytes_received(MakeKindCounters(registry, "peer_bytes_received_total")),
        region_bytes(MakeKindCounters(registry, "region_bytes_sent_total")),
        invalid(base::GetCounter(registry, "peer_frames_invalid_total")),
        replayed(base::GetCounter(registry, "peer_replays_total")),
        misdirected(base::GetCounter(registry, "peer_misdirected_total")),
        unknown_keys(base::GetCounter(registry, "peer_strangers_total")),
        handshakes_failed(
            base::GetCounter(registry, "peer_handshakes_failed_total")),
        dropped_in(base::GetCounter(registry,
                                    "peer_dropped_total",
                                    "direction=\"in\"")),
        dropped_out(base::GetCounter(registry,
                                     "peer_dropped_total",
                                     "direction=\"out\"")),
        connections(base::GetCounter(registry, "peer_connections")) {}

  KindCounters bytes_sent;
  KindCounters bytes_received;
  KindCounters region_bytes;
  base::Counter& invalid;
  base::Counter& replayed;
  base::Counter& misdirected;
  base::Counter& unknown_keys;
  base::Counter& handshakes_failed;
  base::Counter& dropped_in;
  base::Counter& dropped_out;
  base::Counter& connections;
};

}  // namespace

struct PeerBus::State {
  State(PeerBusOptions bus_options,
        base::CounterRegistry& registry,
        base::WakeEvent* wake)
      : options(std::move(bus_options)),
        counters(registry),
        receiver_wake(wake),
        outgoing(this->options.ring_capacity),
        incoming(this->options.ring_capacity),
        sockets(this->options) {}

  PeerBusOptions options;
  BusCounters counters;
  base::WakeEvent* receiver_wake;
  base::Ring<OutgoingMessage> outgoing;
  base::Ring<IncomingMessage> incoming;
  base::WakeEvent outgoing_wake;
  std::atomic<bool> stopping = false;
  std::string bound_address;
  /// The members from here to `thread` are used only by the thread `peers`
  /// while it runs.
  detail::PeerSockets sockets;
  ReplayGuard replay_guard;
  std::uint64_t next_sequence = 1;
  std::thread thread;
};

namespace {

void Count(base::Counter& counter, std::int64_t amount = 1) {
  counter.fetch_add(amount, std::memory_order_relaxed);
}

void SendMessage(PeerBus::State& state, OutgoingMessage outgoing) {
  const std::size_t kind = outgoing.message.index();
  const Envelope envelope{state.options.site, state.options.self,
                          state.next_sequence++, outgoing.to,
                          std::move(outgoing.message)};
  const auto frame = Encode(envelope);
  if (!frame) {
    Count(state.counters.invalid);
    return;
  }
  const auto bytes = static_cast<std::int64_t>(frame.value().size());
  if (!detail::SendFrame(state.sockets, outgoing.address, frame.value(),
                         base::BootClock::now())) {
    Count(state.counters.dropped_out);
    return;
  }
  Count(*state.counters.bytes_sent.at(kind), bytes);
  if (outgoing.crosses_regions) {
    Count(*state.counters.region_bytes.at(kind), bytes);
  }
}

void SendQueued(PeerBus::State& state) {
  while (auto outgoing = state.outgoing.Pop()) {
    try {
      SendMessage(state, std::move(*outgoing));
    } catch (const zmq::error_t&) {
      // The address is invalid; only this message is dropped.
      Count(state.counters.dropped_out);
    }
  }
}

/// Validates a frame and queues its message for the receiver. Returns false if
/// it was dropped.
bool DeliverFrame(PeerBus::State& state, std::string_view frame) {
  auto envelope = Decode(frame, state.options.site);
  if (!envelope) {
    Count(state.counters.invalid);
    return false;
  }
  Envelope& message = envelope.value();
  Count(*state.counters.bytes_received.at(message.message.index()),
        static_cast<std::int64_t>(frame.size()));
  if (message.sender == state.options.self ||
      (message.receiver && message.receiver != state.options.self)) {
    Count(state.counters.misdirected);
    return false;
  }
  if (!AcceptSequence(state.replay_guard, message.sender, message.sequence,
                      base::BootClock::now())) {
    Count(state.counters.replayed);
    return false;
  }
  if (!state.incoming.Push({message.sender, std::move(message.message)})) {
    Count(state.counters.dropped_in);
    return false;
  }
  return true;
}

void ReceivePending(PeerBus::State& state) {
  bool delivered = false;
  for (int count = 0; count < kMaxFramesPerIteration; ++count) {
    // A valid ZeroMQ message has two frames: the routing id and the envelope.
    zmq::message_t identity;
    if (!state.sockets.router.recv(identity, zmq::recv_flags::dontwait)) {
      break;
    }
    zmq::message_t frame;
    int frames = 0;
    while (state.sockets.router.get(zmq::sockopt::rcvmore)) {
      (void)state.sockets.router.recv(frame, zmq::recv_flags::none);
      ++frames;
    }
    if (frames != 1) {
      Count(state.counters.invalid);
      continue;
    }
    delivered = DeliverFrame(state, frame.to_string_view()) || delivered;
  }
  if (delivered && state.receiver_wake != nullptr) {
    base::Signal(*state.receiver_wake);
  }
}

void Poll(PeerBus::State& state) {
  std::array<zmq::pollitem_t, 4> items = {{
      {nullptr, state.outgoing_wake.descriptor, ZMQ_POLLIN, 0},
      {state.sockets.router.handle(), 0, ZMQ_POLLIN, 0},
      {state.sockets.router_monitor.handle(), 0, ZMQ_POLLIN, 0},
      {state.sockets.zap ? state.sockets.zap->socket.handle() : nullptr, 0,
       ZMQ_POLLIN, 0},
  }};
  const std::size_t used = state.sockets.zap ? 4 : 3;
  zmq::poll(items.data(), used,
            std::chrono::ceil<base::milliseconds>(kMaintenanceInterval));
}

void RunIteration(PeerBus::State& state, base::TimePoint& next_maintenance) {
  Poll(state);
  base::Clear(state.outgoing_wake);
  if (state.sockets.zap) {
    detail::HandleZapRequests(*state.sockets.zap, state.counters.unknown_keys);
  }
  Count(state.counters.handshakes_failed,
        static_cast<std::int64_t>(
            detail::CountNewFailedHandshakes(state.sockets)));
  ReceivePending(state);
  SendQueued(state);
  const base::TimePoint now = base::BootClock::now();
  if (now >= next_maintenance) {
    next_maintenance = now + kMaintenanceInterval;
    detail::MaintainConnections(state.sockets, now);
    state.counters.connections.store(
        static_cast<std::int64_t>(state.sockets.connections.size()));
  }
}

void RunPeers(PeerBus::State& state) {
  pthread_setname_np(pthread_self(), "peers");
  base::TimePoint next_maintenance{};
  while (!state.stopping.load()) {
    try {
      RunIteration(state, next_maintenance);
    } catch (const zmq::error_t& error) {
      base::LogEvent("peer_bus_error", {{"detail", error.what()}},
                     base::LogLevel::kError);
    }
  }
  SendQueued(state);
}

}  // namespace

PeerBus::PeerBus(PeerBusOptions options,
                 base::CounterRegistry& counters,
                 base::WakeEvent* receiver_wake)
    : state(std::make_unique<State>(std::move(options),
                                    counters,
                                    receiver_wake)) {}

PeerBus::~PeerBus() {
  StopPeerBus(*this);
}

base::Result<std::unique_ptr<PeerBus>> StartPeerBus(
    PeerBusOptions options,
    base::CounterRegistry& counters,
    base::WakeEvent* receiver_wake) {
  if (options.keys && !detail::AreValidKeys(*options.keys)) {
    return base::Fail(base::ErrorKind::kSettingsInvalid,
                      "a peer key is not 40 characters of Z85 text");
  }
  if (!options.keys) {
    base::LogEvent("peer_bus_without_keys",
                   {{"effect", "any process can impersonate a daemon"}},
                   base::LogLevel::kWarning);
  }
  const std::string address = options.bind_address;
  try {
    auto bus =
        std::make_unique<PeerBus>(std::move(options), counters, receiver_wake);
    PeerBus::State& state = *bus->state;
    constexpr std::string_view kScheme = "tcp://";
    state.bound_address = state.sockets.router.get(zmq::sockopt::last_endpoint)
                              .substr(kScheme.size());
    state.thread = std::thread([&state] { RunPeers(state); });
    return bus;
  } catch (const zmq::error_t& error) {
    return base::Fail(
        base::ErrorKind::kSettingsInvalid,
        "cannot bind peer address " + address + ": " + error.what());
  }
}

bool SendToPeer(PeerBus& bus, OutgoingMessage message) {
  const bool queued = bus.state->outgoing.Push(std::move(message));
  if (!queued) {
    Count(bus.state->counters.dropped_out);
  }
  base::Signal(bus.state->outgoing_wake);
  return queued;
}

std::optional<IncomingMessage> ReceiveFromPeers(PeerBus& bus) {
  return bus.state->incoming.Pop();
}

std::string BoundAddress(const PeerBus& bus) {
  return bus.state->bound_address;
}

void StopPeerBus(PeerBus& bus) {
  PeerBus::State& state = *bus.state;
  if (!state.thread.joinable()) {
    return;
  }
  state.stopping.store(true);
  base::Signal(state.outgoing_wake);
  state.thread.join();
}

}  // namespace eelgrassbridge::wire
