// Bytes held by the HTTP client while a server sends without end. Guards
// against a server whose bytes fill the memory of its callers.
#include <doctest/doctest.h>

#include <array>
#include <future>
#include <vector>

#include "eelgrassbridge/http/client.hpp"
#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using base::ErrorKind;
using test::Await;
using test::Loopback;
using test::LoopThread;

/// Heads are bounded to this size during the tests, as by a route table.
constexpr std::uint32_t kMaxHeadBytes = std::uint32_t{16} << 10U;
constexpr std::uint32_t kDefaultMaxHeadBytes = HTTP_MAX_HEADER_SIZE;
/// Bound on the buffers of a connection: a head at its limit with its fields,
/// and one read of the socket, with the growth of their containers.
constexpr std::size_t kMaxHeldBytes = std::size_t{192} << 10U;
/// Sent at most; far more than any of the bounds.
constexpr std::size_t kEndlessBytes = std::size_t{32} << 20U;
constexpr std::size_t kPartBytes = std::size_t{64} << 10U;

/// Bytes that a server sends in place of an answer: `start` once, then `part`
/// again and again.
struct EndlessBytes {
  std::string what;
  std::string start;
  std::string part;
};

/// Accepts one connection, reads once, and sends until the client closes.
struct EndlessServer {
  explicit EndlessServer(const EndlessBytes& bytes)
      : acceptor(this->io, Loopback()) {
    this->port = this->acceptor.local_endpoint().port();
    std::string parts;
    while (parts.size() < kPartBytes) {
      parts += bytes.part;
    }
    this->thread = std::thread([this, start = bytes.start, parts] {
      std::error_code error;
      asio::ip::tcp::socket socket(this->io);
      this->acceptor.accept(socket, error);
      char buffer[4096];
      socket.read_some(asio::buffer(buffer), error);
      asio::write(socket, asio::buffer(start), error);
      for (std::size_t sent = 0; !error && sent < kEndlessBytes;) {
        sent += asio::write(socket, asio::buffer(parts), error);
      }
    });
  }
  ~EndlessServer() { this->thread.join(); }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  std::uint16_t port = 0;
  std::thread thread;
};

struct HeadLimit {
  HeadLimit() { SetMaxHeadBytes(kMaxHeadBytes); }
  ~HeadLimit() { SetMaxHeadBytes(kDefaultMaxHeadBytes); }
  HeadLimit(const HeadLimit&) = delete;
  HeadLimit& operator=(const HeadLimit&) = delete;
};

BufferedRequest Get() {
  BufferedRequest request;
  request.method = "GET";
  request.target = "/";
  request.headers = {{"Host", "h"}};
  return request;
}

std::size_t HeldBytes(const ClientConnection& connection) {
  std::size_t held = connection.input.capacity() +
                     connection.parser.body.capacity() +
                     connection.parser.headers.capacity() * sizeof(Header);
  for (const Header& header : connection.parser.headers) {
    held += header.name.capacity() + header.value.capacity();
  }
  return held;
}

struct Reading {
  bool head = false;
  ResponseRead body = ResponseRead::kTruncated;
  std::size_t body_bytes = 0;
  std::size_t held_bytes = 0;
};

/// Reads an answer as far as `limit` bytes of its body, which it discards.
asio::awaitable<Reading> Read(ConnectionPool& pool,
                              std::uint16_t port,
                              std::size_t limit) {
  auto acquired = co_await Acquire(pool, Loopback(port));
  ClientConnection& connection = *acquired.value()->connection;
  co_await Send(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Reading reading;
  const auto head = co_await ReadResponseHead(connection, false);
  reading.head = head.has_value();
  if (reading.head) {
    reading.body = ResponseRead::kMore;
  }
  while (reading.body == ResponseRead::kMore && reading.body_bytes < limit) {
    reading.body = co_await ReadResponseBody(connection);
    reading.body_bytes += connection.parser.body.size();
    reading.held_bytes = std::max(reading.held_bytes, HeldBytes(connection));
    connection.parser.body.clear();
  }
  reading.held_bytes = std::max(reading.held_bytes, HeldBytes(connection));
  Close(connection);
  co_return reading;
}

std::vector<EndlessBytes> EndlessHeads() {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string interim = "HTTP/1.1 102 Processing\r\n";
  return {
      {"blank lines", {}, "\r\n"},
      {"status line", "HTTP/1.1 200 ", "x"},
      {"name of a header", status, "x"},
      {"value of a header", status + "a: ", "x"},
      {"white space of a header", status + "a:", " "},
      {"headers", status, "abc: def\r\n"},
      {"empty headers", status, "a:\r\n"},
      {"interim responses", {}, interim + "\r\n"},
      {"headers of an interim response", interim, "a:\r\n"},
      {"body of an interim response",
       interim + "Content-Length: 1000000000000\r\n\r\n", "x"},
      {"chunks of an interim response",
       interim + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {"chunk of an interim response",
       interim + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "x"},
      {"interim responses with bodies",
       {},
       interim + "Content-Length: 30000\r\n\r\n" + std::string(30000, 'x')},
  };
}

std::vector<EndlessBytes> EndlessFraming() {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "1;", "x"},
      {"trailers", chunked + "0\r\n", "a:\r\n"},
      {"name of a trailer", chunked + "0\r\n", "x"},
      {"value of a trailer", chunked + "0\r\na: ", "x"},
  };
}

