// Connections of callers: reading, parsing and answering.
#include "eelgrassbridge/http/server.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <system_error>

namespace eelgrassbridge::http {

namespace {

using asio::awaitable;
using asio::ip::tcp;
using ConnectionPointer = std::shared_ptr<ServerConnection>;

/// Received bytes held of one connection before its caller is slowed down.
constexpr std::size_t kMaxInputBytes = std::size_t{64} * 1024;
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
/// Longest time for reading the rest of a body that nobody needs.
constexpr std::chrono::milliseconds kDiscardTime{1000};
/// Pause after a failed accept, e.g. for want of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{50};
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kBadRequest = 400;

void Close(ServerConnection& connection) {
  if (connection.closed) {
    return;
  }
  connection.closed = true;
  std::error_code ignored;
  connection.socket.shutdown(tcp::socket::shutdown_both, ignored);
  connection.socket.close(ignored);
  Notify(connection.input_changed);
  Notify(connection.input_consumed);
}

void HandleDisconnect(ServerConnection& connection) {
  connection.caller_disconnected = true;
  Notify(connection.input_changed);
  if (connection.on_caller_disconnected) {
    const auto callback = std::move(connection.on_caller_disconnected);
    connection.on_caller_disconnected = nullptr;
    callback();
  }
}

/// Reads all the time, so that a caller that leaves is noticed while its
/// request runs.
awaitable<void> ReadInput(ConnectionPointer connection) {
  std::array<char, kReadBufferBytes> piece;
  while (!connection->closed) {
    if (connection->input.size() >= kMaxInputBytes) {
      co_await Wait(connection->input_consumed);
      continue;
    }
    std::error_code error;
    const std::size_t size = co_await connection->socket.async_read_some(
        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      HandleDisconnect(*connection);
      co_return;
    }
    connection->input.append(piece.data(), size);
    Notify(connection->input_changed);
  }
}

/// Parses what has arrived up to the next stop; waits for bytes if necessary.
/// False: the connection has ended.
awaitable<bool> ParseMore(ServerConnection& connection) {
  while (connection.input.empty()) {
    if (connection.caller_disconnected || connection.closed) {
      co_return false;
    }
    co_await Wait(connection.input_changed);
  }
  const std::size_t consumed = Parse(connection.parser, connection.input);
  connection.input.erase(0, consumed);
  Notify(connection.input_consumed);
  co_return true;
}

void CloseAfter(ServerConnection& connection,
                std::chrono::milliseconds time,
                std::weak_ptr<ServerConnection> owner) {
  Arm(connection.timeout, time, [owner = std::move(owner)] {
    if (const auto alive = owner.lock()) {
      Close(*alive);
    }
  });
}

enum class HeadRead : std::uint8_t { kHead, kEnded, kInvalid, kTooLarge };

awaitable<HeadRead> ReadHead(const ServerLimits& limits,
                             const ConnectionPointer& connection) {
  Reset(connection->parser);
  if (connection->input.empty()) {
    CloseAfter(*connection, limits.idle_timeout, connection);
    while (connection->input.empty() && !connection->caller_disconnected &&
           !connection->closed) {
      co_await Wait(connection->input_changed);
    }
  }
  CloseAfter(*connection, limits.head_timeout, connection);
  while (true) {
    const bool parsed = co_await ParseMore(*connection);
    if (!parsed) {
      co_return HeadRead::kEnded;
    }
    switch (connection->parser.state) {
      case ParseState::kMore:
        continue;
      case ParseState::kHeadTooLarge:
        co_return HeadRead::kTooLarge;
      case ParseState::kInvalid:
        co_return HeadRead::kInvalid;
      case ParseState::kHead:
      case ParseState::kComplete:
        Disarm(connection->timeout);
        co_return HeadRead::kHead;
    }
  }
}

awaitable<bool> WriteAll(ServerConnection& connection,
                         std::array<asio::const_buffer, 2> buffers) {
  if (connection.closed) {
    co_return false;
  }
  std::error_code error;
  co_await asio::async_write(connection.socket, buffers,
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

/// A caller that was not told to continue may send the body or leave it out, so
/// the response that it gets instead is the last one on its connection.
void CloseIfBodyIsOpen(Exchange& exchange) {
  exchange.close_after_response =
      exchange.close_after_response || exchange.continue_expected;
}

/// Reads and drops the rest of a body, so that the connection can be used
/// again and the caller gets the response before a reset.
awaitable<void> DiscardBody(Exchange& exchange) {
  if (exchange.body_complete) {
    co_return;
  }
  if (exchange.continue_expected) {
    co_return;
  }
  CloseAfter(*exchange.connection, kDiscardTime, exchange.connection);
  std::string dropped;
  BodyRead read = BodyRead::kMore;
  while (read == BodyRead::kMore) {
    dropped.clear();
    read = co_await ReadBody(exchange, dropped);
  }
  Disarm(exchange.connection->timeout);
  if (read != BodyRead::kComplete) {
    exchange.close_after_response = true;
  }
}

awaitable<void> RefuseHead(const ConnectionPointer& connection, int status) {
  const std::string text =
      FormatResponseHead(status, {}, {Framing::Kind::kLength, 0}, false);
  co_await WriteAll(*connection, {asio::buffer(text), asio::const_buffer{}});
}

Exchange MakeExchange(Server& server, const ConnectionPointer& connection) {
  Exchange exchange;
  exchange.connection = connection;
  exchange.counts = &server.counts;
  exchange.head = TakeRequestHead(connection->parser);
  exchange.max_body_bytes = server.limits.max_body_bytes;
  exchange.continue_expected = EqualsIgnoreCase(
      HeaderValue(exchange.head.headers, "Expect"), "100-continue");
  exchange.close_after_response = !exchange.head.keep_alive || server.draining;
  return exchange;
}

/// Handles one request. False: the connection cannot be used any more.
awaitable<bool> HandleOne(Server& server, ConnectionPointer connection) {
  const HeadRead read = co_await ReadHead(server.limits, connection);
  if (read == HeadRead::kInvalid || read == HeadRead::kTooLarge) {
    ++server.counts.invalid;
    co_await RefuseHead(
        connection, read == HeadRead::kInvalid ? kBadRequest : kHeadTooLarge);
  }
  if (read != HeadRead::kHead) {
    co_return false;
  }
  Exchange exchange = MakeExchange(server, connection);
  if (!exchange.head.has_body) {
    // Reads the end of the message, which needs no further bytes.
    std::string none;
    co_await ReadBody(exchange, none);
  }
  ++server.active_requests;
  if (exchange.head.length.value_or(0) > exchange.max_body_bytes) {
    co_await Respond(exchange, kContentTooLarge, {}, {});
  } else {
    co_await server.handler(exchange);
  }
  connection->on_caller_disconnected = nullptr;
  if (exchange.response_complete) {
    co_await DiscardBody(exchange);
  }
  --server.active_requests;
  co_return exchange.response_complete && !exchange.close_after_response &&
      !connection->caller_disconnected && !connection->closed;
}

awaitable<void> HandleConnection(Server& server, ConnectionPointer connection) {
  ++server.counts.open;
  asio::co_spawn(server.io, ReadInput(connection), asio::detached);
  bool usable = true;
  while (usable) {
    usable = co_await HandleOne(server, connection);
  }
  Disarm(connection->timeout);
  Close(*connection);
  --server.counts.open;
}

void LogFailure(const std::exception_ptr& failure) {
  try {
    if (failure) {
      std::rethrow_exception(failure);
    }
  } catch (const std::exception& error) {
    spdlog::error("connection failed: {}", error.what());
  }
}

}  // namespace

ServerConnection::ServerConnection(asio::io_context& io, tcp::socket accepted)
    : socket(std::move(accepted)),
      input_changed(io),
      input_consumed(io),
      timeout(io) {}

void Listen(Server& server, const tcp::endpoint& endpoint) {
  server.acceptor = std::make_unique<tcp::acceptor>(server.io, endpoint, true);
}

awaitable<void> Serve(Server& server) {
  while (server.acceptor->is_open()) {
    std::error_code error;
    tcp::socket socket = co_await server.acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      spdlog::warn("accept failed: {}", error.message());
      co_await Sleep(server.io, kAcceptPause);
      continue;
    }
    ++server.counts.accepted;
    if (server.counts.open >= server.limits.max_connections) {
      ++server.counts.refused;
      continue;
    }
    std::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(server.io,
                   HandleConnection(server, std::make_shared<ServerConnection>(
                                                server.io, std::move(socket))),
                   LogFailure);
  }
}

awaitable<BodyRead> ReadBody(Exchange& exchange, std::string& body) {
  ServerConnection& connection = *exchange.connection;
  if (exchange.body_complete) {
    co_return BodyRead::kComplete;
  }
  if (exchange.continue_expected) {
    exchange.continue_expected = false;
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    co_await WriteAll(connection,
                      {asio::buffer(kContinue), asio::const_buffer{}});
  }
  const bool parsed = co_await ParseMore(connection);
  if (!parsed) {
    co_return BodyRead::kCallerDisconnected;
  }
  exchange.body_received += connection.parser.body.size();
  exchange.counts->body_bytes += connection.parser.body.size();
  body += connection.parser.body;
  connection.parser.body.clear();
  if (exchange.body_received > exchange.max_body_bytes) {
    co_return BodyRead::kTooLarge;
  }
  switch (connection.parser.state) {
    case ParseState::kComplete:
      exchange.body_complete = true;
      co_return BodyRead::kComplete;
    case ParseState::kInvalid:
    case ParseState::kHeadTooLarge:
      co_return BodyRead::kInvalid;
    case ParseState::kMore:
    case ParseState::kHead:
      break;
  }
  co_return BodyRead::kMore;
}

awaitable<bool> Respond(Exchange& exchange,
                        int status,
                        Headers headers,
                        std::string_view body) {
  exchange.response_started = true;
  CloseIfBodyIsOpen(exchange);
  const std::string head =
      FormatResponseHead(status, headers, {Framing::Kind::kLength, body.size()},
                         !exchange.close_after_response);
  const bool sent = co_await WriteAll(*exchange.connection,
                                      {asio::buffer(head), asio::buffer(body)});
  exchange.response_complete = sent;
  co_return sent;
}

awaitable<bool> StartResponse(Exchange& exchange,
                              int status,
                              Headers headers,
                              std::optional<std::uint64_t> length) {
  exchange.response_started = true;
  CloseIfBodyIsOpen(exchange);
  exchange.response_chunked = !length;
  const Framing framing = length ? Framing{Framing::Kind::kLength, *length}
                                 : Framing{Framing::Kind::kChunked, 0};
  const std::string head = FormatResponseHead(status, headers, framing,
                                              !exchange.close_after_response);
  co_return co_await WriteAll(*exchange.connection,
                              {asio::buffer(head), asio::const_buffer{}});
}

awaitable<bool> WriteBody(Exchange& exchange, std::string_view data) {
  if (data.empty()) {
    co_return true;
  }
  if (!exchange.response_chunked) {
    co_return co_await WriteAll(*exchange.connection,
                                {asio::buffer(data), asio::const_buffer{}});
  }
  const std::string chunk = FormatChunk(data);
  co_return co_await WriteAll(*exchange.connection,
                              {asio::buffer(chunk), asio::const_buffer{}});
}

awaitable<bool> FinishResponse(Exchange& exchange) {
  bool sent = true;
  if (exchange.response_chunked) {
    const std::string last = FormatChunk({});
    sent = co_await WriteAll(*exchange.connection,
                             {asio::buffer(last), asio::const_buffer{}});
  }
  exchange.response_complete = sent;
  co_return sent;
}

void Abort(Exchange& exchange) {
  exchange.close_after_response = true;
  Close(*exchange.connection);
}

}  // namespace eelgrassbridge::http
