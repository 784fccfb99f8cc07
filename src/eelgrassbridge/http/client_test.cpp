// Tests of the HTTP client, mostly against servers that misbehave.
#include "eelgrassbridge/http/client.hpp"

#include <doctest/doctest.h>

#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using base::ErrorKind;
using test::Await;
using test::Loopback;
using test::LoopThread;
using test::ScriptedServer;

BufferedRequest Get() {
  BufferedRequest request;
  request.method = "GET";
  request.target = "/";
  request.headers = {{"Host", "h"}};
  return request;
}

std::size_t IdleCount(const ConnectionPool& pool) {
  std::size_t count = 0;
  for (const auto& [endpoint, connections] : pool.idle) {
    count += connections.size();
  }
  return count;
}

TEST_CASE("a connection is reused after a complete response") {
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                        false);
  for (int i = 0; i < 2; ++i) {
    const auto response =
        Await(loop.io, Call(pool, Loopback(server.port), Get()));
    REQUIRE(response);
    CHECK(response.value().body == "ok");
  }
  CHECK(pool.opened == 1);
  loop.Stop();
  // The coroutine frame of the last call may still own its connection.
  for (const auto& [endpoint, connections] : pool.idle) {
    for (const ClientConnectionPtr& connection : connections) {
      Close(*connection);
    }
  }
}

TEST_CASE("connections that were idle for too long are closed") {
  // Guards against descriptors and buffers kept for servers that are called no
  // more.
  constexpr std::uint16_t kUnusedServers = 5;
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                        false);
  std::vector<ClientConnectionPtr> unused;
  for (std::uint16_t port = 1; port <= kUnusedServers; ++port) {
    unused.push_back(
        std::make_shared<ClientConnection>(loop.io, Loopback(port)));
    unused.back()->socket.open(asio::ip::tcp::v4());
    pool.idle[Loopback(port)].push_back(unused.back());
  }
  for (int i = 0; i <= kUnusedServers; ++i) {
    REQUIRE(Await(loop.io, Call(pool, Loopback(server.port), Get())));
  }
  CHECK(IdleCount(pool) == 1);
  CHECK(pool.idle.size() == 1);
  CHECK(pool.opened == 1);
  for (const ClientConnectionPtr& connection : unused) {
    CHECK(!connection->socket.is_open());
  }
  loop.Stop();
  // The coroutine frame of the last call may still own its connection.
  for (const ClientConnectionPtr& connection : pool.idle.begin()->second) {
    Close(*connection);
  }
}

TEST_CASE("surplus bytes after a response close the connection") {
  // Guards against surplus bytes being read as the response to a later request.
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  ScriptedServer server(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
      true);
  const auto response =
      Await(loop.io, Call(pool, Loopback(server.port), Get()));
  REQUIRE(response);
  CHECK(IdleCount(pool) == 0);
}

TEST_CASE("a truncated response fails the call") {
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true);
  const auto response =
      Await(loop.io, Call(pool, Loopback(server.port), Get()));
  REQUIRE(!response);
  CHECK(response.error().kind == ErrorKind::kPeerLost);
}

TEST_CASE("the end of the connection completes a response without length") {
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  ScriptedServer server("HTTP/1.1 200 OK\r\n\r\nall of it", true);
  const auto response =
      Await(loop.io, Call(pool, Loopback(server.port), Get()));
  REQUIRE(response);
  CHECK(response.value().body == "all of it");
  CHECK(IdleCount(pool) == 0);
}

TEST_CASE("a malformed response fails the call") {
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  ScriptedServer server("garbage\r\n\r\n", true);
  const auto response =
      Await(loop.io, Call(pool, Loopback(server.port), Get()));
  REQUIRE(!response);
  CHECK(response.error().kind == ErrorKind::kPeerLost);
}

TEST_CASE("a call that is cancelled while it connects sends nothing") {
  // Guards against a poll that was given up on a full link and waits at the
  // server beside the next one, so that each change is sent twice.
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
  BufferedRequest request = Get();
  request.progress = std::make_shared<CallProgress>();
  Cancel(*request.progress);
  const auto response =
      Await(loop.io, Call(pool, Loopback(server.port), std::move(request)));
  REQUIRE(!response);
  CHECK(response.error().kind == ErrorKind::kCancelled);
  CHECK(IdleCount(pool) == 0);
}

TEST_CASE("nothing is sent on a new connection that has already ended") {
  // Guards against a request that may have run, as far as its caller can know,
  // at a server that closes connections beyond its limit as it accepts them.
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, Loopback());
  const auto endpoint = acceptor.local_endpoint();
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  const auto call = [&]() -> asio::awaitable<base::Result<Response>> {
    // Runs before the loop learns that the connection is open.
    asio::post(loop.io, [&acceptor] { acceptor.accept().close(); });
    co_return co_await Call(pool, endpoint, Get());
  };
  const auto response = Await(loop.io, call());
  REQUIRE(!response);
  CHECK(response.error().kind == ErrorKind::kPeerUnreachable);
}

TEST_CASE("a refused connection is reported as unreachable") {
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  asio::ip::tcp::acceptor closed(loop.io, Loopback());
  const std::uint16_t port = closed.local_endpoint().port();
  closed.close();
  const auto response = Await(loop.io, Call(pool, Loopback(port), Get()));
  REQUIRE(!response);
  CHECK(response.error().kind == ErrorKind::kPeerUnreachable);
}

TEST_CASE("a call to a server that doesn't respond times out") {
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  ScriptedServer server("", false);
  BufferedRequest request = Get();
  request.timeout = std::chrono::milliseconds{100};
  const auto response =
      Await(loop.io, Call(pool, Loopback(server.port), std::move(request)));
  REQUIRE(!response);
  CHECK(response.error().kind == ErrorKind::kPeerTimeout);
}

}  // namespace
}  // namespace eelgrassbridge::http
