// Tests of the peer bus on loopback: messages from unauthorized senders,
// replayed messages and messages to another daemon id must be dropped and
// counted.
#include "eelgrassbridge/wire/peer_bus.hpp"

#include <doctest/doctest.h>
#include <zmq.hpp>

#include <array>
#include <functional>
#include <thread>

#include "eelgrassbridge/wire/codec.hpp"
#include "eelgrassbridge/wire/replay_guard.hpp"

namespace eelgrassbridge::wire {

namespace {

CurveKeys GenerateKeys() {
  std::array<char, 41> public_key{};
  std::array<char, 41> secret_key{};
  REQUIRE(zmq_curve_keypair(public_key.data(), secret_key.data()) == 0);
  return {public_key.data(), secret_key.data(), {}};
}

PeerBusOptions Options(std::uint64_t self, std::optional<CurveKeys> keys) {
  PeerBusOptions options;
  options.site = "astillas";
  options.self = base::DaemonId{self};
  options.bind_address = "127.0.0.1:0";
  options.keys = std::move(keys);
  return options;
}

/// Repeats an action until a condition holds. The limit on the number of
/// attempts only matters if the test fails; it leaves enough time for slow
/// machines.
bool Eventually(
    const std::function<bool()>& condition,
    const std::function<void()>& action = [] {}) {
  for (int attempt = 0; attempt < 3000; ++attempt) {
    action();
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(base::milliseconds{10});
  }
  return false;
}

struct Node {
  Node(std::uint64_t self, std::optional<CurveKeys> keys) {
    auto started =
        StartPeerBus(Options(self, std::move(keys)), this->counters, nullptr);
    REQUIRE(started);
    this->bus = std::move(started).value();
  }

  std::int64_t Count(std::string_view name, std::string_view labels = {}) {
    return base::GetCounter(this->counters, name, labels).load();
  }

