// Guards the peer bus on loopback: strangers, replays and messages for another
// incarnation must change nothing and be counted.
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

CurveKeys NewKeys() {
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

/// Repeats an action until a condition holds. The bound only ends a broken
/// run; a correct one passes however slow the machine is.
bool Eventually(
    const std::function<bool()>& holds,
    const std::function<void()>& act = [] {}) {
  for (int round = 0; round < 3000; ++round) {
    act();
    if (holds()) {
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

TEST_CASE("messages pass between daemons that share the site key") {
  const CurveKeys keys = NewKeys();
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

TEST_CASE("a stranger's key is refused and counted") {
  const CurveKeys site = NewKeys();
  Node member(1, site);
  // The stranger knows the public key of the site, but not the secret one.
  CurveKeys own = NewKeys();
  own.accepted_public_keys = {site.public_key};
  Node stranger(2, own);
  CHECK(Eventually([&] { return member.Count("peer_strangers_total") > 0; },
                   [&] { Send(stranger, member, Ping{}); }));
  CHECK_FALSE(ReceiveFromPeers(*member.bus).has_value());
}

TEST_CASE("a daemon without keys is refused and counted") {
  Node member(1, NewKeys());
  Node plain(2, std::nullopt);
  CHECK(Eventually(
      [&] { return member.Count("peer_handshakes_failed_total") > 0; },
      [&] { Send(plain, member, Ping{}); }));
  CHECK_FALSE(ReceiveFromPeers(*member.bus).has_value());
}

TEST_CASE("during a rotation the old and the new key work together") {
  const CurveKeys old_keys = NewKeys();
  CurveKeys new_keys = NewKeys();
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

TEST_CASE("replays, malformed frames and old addressees change nothing") {
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

TEST_CASE("a full ring drops and counts, and idle connections are closed") {
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
  int kept = 0;
  while (ReceiveFromPeers(*receiver.value())) {
    ++kept;
  }
  CHECK(kept >= 4);
  SendToPeer(*receiver.value(), {{}, BoundAddress(*sender.bus), Ping{}, false});
  CHECK(Eventually([&] { return ReceiveFromPeers(*sender.bus).has_value(); }));
  CHECK(Eventually(
      [&] { return base::GetCounter(counters, "peer_connections") == 0; }));
}

TEST_CASE("keys and addresses that cannot be used are reported at the start") {
  base::CounterRegistry counters;
  CurveKeys broken = NewKeys();
  broken.secret_key = "short";
  CHECK_FALSE(StartPeerBus(Options(1, broken), counters, nullptr));
  PeerBusOptions options = Options(1, std::nullopt);
  options.bind_address = "192.0.2.1:1";
  CHECK_FALSE(StartPeerBus(options, counters, nullptr));
}

TEST_CASE("the replay guard bounds its senders and forgets silent ones") {
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
