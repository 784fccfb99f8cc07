// Orders of events on a connection of the server: a timeout, input, and the end
// of the connection that are ready in one turn of the event loop.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/post.hpp>
#include <asio/use_awaitable.hpp>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "eelgrassbridge/http/server.hpp"
#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using test::Loopback;
using test::RawClient;
using test::TestServer;

constexpr std::chrono::milliseconds kPollInterval{5};

asio::awaitable<void> AnswerPath(Exchange& exchange) {
  const std::string target = exchange.head.target;
  co_await Respond(exchange, 200, {}, target);
}

/// Both ends of a connection, on a loop that the test runs step by step.
struct Pair {
  Pair() : caller(this->io) {
    asio::ip::tcp::acceptor acceptor(this->io, Loopback());
    this->caller.connect(acceptor.local_endpoint());
    this->connection =
        std::make_shared<ServerConnection>(this->io, acceptor.accept());
    asio::co_spawn(this->io, detail::ReadInput(this->connection),
                   asio::detached);
    this->io.poll();
  }

  asio::io_context io{1};
  asio::ip::tcp::socket caller;
  ServerConnectionPtr connection;
};

/// Runs a function on the loop of the server and returns its result.
template <typename Function>
auto OnLoop(TestServer& server, Function function) {
  std::promise<decltype(function())> done;
  asio::post(server.loop.io,
             [&done, &function] { done.set_value(function()); });
  return done.get_future().get();
}

/// Runs a function of the test while the loop is occupied.
template <typename Function>
void WhileBusy(TestServer& server, Function function) {
  std::promise<void> started;
  const auto ready = std::make_shared<std::promise<void>>();
  asio::post(server.loop.io, [&started, ready] {
    started.set_value();
    ready->get_future().get();
  });
  started.get_future().get();
  function();
  ready->set_value();
}

