// Responses without length that a server breaks off. Guards against a part of a
// response that is taken for the whole of it.
#include <doctest/doctest.h>

#include <functional>
#include <future>
#include <optional>
#include <string>

#include "eelgrassbridge/http/client.hpp"
#include "raw_server.hpp"
#include "test_support.hpp"

namespace eelgrassbridge::http {
namespace {

using test::Await;
using test::Loopback;
using test::LoopThread;

/// More than the socket buffers of a connection hold, so that a write waits.
constexpr std::size_t kUploadBytes = std::size_t{64} << 20U;
constexpr std::string_view kUploadHead = "POST / HTTP/1.1\r\n\r\n";

/// Reads the response while the body of the request is being sent.
asio::awaitable<ResponseRead> ReadWhileSending(
    LoopThread& loop,
    asio::ip::tcp::endpoint server,
    std::size_t body_bytes = kUploadBytes) {
  ConnectionPool pool(loop.io, {});
  auto acquired = co_await Acquire(pool, server);
  const ClientConnectionPtr connection = acquired.value()->connection;
  bool sending = true;
  Event sent(loop.io);
  asio::co_spawn(
      loop.io,
      [&]() -> asio::awaitable<void> {
        const std::string body(body_bytes, 'u');
        co_await Send(*connection, kUploadHead, body);
        sending = false;
        Notify(sent);
      },
      asio::detached);
  auto read = ResponseRead::kTruncated;
  if (co_await ReadResponseHead(*connection, false)) {
    do {
      read = co_await ReadResponseBody(*connection);
    } while (read == ResponseRead::kMore);
  }
  Close(*connection);
  while (sending) {
    co_await Wait(sent);
  }
  co_return read;
}

/// How a server ends a response to an upload of which it has read one byte.
enum class End { kOrderly, kReset, kOrderlyThenReset };

ResponseRead ReadDuringUpload(const std::string& answer, End end) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, Loopback());
  LoopThread loop;
  auto read = std::async(std::launch::async, [&] {
    return Await(loop.io, ReadWhileSending(loop, acceptor.local_endpoint()));
  });
  asio::ip::tcp::socket server = acceptor.accept();
  char byte = 0;
  asio::read(server, asio::buffer(&byte, 1));
  // The client's write fills the buffers meanwhile.
  std::this_thread::sleep_for(std::chrono::milliseconds{200});
  asio::write(server, asio::buffer(answer));
  if (end != End::kReset) {
    server.shutdown(asio::ip::tcp::socket::shutdown_send);
  }
  if (end == End::kOrderly) {
    return read.get();
  }
  server.set_option(asio::socket_base::linger(true, 0));
  server.close();
  return read.get();
}

TEST_CASE("an end during the upload does not complete a response") {
  // Guards against a part that is taken for the whole response, because the
  // write takes the reset from the socket and the read then reports an orderly
  // end, or because a server that fails ends its side in order before the
  // reset. A response with a length of its own is complete whatever its end.
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const End end : {End::kOrderly, End::kReset, End::kOrderlyThenReset}) {
    INFO("end ", static_cast<int>(end));
    CHECK(ReadDuringUpload(head + "\r\npart", end) == ResponseRead::kTruncated);
    CHECK(ReadDuringUpload(head + "Content-Length: 5\r\n\r\nwhole", end) ==
          ResponseRead::kComplete);
    CHECK(
        ReadDuringUpload(
            head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            end) == ResponseRead::kComplete);
  }
}

/// Reads a response without length that follows a request of `size` bytes,
/// which the server has read to its end.
ResponseRead ReadAfterRequest(std::size_t size, End end) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, Loopback());
  LoopThread loop;
  auto read = std::async(std::launch::async, [&] {
    return Await(loop.io,
                 ReadWhileSending(loop, acceptor.local_endpoint(), size));
  });
  asio::ip::tcp::socket server = acceptor.accept();
  std::string request(kUploadHead.size() + size, '\0');
  asio::read(server, asio::buffer(request));
  asio::write(server,
              asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n\r\nwhole")));
  if (end == End::kReset) {
    server.set_option(asio::socket_base::linger(true, 0));
  }
  server.close();
  return read.get();
}

