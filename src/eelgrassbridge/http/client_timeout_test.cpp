// Timeouts of calls that expire at the time at which the answer arrives. The
// event loop is kept busy meanwhile, so that it finds both at once.
#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>

#include "eelgrassbridge/http/client.hpp"
#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using base::ErrorKind;
using test::Await;
using test::Loopback;
using test::LoopThread;

constexpr std::chrono::milliseconds kTimeout{200};
/// Longer than what the client reads from the socket at a time.
constexpr std::size_t kLongBodyBytes = std::size_t{40} * 1024;

std::string Answer(std::size_t body_bytes) {
  return FormatResponseHead(200, {}, {Framing::Kind::kLength, body_bytes},
                            true) +
         std::string(body_bytes, 'x');
}

/// A call whose timeout expires while the loop is busy.
struct ExpiringCall {
  ExpiringCall() : acceptor(this->io, Loopback()), server(this->io) {}

  /// Starts the call and returns once its request has arrived.
  std::future<base::Result<Response>> Start() {
    BufferedRequest request;
    request.method = "GET";
    request.target = "/";
    request.headers = {{"Host", "h"}};
    request.timeout = kTimeout;
    request.piece_timeout = kTimeout;
    request.total_timeout = kTimeout;
    auto call = std::async(std::launch::async, [this, request] {
      return Await(
          this->loop.io,
          Call(this->pool, Loopback(this->acceptor.local_endpoint().port()),
               request));
    });
    this->acceptor.accept(this->server);
    char byte = 0;
    asio::read(this->server, asio::buffer(&byte, 1));
    return call;
  }

  void SendAnswer(const std::string& answer) {
    asio::write(this->server, asio::buffer(answer));
  }

  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::socket server;
  LoopThread loop;
  ConnectionPool pool{this->loop.io, {}};
};

TEST_CASE("an answer that arrives before the action of the timeout is read") {
  // Guards against a call that fails although its answer is in the socket: the
  // loop has noticed the timeout, and is busy before it acts on it. Also guards
  // against another call on a connection that has expired.
  ExpiringCall expiring;
  auto call = expiring.Start();
  asio::steady_timer earlier(expiring.loop.io);
  std::promise<void> occupied;
  asio::post(expiring.loop.io, [&] {
    // Expires with the timeout of the call, and acts first.
    earlier.expires_at(std::chrono::steady_clock::now());
    earlier.async_wait([&expiring](const std::error_code& /*error*/) {
      expiring.SendAnswer(Answer(2));
    });
    std::this_thread::sleep_for(kTimeout);
    occupied.set_value();
  });
  occupied.get_future().get();
  const auto answer = call.get();
  REQUIRE(answer);
  CHECK(answer.value().body == "xx");
  expiring.loop.Stop();
  for (const auto& [endpoint, connections] : expiring.pool.idle) {
    CHECK(connections.empty());
  }
}

TEST_CASE("an answer that takes several reads outlasts the timeout") {
  // Guards against an answer that is lost between its first and its last read,
  // although all of it had arrived when the timeout expired.
  ExpiringCall expiring;
  auto call = expiring.Start();
  const std::string answer = Answer(kLongBodyBytes);
  std::promise<void> occupied;
  asio::post(expiring.loop.io, [&] {
    expiring.SendAnswer(answer);
    std::this_thread::sleep_for(kTimeout);
    occupied.set_value();
  });
  occupied.get_future().get();
  const auto result = call.get();
  REQUIRE(result);
  CHECK(result.value().body.size() == kLongBodyBytes);
  expiring.loop.Stop();
}

TEST_CASE("an answer whose end has not arrived fails at the timeout") {
  // Guards against a call without an end: only what has arrived by the timeout
  // is read.
  ExpiringCall expiring;
  auto call = expiring.Start();
  const std::string answer = Answer(kLongBodyBytes);
  std::promise<void> occupied;
  asio::post(expiring.loop.io, [&] {
    expiring.SendAnswer(answer.substr(0, answer.size() - 1));
    std::this_thread::sleep_for(kTimeout);
    occupied.set_value();
  });
  occupied.get_future().get();
  const auto result = call.get();
  REQUIRE(!result);
  CHECK(result.error().kind == ErrorKind::kPeerTimeout);
  expiring.loop.Stop();
}

TEST_CASE("a connection that is open as its timeout expires is used") {
  // Guards against a server that is taken for unreachable, although it has
  // accepted the connection before the timeout is acted on.
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io);
  acceptor.open(asio::ip::tcp::v4());
  acceptor.bind(Loopback());
  acceptor.listen(0);
  const auto endpoint = acceptor.local_endpoint();
  // Fills the queue of the server, so that the next connection stays pending.
  asio::ip::tcp::socket filler(io);
  filler.connect(endpoint);
  LoopThread loop;
  PoolOptions options;
  options.connect_timeout = kTimeout;
  options.unacknowledged_timeout = std::chrono::milliseconds{30000};
  ConnectionPool pool(loop.io, options);
  asio::steady_timer earlier(loop.io);
  asio::ip::tcp::socket accepted(io);
  const auto acquire = [&]() -> asio::awaitable<bool> {
    // Expires with the timeout, and acts first.
    earlier.expires_after(kTimeout / 2);
    earlier.async_wait([&](const std::error_code& /*error*/) {
      acceptor.accept();
      acceptor.accept(accepted);
    });
    asio::post(loop.io, [] { std::this_thread::sleep_for(2 * kTimeout); });
    const auto acquired = co_await Acquire(pool, endpoint);
    co_return acquired.has_value();
  };
  CHECK(Await(loop.io, acquire()));
  loop.Stop();
}

}  // namespace
}  // namespace eelgrassbridge::http