  base::CounterRegistry counters;
  std::unique_ptr<PeerBus> bus;
};

void Send(Node& from,
          const Node& to,
          Message message,
          base::DaemonId receiver = {}) {
  SendToPeer(*from.bus,
             {receiver, BoundAddress(*to.bus), std::move(message), true});
}

}  // namespace

TEST_CASE("daemons with the same site key exchange messages") {
  const CurveKeys keys = GenerateKeys();
  Node first(1, keys);
  Node second(2, keys);
  std::optional<IncomingMessage> received;
  Send(first, second, GossipAck{7}, base::DaemonId{2});
  REQUIRE(Eventually(
      [&] { return (received = ReceiveFromPeers(*second.bus)).has_value(); }));
  CHECK(received->from == base::DaemonId{1});
  CHECK(received->message == Message(GossipAck{7}));
  CHECK(first.Count("peer_bytes_sent_total", "kind=\"gossip_ack\"") > 0);
  CHECK(first.Count("peer_bytes_sent_total", "kind=\"gossip_ack\"") ==
        second.Count("peer_bytes_received_total", "kind=\"gossip_ack\""));
  CHECK(first.Count("region_bytes_sent_total", "kind=\"gossip_ack\"") > 0);
  CHECK(second.Count("peer_strangers_total") == 0);
}

TEST_CASE("an unknown client key is rejected and counted") {
  const CurveKeys site = GenerateKeys();
  Node member(1, site);
  // The sender knows the public key of the site, but not the secret one.
  CurveKeys own_keys = GenerateKeys();
  own_keys.accepted_public_keys = {site.public_key};
  Node unauthorized(2, own_keys);
  CHECK(Eventually([&] { return member.Count("peer_strangers_total") > 0; },
                   [&] { Send(unauthorized, member, Ping{}); }));
  CHECK_FALSE(ReceiveFromPeers(*member.bus).has_value());
}

TEST_CASE("a daemon without keys is rejected and counted") {
  Node member(1, GenerateKeys());
  Node plain(2, std::nullopt);
  CHECK(Eventually(
      [&] { return member.Count("peer_handshakes_failed_total") > 0; },
      [&] { Send(plain, member, Ping{}); }));
  CHECK_FALSE(ReceiveFromPeers(*member.bus).has_value());
}

TEST_CASE("daemons with old and new keys communicate during a key rotation") {
  const CurveKeys old_keys = GenerateKeys();
  CurveKeys new_keys = GenerateKeys();
  new_keys.accepted_public_keys = {old_keys.public_key};
  CurveKeys prepared = old_keys;
  prepared.accepted_public_keys = {new_keys.public_key};
  Node first(1, prepared);
  Node second(2, new_keys);
  CHECK(Eventually([&] { return ReceiveFromPeers(*second.bus).has_value(); },
                   [&] { Send(first, second, Ping{}); }));
  CHECK(Eventually([&] { return ReceiveFromPeers(*first.bus).has_value(); },
                   [&] { Send(second, first, Ping{}); }));
}

TEST_CASE("replayed, malformed and misdirected messages are dropped") {
  Node member(1, std::nullopt);
  zmq::context_t context;
  zmq::socket_t raw(context, zmq::socket_type::dealer);
  raw.set(zmq::sockopt::linger, 0);
  raw.connect("tcp://" + BoundAddress(*member.bus));
  const auto frame = [](std::uint64_t sequence, std::uint64_t receiver) {
    return Encode({"astillas", base::DaemonId{9}, sequence,
                   base::DaemonId{receiver}, Ping{}})
        .value();
  };
  raw.send(zmq::buffer(frame(5, 1)));
  raw.send(zmq::buffer(frame(5, 1)));
  raw.send(zmq::buffer(frame(4, 0)));
  raw.send(zmq::buffer(frame(6, 777)));
  raw.send(zmq::buffer(std::string("not a frame")));
  raw.send(zmq::buffer(frame(7, 1)), zmq::send_flags::sndmore);
  raw.send(zmq::buffer(std::string("second part")));
  raw.send(zmq::buffer(frame(8, 0)));
  int received = 0;
  CHECK(Eventually([&] {
    while (ReceiveFromPeers(*member.bus)) {
      ++received;
    }
    return received >= 2;
  }));
  CHECK(received == 2);
  CHECK(member.Count("peer_replays_total") == 2);
  CHECK(member.Count("peer_misdirected_total") == 1);
  CHECK(member.Count("peer_frames_invalid_total") == 2);
}

TEST_CASE("a full ring drops messages, and idle connections are closed") {
  base::CounterRegistry counters;
  PeerBusOptions options = Options(1, std::nullopt);
  options.ring_capacity = 4;
  options.idle_timeout = base::milliseconds{1};
  auto receiver = StartPeerBus(options, counters, nullptr);
  REQUIRE(receiver);
  Node sender(2, std::nullopt);
  const std::string address = BoundAddress(*receiver.value());
  CHECK(Eventually(
      [&] {
        return base::GetCounter(counters, "peer_dropped_total",
                                "direction=\"in\"") > 0;
      },
      [&] {
        SendToPeer(*sender.bus, {{}, address, Ping{}, false});
      }));
  int received = 0;
  while (ReceiveFromPeers(*receiver.value())) {
    ++received;
  }
  CHECK(received >= 4);
  SendToPeer(*receiver.value(), {{}, BoundAddress(*sender.bus), Ping{}, false});
  CHECK(Eventually([&] { return ReceiveFromPeers(*sender.bus).has_value(); }));
  CHECK(Eventually(
      [&] { return base::GetCounter(counters, "peer_connections") == 0; }));
}

TEST_CASE("starting the bus fails for invalid keys and addresses") {
  base::CounterRegistry counters;
  CurveKeys invalid_keys = GenerateKeys();
  invalid_keys.secret_key = "short";
  CHECK_FALSE(StartPeerBus(Options(1, invalid_keys), counters, nullptr));
  PeerBusOptions options = Options(1, std::nullopt);
  options.bind_address = "192.0.2.1:1";
  CHECK_FALSE(StartPeerBus(options, counters, nullptr));
}

TEST_CASE("the replay guard is bounded and evicts inactive senders") {
  ReplayGuard guard;
  guard.max_senders = 2;
  const base::TimePoint start = base::FromMicroseconds(0);
  CHECK(AcceptSequence(guard, base::DaemonId{1}, 5, start));
  CHECK(AcceptSequence(guard, base::DaemonId{2}, 5, start));
  CHECK_FALSE(AcceptSequence(guard, base::DaemonId{1}, 5, start));
  CHECK_FALSE(AcceptSequence(guard, base::DaemonId{3}, 1, start));
  const base::TimePoint later = start + guard.retention + base::seconds{1};
  CHECK(AcceptSequence(guard, base::DaemonId{3}, 1, later));
  CHECK(guard.senders.size() == 1);
}

}  // namespace eelgrassbridge::wire