TEST_CASE("an orderly end after the request completes a response") {
  // Guards against responses without length that are rejected although their
  // server has read the whole request.
  for (const std::size_t size :
       {std::size_t{0}, std::size_t{10}, kUploadBytes}) {
    INFO(size, " bytes");
    CHECK(ReadAfterRequest(size, End::kOrderly) == ResponseRead::kComplete);
    CHECK(ReadAfterRequest(size, End::kReset) == ResponseRead::kTruncated);
  }
}

/// Reads a response without length whose call expires before the server ends
/// the connection.
asio::awaitable<ResponseRead> ReadAfterExpiry(LoopThread& loop,
                                              asio::ip::tcp::endpoint server,
                                              std::function<void()> end,
                                              bool ended_before) {
  ConnectionPool pool(loop.io, {});
  const CallConnectionPtr call = (co_await Acquire(pool, server)).value();
  co_await Send(*call->connection, "GET / HTTP/1.1\r\n\r\n");
  auto read = ResponseRead::kTruncated;
  if (co_await ReadResponseHead(*call->connection, false)) {
    if (ended_before) {
      end();
    }
    Expire(*call);
    end();
    do {
      read = co_await ReadResponseBody(*call->connection);
    } while (read == ResponseRead::kMore);
  }
  Close(*call);
  co_return read;
}

TEST_CASE("an end that follows the expiry of a call does not complete it") {
  // Guards against a part of a response without length that is taken for the
  // whole of it, because the server gives up when the call ends.
  for (const bool ended_before : {true, false}) {
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, Loopback());
    asio::ip::tcp::socket server(io);
    LoopThread loop;
    const auto end = [&server] {
      std::error_code ignored;
      server.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    };
    auto read = std::async(std::launch::async, [&] {
      return Await(loop.io, ReadAfterExpiry(loop, acceptor.local_endpoint(),
                                            end, ended_before));
    });
    acceptor.accept(server);
    char byte = 0;
    asio::read(server, asio::buffer(&byte, 1));
    asio::write(server,
                asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n\r\npart")));
    CHECK(read.get() ==
          (ended_before ? ResponseRead::kComplete : ResponseRead::kTruncated));
  }
}

/// Sends a small request and returns the error of its call, if it fails.
std::optional<base::ErrorKind> CallError(const std::string& answer) {
  LoopThread loop;
  ConnectionPool pool(loop.io, {});
  const eelgrassbridge::test::RawServer server(answer);
  BufferedRequest request;
  request.method = "POST";
  request.target = "/";
  request.headers = {{"Host", "h"}};
  request.body = "body";
  const auto response =
      Await(loop.io, Call(pool, Loopback(server.port), request));
  loop.Stop();
  return response ? std::nullopt : std::optional(response.error().kind);
}

TEST_CASE("a call fails if the response is malformed") {
  // Guards against replies of the store and of other daemons that are used
  // although their servers are in trouble. The request may have been executed.
  const std::string rest = "Content-Length: 2\r\n\r\nok";
  CHECK_FALSE(CallError("HTTP/1.1 200 OK\r\n" + rest));
  for (const std::string start :
       {"HTTP/1.1 000 None\r\n", "HTTP/1.1 600 High\r\n",
        "HTTP/1.1 200 OK\r\nX Bad: v\r\n", "HTTP/1.1 200 OK\r\nX : v\r\n",
        "HTTP/1.1 200 OK\r\nX\x01: v\r\n", "HTTP/1.1 200 OK\r\n\rX: v\r\n",
        "HTTP/1.1 200 OK\r\nX: v\r\n folded\r\n",
        "HTTP/1.1 103 Hints\r\nX Bad: v\r\n\r\nHTTP/1.1 200 OK\r\n"}) {
    INFO(start);
    CHECK(CallError(start + rest) == base::ErrorKind::kPeerLost);
  }
}

}  // namespace
}  // namespace eelgrassbridge::http
