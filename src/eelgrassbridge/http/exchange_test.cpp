// Requests that refer to a connection after their end, or that begin when it
// has already ended.
#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "eelgrassbridge/http/server.hpp"
#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using test::RawClient;
using test::TestServer;

constexpr std::string_view kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_CASE("an ended request has no effect on the next one of its connection") {
  // Guards against work left over from an answered request that closes the
  // connection under the request that follows on it.
  std::vector<std::shared_ptr<Exchange>> exchanges;
  TestServer server([&exchanges](Exchange& exchange) -> asio::awaitable<void> {
    for (const auto& ended : exchanges) {
      InterruptBody(*ended);
      SuspendBodyRead(*ended);
      Abort(*ended);
      CHECK_FALSE(co_await WriteBody(*ended, "late"));
    }
    exchanges.push_back(exchange.shared_from_this());
    co_await Respond(exchange, 200, {}, "whole");
  });
  RawClient client(server.port);
  client.Send(kRequest);
  CHECK(client.ReadUntil("whole").starts_with("HTTP/1.1 200"));
  client.Send(kRequest);
  const std::string second = client.ReadUntil("whole");
  CHECK(second.starts_with("HTTP/1.1 200"));
  CHECK(second.find("late") == std::string::npos);
  // The last request may still hold its connection, which needs the loop.
  server.loop.Stop();
  exchanges.clear();
}

TEST_CASE("a caller that left before the callback was set is reported") {
  // Guards against requests that run on for a caller that has disconnected,
  // because nobody listened at that time.
  std::promise<void> started;
  std::promise<bool> reported;
  TestServer server(
      [&started, &reported](Exchange& exchange) -> asio::awaitable<void> {
        started.set_value();
        asio::io_context& io = static_cast<asio::io_context&>(
            exchange.connection->socket.get_executor().context());
        while (!exchange.connection->caller_disconnected) {
          co_await Sleep(io, std::chrono::milliseconds{1});
        }
        bool called = false;
        SetDisconnectCallback(exchange, [&called] { called = true; });
        reported.set_value(called);
      });
  {
    RawClient client(server.port);
    client.Send(kRequest);
    started.get_future().get();
  }
  CHECK(reported.get_future().get());
}

}  // namespace
}  // namespace eelgrassbridge::http