std::vector<EndlessBytes> EndlessBodies() {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"body without a length", status + "\r\n", "x"},
      {"body with a length", status + "Content-Length: 1000000000000\r\n\r\n",
       "x"},
      {"chunk", chunked + "fffffffff\r\n", "x"},
      {"chunks", chunked, "1\r\nx\r\n"},
  };
}

TEST_CASE("a head without end is given up and held within a bound") {
  // Guards against the bodies of interim responses and the fields of a head,
  // kept until the connection ends.
  const HeadLimit limit;
  for (const EndlessBytes& bytes : EndlessHeads()) {
    INFO(bytes.what);
    LoopThread loop;
    ConnectionPool pool(loop.io, {});
    EndlessServer server(bytes);
    const Reading reading = Await(loop.io, Read(pool, server.port, 0));
    CHECK(!reading.head);
    CHECK(reading.held_bytes < kMaxHeldBytes);
  }
}

TEST_CASE("framing of a body without end is given up within a bound") {
  // Guards against chunk sizes, extensions and trailers read for as long as
  // they arrive.
  const HeadLimit limit;
  for (const EndlessBytes& bytes : EndlessFraming()) {
    INFO(bytes.what);
    LoopThread loop;
    ConnectionPool pool(loop.io, {});
    EndlessServer server(bytes);
    const Reading reading =
        Await(loop.io, Read(pool, server.port, kEndlessBytes));
    CHECK(reading.head);
    CHECK(reading.body == ResponseRead::kTruncated);
    CHECK(reading.body_bytes <= 1);
    CHECK(reading.held_bytes < kMaxHeldBytes);
  }
}

TEST_CASE("of a body without end only the last piece is held") {
  // Guards against a connection that keeps what its reader has taken.
  const HeadLimit limit;
  constexpr std::size_t kReadBytes = std::size_t{4} << 20U;
  for (const EndlessBytes& bytes : EndlessBodies()) {
    INFO(bytes.what);
    LoopThread loop;
    ConnectionPool pool(loop.io, {});
    EndlessServer server(bytes);
    const Reading reading = Await(loop.io, Read(pool, server.port, kReadBytes));
    CHECK(reading.body == ResponseRead::kMore);
    CHECK(reading.body_bytes >= kReadBytes);
    CHECK(reading.held_bytes < kMaxHeldBytes);
  }
}

TEST_CASE("a call gives up an answer that is too large") {
  // Guards against calls to the store and between daemons that keep an answer
  // without end.
  constexpr std::size_t kMaxAnswerBytes = std::size_t{256} << 10U;
  constexpr std::size_t kMaxPieceBytes = std::size_t{16} << 10U;
  for (const EndlessBytes& bytes : EndlessBodies()) {
    INFO(bytes.what);
    LoopThread loop;
    ConnectionPool pool(loop.io, {});
    EndlessServer server(bytes);
    BufferedRequest request = Get();
    request.max_response_bytes = kMaxAnswerBytes;
    request.progress = std::make_shared<CallProgress>();
    const auto progress = request.progress;
    const auto response =
        Await(loop.io, Call(pool, Loopback(server.port), std::move(request)));
    REQUIRE(!response);
    CHECK(response.error().kind == ErrorKind::kPeerLost);
    CHECK(progress->received_bytes > kMaxAnswerBytes);
    CHECK(progress->received_bytes <= kMaxAnswerBytes + kMaxPieceBytes);
    CHECK(pool.idle.empty());
  }
}

/// Waits for a request. A client uses no new connection on which an answer has
/// arrived before its request.
void AwaitRequest(asio::ip::tcp::socket& server) {
  std::array<char, 256> request;
  server.read_some(asio::buffer(request));
}

TEST_CASE("bytes that follow an answer on an idle connection are not read") {
  // Guards against a pool that takes in what a server sends between requests,
  // and against its use as the answer to the next one.
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, Loopback());
  const std::uint16_t port = acceptor.local_endpoint().port();
  const auto call = [&loop, &pool, port] {
    return Await(loop.io, Call(pool, Loopback(port), Get())).has_value();
  };
  auto first = std::async(std::launch::async, call);
  asio::ip::tcp::socket server(io);
  acceptor.accept(server);
  AwaitRequest(server);
  asio::write(server, asio::buffer(answer));
  REQUIRE(first.get());
  // Sends until the buffers of the kernel are full, which hold less.
  constexpr std::size_t kMaxSentBytes = std::size_t{512} << 20U;
  server.non_blocking(true);
  const std::string surplus(kPartBytes, 'x');
  std::error_code error;
  std::size_t sent = 0;
  while (!error && sent < kMaxSentBytes) {
    sent += server.write_some(asio::buffer(surplus), error);
  }
  CHECK(error == asio::error::would_block);
  REQUIRE(pool.idle.size() == 1);
  const ClientConnectionPtr kept = pool.idle.begin()->second.front();
  CHECK(HeldBytes(*kept) < kMaxHeldBytes);
  auto second = std::async(std::launch::async, call);
  asio::ip::tcp::socket next(io);
  acceptor.accept(next);
  AwaitRequest(next);
  asio::write(next, asio::buffer(answer));
  CHECK(second.get());
  CHECK(!kept->socket.is_open());
  loop.Stop();
  // The coroutine frame of the last call may still own its connection.
  for (const ClientConnectionPtr& connection : pool.idle.begin()->second) {
    Close(*connection);
  }
}

}  // namespace
}  // namespace eelgrassbridge::http