/// Whether the condition on the loop holds within a second.
template <typename Condition>
bool HoldsSoon(TestServer& server, Condition condition) {
  for (int i = 0; i < 200; ++i) {
    if (OnLoop(server, condition)) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

TEST_CASE("a disconnect that is read as a timeout expires ends the wait") {
  // Guards against a wait for input that misses the end of the connection and
  // never returns, so that the connection stays open for ever.
  Pair pair;
  pair.caller.close();
  bool returned = false;
  const auto wait = [&]() -> asio::awaitable<void> {
    detail::InputDeadline deadline{base::BootClock::now(), std::nullopt};
    co_await detail::AwaitInput(*pair.connection, deadline);
    returned = true;
  };
  asio::co_spawn(pair.io, wait(), asio::detached);
  pair.io.run_for(std::chrono::milliseconds{300});
  CHECK(pair.connection->caller_disconnected);
  CHECK(returned);
}

TEST_CASE("a wait for input without a deadline leaves the loop idle") {
  // Guards against a loop that spins while a caller sends a body slowly.
  Pair pair;
  const auto wait = [&]() -> asio::awaitable<void> {
    detail::InputDeadline no_deadline;
    co_await detail::AwaitInput(*pair.connection, no_deadline);
  };
  asio::co_spawn(pair.io, wait(), asio::detached);
  const auto handlers = pair.io.run_for(std::chrono::milliseconds{100});
  CHECK(handlers < 10);
}

TEST_CASE("callers that leave while the loop is busy are forgotten") {
  // Guards against connections that stay open for ever after the process was
  // frozen beyond the idle timeout while its callers left.
  TestServer server(AnswerPath);
  server.server.limits.idle_timeout = std::chrono::milliseconds{500};
  constexpr std::size_t kCallers = 300;
  std::vector<std::unique_ptr<RawClient>> callers(kCallers);
  std::ranges::generate(
      callers, [&server] { return std::make_unique<RawClient>(server.port); });
  REQUIRE(HoldsSoon(
      server, [&server] { return server.server.counts.accepted == kCallers; }));
  WhileBusy(server, [&callers] {
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
    callers.clear();
  });
  CHECK(
      HoldsSoon(server, [&server] { return server.server.counts.open == 0; }));
}

TEST_CASE("a request that arrives after the idle timeout of many is answered") {
  // Guards against the loss of requests when more descriptors are ready than
  // the event loop takes at a time, after a freeze.
  TestServer server(AnswerPath);
  server.server.limits.idle_timeout = std::chrono::milliseconds{500};
  constexpr std::size_t kCallers = 300;
  std::vector<std::unique_ptr<RawClient>> callers(kCallers);
  std::ranges::generate(
      callers, [&server] { return std::make_unique<RawClient>(server.port); });
  REQUIRE(HoldsSoon(
      server, [&server] { return server.server.counts.accepted == kCallers; }));
  WhileBusy(server, [&callers] {
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
    for (const auto& caller : callers) {
      caller->Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    }
  });
  std::size_t answered = 0;
  for (const auto& caller : callers) {
    answered += caller->ReadUntil("/a").starts_with("HTTP/1.1 200") ? 1 : 0;
  }
  CHECK(answered == kCallers);
}

TEST_CASE("a head that arrives byte by byte on a busy loop is timed out") {
  // Guards against heads that keep a connection open for as long as each check
  // of the timeout finds another byte.
  TestServer server(AnswerPath);
  server.server.limits.head_timeout = std::chrono::milliseconds{100};
  asio::co_spawn(
      server.loop.io,
      []() -> asio::awaitable<void> {
        while (true) {
          std::this_thread::sleep_for(std::chrono::milliseconds{5});
          co_await asio::post(asio::use_awaitable);
        }
      },
      asio::detached);
  RawClient client(server.port);
  client.Send("GET /slow HTTP/1.1\r\nHost: h\r\nX-Slow: ");
  std::error_code error;
  const auto started = std::chrono::steady_clock::now();
  const auto elapsed = [started] {
    return std::chrono::steady_clock::now() - started;
  };
  while (!error && elapsed() < std::chrono::seconds{3}) {
    asio::write(client.socket, asio::buffer("x", 1), error);
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
  }
  CHECK(elapsed() < std::chrono::seconds{1});
}

TEST_CASE("a body that has arrived as its timeout expires is discarded") {
  // Guards against a connection that is closed after its response announced
  // that it stays, although the rest of the body and a request have arrived.
  TestServer server(AnswerPath);
  constexpr std::size_t kBody = 100000;
  RawClient client(server.port);
  client.Send(
      "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
  REQUIRE(client.ReadUntil("/early").starts_with("HTTP/1.1 200"));
  WhileBusy(server, [&client] {
    client.Send(std::string(kBody, 'x'));
    client.Send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds{1100});
  });
  CHECK(client.ReadUntil("/next").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a connection is idle after each kind of request") {
  // Guards against bytes of a request that are left over after it and start
  // the timeout of a head, which is shorter than that of an idle connection.
  TestServer server([](Exchange& exchange) -> asio::awaitable<void> {
    std::string body;
    BodyRead read = BodyRead::kMore;
    while (read == BodyRead::kMore) {
      read = co_await ReadBody(exchange, body);
    }
    co_await Respond(exchange, 200, {}, "first");
  });
  server.server.limits.head_timeout = std::chrono::milliseconds{100};
  server.server.limits.idle_timeout = std::chrono::milliseconds{5000};
  const std::string chunked =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n0\r\n\r\n";
  const std::string sized =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok";
  const std::string empty =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  // RFC 9112, section 2.2: an empty line before a request line is ignored.
  for (const std::string& first : {chunked, sized, empty, get, get + "\r\n"}) {
    CAPTURE(first);
    RawClient client(server.port);
    client.Send(first);
    REQUIRE(client.ReadUntil("first").starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    std::error_code ignored;
    asio::write(client.socket, asio::buffer(get), ignored);
    CHECK(client.ReadUntil("first").starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE("a failure of the observer does not leak the connection") {
  // Guards against an exception at the end of a connection (e.g. bad_alloc in
  // a log line) that leaves it counted as open.
  TestServer server(AnswerPath);
  server.server.on_connection_end =
      [](const ServerConnection&, const Exchange*) { throw std::bad_alloc(); };
  { RawClient client(server.port); }
  REQUIRE(HoldsSoon(server,
                    [&server] { return server.server.counts.accepted == 1; }));
  CHECK(
      HoldsSoon(server, [&server] { return server.server.counts.open == 0; }));
}

TEST_CASE("a reset that is found by a write counts as a disconnect") {
  // Guards against departures of callers that look like answers cut by this
  // side.
  auto reset = std::make_shared<std::promise<void>>();
  auto running = std::make_shared<std::promise<void>>();
  TestServer server(
      [reset, running](Exchange& exchange) -> asio::awaitable<void> {
        running->set_value();
        reset->get_future().get();
        co_await Respond(exchange, 200, {}, "late");
      });
  {
    RawClient client(server.port);
    client.Send("GET /reset HTTP/1.1\r\nHost: h\r\n\r\n");
    running->get_future().get();
    client.socket.set_option(asio::socket_base::linger(true, 0));
    // The destructor of the socket would undo the option.
    client.socket.close();
  }
  reset->set_value();
  REQUIRE(
      HoldsSoon(server, [&server] { return server.server.counts.open == 0; }));
  const CloseCounts counts =
      OnLoop(server, [&server] { return server.server.counts.unanswered; });
  CHECK(counts[static_cast<std::size_t>(CloseReason::kAborted)] == 0);
  CHECK(counts[static_cast<std::size_t>(CloseReason::kCallerDisconnected)] ==
        1);
}

TEST_CASE("a close after a response that did not announce it has a reason") {
  // Guards against unannounced closes that are counted as announced ones, so
  // that metrics do not tell the second hypothesis of issue 36 from normal use.
  TestServer server([](Exchange& exchange) -> asio::awaitable<void> {
    co_await StartResponse(exchange, 200, {}, 4);
    // A planned stop that ends open requests does the same.
    exchange.close_after_response = true;
    co_await WriteBody(exchange, "last");
    co_await FinishResponse(exchange);
  });
  RawClient client(server.port);
  client.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string response = client.ReadAll();
  REQUIRE(response.find("Connection: close") == std::string::npos);
  REQUIRE(
      HoldsSoon(server, [&server] { return server.server.counts.open == 0; }));
  const CloseCounts counts =
      OnLoop(server, [&server] { return server.server.counts.closed; });
  CHECK(counts[static_cast<std::size_t>(CloseReason::kResponseEnd)] == 0);
}

}  // namespace
}  // namespace eelgrassbridge::http
