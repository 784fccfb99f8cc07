// Tests of the HTTP server, with raw TCP connections as callers.
#include "eelgrassbridge/http/server.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>

#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using test::RawClient;
using test::TestServer;

constexpr std::chrono::milliseconds kLongHandlerTime{10000};

asio::awaitable<void> AnswerPath(Exchange& exchange) {
  std::string body;
  BodyRead read = BodyRead::kMore;
  while (read == BodyRead::kMore) {
    read = co_await ReadBody(exchange, body);
  }
  const std::string response = exchange.head.target + ":" + body;
  co_await Respond(exchange, 200, {}, response);
}

TEST_CASE("pipelined requests are answered in order") {
  // Guards against the loss of requests received together with an earlier one.
  TestServer server(AnswerPath);
  RawClient client(server.port);
  client.Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string all = client.ReadAll();
  CHECK(all.find("/1:") < all.find("/2:"));
  CHECK(all.find("/2:") < all.find("/3:"));
  CHECK(all.find("/3:") != std::string::npos);
}

TEST_CASE("a disconnect is detected while the request is handled") {
  // Guards against work that continues for a caller that has disconnected.
  auto left = std::make_shared<std::atomic<bool>>(false);
  TestServer server([left](Exchange& exchange) -> asio::awaitable<void> {
    auto event = std::make_shared<Event>(static_cast<asio::io_context&>(
        exchange.connection->socket.get_executor().context()));
    exchange.connection->on_caller_disconnected = [left, event] {
      *left = true;
      Notify(*event);
    };
    co_await WaitUntil(*event, base::BootClock::now() + kLongHandlerTime);
  });
  {
    RawClient client(server.port);
    client.Send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
  }
  // Callers are guaranteed detection within half a second.
  for (int i = 0; i < 50 && !*left; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  CHECK(*left);
}

TEST_CASE("a response sent before the end of the body reaches the caller") {
  // Guards against a TCP reset that makes the caller lose the response, and
  // against the rest of the body being parsed as the next request.
  TestServer server([](Exchange& exchange) -> asio::awaitable<void> {
    const std::string response = exchange.head.target;
    co_await Respond(exchange, 200, {}, response);
  });
  RawClient client(server.port);
  client.Send(
      "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n");
  CHECK(client.ReadUntil("/early").find("200 OK") != std::string::npos);
  client.Send(std::string(200000, 'x'));
  client.Send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(client.ReadUntil("/next").find("200 OK") != std::string::npos);
}

TEST_CASE("a body over the limit gets 413") {
  TestServer server(AnswerPath);
  server.server.limits.max_body_bytes = 100;
  RawClient client(server.port);
  client.Send("POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
  CHECK(client.ReadUntil("\r\n\r\n").find("413") != std::string::npos);
}

TEST_CASE("malformed requests get 400 and the connection is closed") {
  TestServer server(AnswerPath);
  RawClient client(server.port);
  client.Send("\x16\x03\x01 this is no HTTP\r\n\r\n");
  CHECK(client.ReadAll().starts_with("HTTP/1.1 400"));
  CHECK(server.server.counts.invalid == 1);
}

TEST_CASE("a head with too many headers gets 431") {
  // Guards against short headers that take many times their size in memory.
  constexpr int kHeaders = 2000;
  TestServer server(AnswerPath);
  RawClient client(server.port);
  std::string head = "GET /many HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < kHeaders; ++i) {
    head += "a:\r\n";
  }
  client.Send(head + "\r\n");
  CHECK(client.ReadAll().starts_with("HTTP/1.1 431"));
}

TEST_CASE("an aborted response is not terminated by a last chunk") {
  // Guards against a truncated response that looks complete.
  TestServer server([](Exchange& exchange) -> asio::awaitable<void> {
    co_await StartResponse(exchange, 200, {}, std::nullopt);
    co_await WriteBody(exchange, "part");
    Abort(exchange);
  });
  RawClient client(server.port);
  client.Send("GET /cut HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string all = client.ReadAll();
  CHECK(all.find("part") != std::string::npos);
  CHECK(all.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("an incomplete head is dropped after the head timeout") {
  TestServer server(AnswerPath);
  server.server.limits.head_timeout = std::chrono::milliseconds{100};
  RawClient client(server.port);
  client.Send("GET /half HTTP/1.1\r\nHo");
  CHECK(client.ReadAll().empty());
}

TEST_CASE("hundreds of idle connections do not block others") {
  // Guards against idle connections that each occupy a worker.
  TestServer server(AnswerPath);
  constexpr int kIdle = 300;
  std::vector<std::unique_ptr<RawClient>> idle;
  idle.reserve(kIdle);
  for (int i = 0; i < kIdle; ++i) {
    idle.push_back(std::make_unique<RawClient>(server.port));
  }
  RawClient client(server.port);
  client.Send("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(client.ReadUntil("/busy:").find("200 OK") != std::string::npos);
}

TEST_CASE("100 Continue is sent before the body is read") {
  TestServer server(AnswerPath);
  RawClient client(server.port);
  client.Send(
      "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
      "Expect: 100-continue\r\n\r\n");
  CHECK(client.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 100"));
  client.Send("ok");
  CHECK(client.ReadUntil("/wait:ok").find("200 OK") != std::string::npos);
}

TEST_CASE("a final response instead of 100 Continue closes the connection") {
  // Guards against a reused connection on which the caller still sends the
  // first request's body: it would be parsed as the next request.
  TestServer server([](Exchange& exchange) -> asio::awaitable<void> {
    co_await Respond(exchange, 503, {}, {});
  });
  RawClient client(server.port);
  client.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
      "Expect: 100-continue\r\n\r\n");
  const std::string all = client.ReadAll();
  CHECK(all.find("503") != std::string::npos);
  CHECK(all.find("Connection: close") != std::string::npos);
}

TEST_CASE("a request with a malformed header is rejected") {
  // Guards against a line that is passed on, and that the target reads as
  // another header.
  std::atomic<int> runs = 0;
  TestServer server([&runs](Exchange& exchange) {
    ++runs;
    return AnswerPath(exchange);
  });
  for (const std::string header :
       {"X Bad: v", "X-Bad : v", " X-Bad: v", "Content-Length : 1",
        "Transfer-Encoding : chunked", "X\x01: v", "\rX-Bad: v",
        "X: v\r\n folded"}) {
    RawClient client(server.port);
    client.Send("POST /x HTTP/1.1\r\nHost: h\r\n" + header +
                "\r\nContent-Length: 4\r\n\r\nbody");
    INFO(header);
    CHECK(client.ReadAll().starts_with("HTTP/1.1 400"));
  }
  CHECK(runs == 0);
}

}  // namespace
}  // namespace eelgrassbridge::http
