// Timeouts of connections.
#include <doctest/doctest.h>

#include <future>
#include <string>

#include "eelgrassbridge/http/server.hpp"
#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using test::RawClient;
using test::TestServer;

/// Timeout of the connections in these tests.
constexpr std::chrono::milliseconds kTimeout{400};
constexpr std::chrono::milliseconds kPollInterval{1};

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

std::uint64_t CountOf(const CloseCounts& counts, CloseReason reason) {
  return counts[static_cast<std::size_t>(reason)];
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
