// Timeouts of connections that expire at the time at which input arrives. The
// event loop is kept busy meanwhile, so that it finds both at once.
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>

#include "eelgrassbridge/http/server.hpp"
#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using test::RawClient;
using test::TestServer;

/// Timeout of the connections in these tests: longer than the time from the
/// start of a wait until the loop is occupied.
constexpr std::chrono::milliseconds kTimeout{400};
constexpr std::chrono::milliseconds kPollInterval{1};
/// Each try meets the timeout; the order of the two events may differ.
constexpr int kTries = 4;
constexpr std::string_view kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

asio::awaitable<void> AnswerPath(Exchange& exchange) {
  const std::string target = exchange.head.target;
  co_await Respond(exchange, 200, {}, target);
}

/// Runs a function on the loop of the server and returns its result.
template <typename Function>
auto OnLoop(TestServer& server, Function function) {
  std::promise<decltype(function())> done;
  asio::post(server.loop.io,
             [&done, &function] { done.set_value(function()); });
  return done.get_future().get();
}

/// Waits until the server has accepted `count` connections.
void AwaitAccepted(TestServer& server, std::uint64_t count) {
  while (OnLoop(server, [&server] { return server.server.counts.accepted; }) <
         count) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

/// Sends data while the loop is busy, and keeps it busy until the timeout has
/// expired.
void SendBeforeTimeout(TestServer& server,
                       RawClient& client,
                       std::string_view data) {
  std::promise<void> started;
  // Shared, because the loop still uses it when this function returns.
  const auto sent = std::make_shared<std::promise<void>>();
  asio::post(server.loop.io, [&started, sent] {
    started.set_value();
    sent->get_future().get();
    std::this_thread::sleep_for(kTimeout);
  });
  started.get_future().get();
  client.Send(data);
  sent->set_value();
}

std::uint64_t CountOf(const CloseCounts& counts, CloseReason reason) {
  return counts[static_cast<std::size_t>(reason)];
}

TEST_CASE("a request that arrives as the idle timeout expires is answered") {
  // Guards against requests on kept connections that are handled after the
  // timeout has closed their connection, so that they run and get no answer.
  TestServer server(AnswerPath);
  server.server.limits.idle_timeout = kTimeout;
  for (int i = 1; i <= kTries; ++i) {
    RawClient client(server.port);
    AwaitAccepted(server, static_cast<std::uint64_t>(i));
    SendBeforeTimeout(server, client, kRequest);
    CHECK(client.ReadUntil("/a").starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE("a head that is completed as the head timeout expires is answered") {
  // Guards against the same loss on a connection whose caller sends the head in
  // pieces.
  TestServer server(AnswerPath);
  server.server.limits.head_timeout = kTimeout;
  constexpr std::size_t kSplit = 10;
  for (int i = 1; i <= kTries; ++i) {
    RawClient client(server.port);
    client.Send(kRequest.substr(0, kSplit));
    AwaitAccepted(server, static_cast<std::uint64_t>(i));
    SendBeforeTimeout(server, client, kRequest.substr(kSplit));
    CHECK(client.ReadUntil("/a").starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE("requests around the idle timeout are answered or not handled") {
  // Guards against the same loss on a loop that is free.
  std::atomic<int> handled = 0;
  TestServer server([&handled](Exchange& exchange) -> asio::awaitable<void> {
    ++handled;
    co_await AnswerPath(exchange);
  });
  server.server.limits.idle_timeout = std::chrono::milliseconds{5};
  constexpr int kSweep = 300;
  constexpr std::chrono::microseconds kStep{4};
  int answered = 0;
  for (int i = 0; i < kSweep; ++i) {
    RawClient client(server.port);
    const auto arrival = std::chrono::steady_clock::now() +
                         std::chrono::microseconds{4400} + i * kStep;
    while (std::chrono::steady_clock::now() < arrival) {
    }
    std::error_code ignored;
    asio::write(client.socket, asio::buffer(kRequest), ignored);
    answered += client.ReadUntil("/a").starts_with("HTTP/1.1 200") ? 1 : 0;
  }
  server.loop.Stop();
  CHECK(answered == handled);
  CHECK(handled > 0);
}

TEST_CASE("an idle connection is closed by the timeout and counted as such") {
  // Guards against closes by this side that look like departures of callers.
  TestServer server(AnswerPath);
  server.server.limits.idle_timeout = kTimeout;
  RawClient client(server.port);
  CHECK(client.ReadAll().empty());
  const auto count = [&server](CloseReason reason) {
    return OnLoop(server, [&server, reason] {
      return CountOf(server.server.counts.closed, reason);
    });
  };
  while (count(CloseReason::kIdleTimeout) +
             count(CloseReason::kCallerDisconnected) ==
         0) {
    std::this_thread::sleep_for(kPollInterval);
  }
  CHECK(count(CloseReason::kIdleTimeout) == 1);
}

}  // namespace
}  // namespace eelgrassbridge::http
