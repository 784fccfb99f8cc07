// Closes of connections on which the caller goes on sending.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <future>
#include <string>

#include "eelgrassbridge/http/server.hpp"
#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using test::RawClient;
using test::TestServer;

/// More than the caller's kernel accepts before the caller reads, and less than
/// the server's kernel accepts for sending.
constexpr std::size_t kAnswerBytes = std::size_t{1} << 20U;
constexpr int kCallerBufferBytes = 4096;
/// Time in which the server has written an answer and ended the connection.
constexpr std::chrono::milliseconds kEndTime{200};

asio::awaitable<void> AnswerLong(Exchange& exchange) {
  const std::string body(kAnswerBytes, 'x');
  co_await Respond(exchange, 200, {}, body);
}

TEST_CASE("an answer that ends the connection survives a further request") {
  // Guards against answers that are cut short by a TCP reset: the caller of a
  // kept connection may send its next request before it has read that the
  // connection ends, and data for a closed socket resets the connection.
  TestServer server(AnswerLong);
  RawClient client(server.port);
  ::setsockopt(client.socket.native_handle(), SOL_SOCKET, SO_RCVBUF,
               &kCallerBufferBytes, sizeof(kCallerBufferBytes));
  client.Send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  std::this_thread::sleep_for(kEndTime);
  client.Send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string all = client.ReadAll();
  const std::size_t body = all.find("\r\n\r\n");
  REQUIRE(body != std::string::npos);
  CHECK(all.size() - body - 4 == kAnswerBytes);
  CHECK(all.find("/b") == std::string::npos);
}

TEST_CASE("a connection that its caller keeps open is closed in the end") {
  // Guards against connections that are held by callers that never close them.
  TestServer server([](Exchange& exchange) -> asio::awaitable<void> {
    co_await Respond(exchange, 200, {}, "whole");
  });
  RawClient client(server.port);
  client.Send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(client.ReadAll().ends_with("whole"));
  const auto open = [&server] {
    std::promise<std::uint32_t> count;
    asio::post(server.loop.io,
               [&] { count.set_value(server.server.counts.open); });
    return count.get_future().get();
  };
  constexpr int kPolls = 500;
  for (int i = 0; i < kPolls && open() > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  CHECK(open() == 0);
}

}  // namespace
}  // namespace eelgrassbridge::http
