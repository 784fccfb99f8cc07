// Accepting of connections, reading of requests and writing of responses.
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
using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

/// Unparsed bytes buffered for one connection before the server stops reading
/// from it.
constexpr std::size_t kMaxInputBytes = std::size_t{64} * 1024;
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
/// Time limit for reading the rest of a body that the handler did not read.
constexpr std::chrono::milliseconds kDiscardTimeout{1000};
/// Delay after a failed accept, e.g. for lack of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kBadRequest = 400;
constexpr int kInternalError = 500;

/// Records what ends the connection; only the first call has an effect.
void RecordEnd(ServerConnection& connection, CloseReason reason) {
  if (connection.end) {
    return;
  }
  const base::TimePoint now = base::BootClock::now();
  ConnectionEnd& end = connection.end.emplace();
  end.reason = reason;
  end.open_for = now - connection.accepted_at;
  end.timeout_age = now - connection.timeout_started_at.value_or(now);
  end.unparsed_bytes = connection.input.size();
}

void Close(ServerConnection& connection, CloseReason reason) {
  if (connection.closed) {
    return;
  }
  RecordEnd(connection, reason);
  connection.closed = true;
  std::error_code ignored;
  connection.socket.shutdown(tcp::socket::shutdown_both, ignored);
  connection.socket.close(ignored);
  Notify(connection.input_changed);
  Notify(connection.input_consumed);
}

void HandleDisconnect(ServerConnection& connection) {
  RecordEnd(connection, CloseReason::kCallerDisconnected);
  connection.caller_disconnected = true;
  Notify(connection.input_changed);
  if (connection.on_caller_disconnected) {
    const auto callback = std::move(connection.on_caller_disconnected);
    connection.on_caller_disconnected = nullptr;
    callback();
  }
}

/// Reads from the socket until it fails, also while a request is handled, so
/// that a disconnect of the caller is detected immediately.
awaitable<void> ReadInput(ServerConnectionPtr connection) {
  std::array<char, kReadBufferBytes> buffer;
  while (!connection->closed) {
    if (connection->input.size() >= kMaxInputBytes) {
      co_await Wait(connection->input_consumed);
      continue;
    }
    std::error_code error;
    const std::size_t size = co_await connection->socket.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      HandleDisconnect(*connection);
      co_return;
    }
    connection->input.append(buffer.data(), size);
    Notify(connection->input_changed);
  }
}

/// Parses the received bytes up to the parser's next pause, and waits for more
/// if there are none. Returns false if the connection is closed or reading is
/// interrupted or suspended.
awaitable<bool> ParseMore(ServerConnection& connection) {
  const std::uint64_t suspended_before = connection.suspended_reads;
  while (connection.input.empty()) {
    if (connection.caller_disconnected || connection.closed ||
        connection.body_interrupted ||
        connection.suspended_reads != suspended_before) {
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
                CloseReason reason,
                std::weak_ptr<ServerConnection> owner) {
  connection.timeout_started_at = base::BootClock::now();
  Arm(connection.timeout, time, [reason, owner = std::move(owner)] {
    if (const auto locked = owner.lock()) {
      Close(*locked, reason);
    }
  });
}

void StopTimeout(ServerConnection& connection) {
  Disarm(connection.timeout);
  connection.timeout_started_at.reset();
}

enum class HeadRead : std::uint8_t { kHead, kClosed, kInvalid, kTooLarge };

awaitable<HeadRead> ReadHead(const ServerLimits& limits,
                             const ServerConnectionPtr& connection) {
  Reset(connection->parser);
  if (connection->input.empty()) {
    CloseAfter(*connection, limits.idle_timeout, CloseReason::kIdleTimeout,
               connection);
    while (connection->input.empty() && !connection->caller_disconnected &&
           !connection->closed) {
      co_await Wait(connection->input_changed);
    }
  }
  CloseAfter(*connection, limits.head_timeout, CloseReason::kHeadTimeout,
             connection);
  while (true) {
    const bool parsed = co_await ParseMore(*connection);
    if (!parsed) {
      co_return HeadRead::kClosed;
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
        StopTimeout(*connection);
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

/// A caller that gets a final response instead of "100 Continue" may send the
/// body or omit it, so the connection cannot be used for another request.
void CloseIfContinuePending(Exchange& exchange) {
  exchange.close_after_response =
      exchange.close_after_response || exchange.continue_expected;
}

/// Reads and discards the rest of a body, so that the connection can be reused.
/// Without this, closing the socket with unread data would cause a TCP reset,
/// and the caller might lose the response.
awaitable<void> DiscardBody(Exchange& exchange) {
  if (exchange.body_complete) {
    co_return;
  }
  if (exchange.continue_expected) {
    co_return;
  }
  exchange.connection->body_interrupted = false;
  CloseAfter(*exchange.connection, kDiscardTimeout, CloseReason::kBodyTimeout,
             exchange.connection);
  std::string discarded;
  BodyRead read = BodyRead::kMore;
  while (read == BodyRead::kMore) {
    discarded.clear();
    read = co_await ReadBody(exchange, discarded);
  }
  StopTimeout(*exchange.connection);
  if (read != BodyRead::kComplete) {
    exchange.close_after_response = true;
  }
}

awaitable<void> RejectHead(const ServerConnectionPtr& connection, int status) {
  const std::string text =
      FormatResponseHead(status, {}, {Framing::Kind::kLength, 0}, false);
  co_await WriteAll(*connection, {asio::buffer(text), asio::const_buffer{}});
}

std::shared_ptr<Exchange> MakeExchange(Server& server,
                                       const ServerConnectionPtr& connection) {
  auto made = std::make_shared<Exchange>();
  Exchange& exchange = *made;
  exchange.connection = connection;
  exchange.counts = &server.counts;
  exchange.head = TakeRequestHead(connection->parser);
  exchange.max_body_bytes = server.limits.max_body_bytes;
  exchange.continue_expected = EqualsIgnoreCase(
      HeaderValue(exchange.head.headers, "Expect"), "100-continue");
  exchange.close_after_response = !exchange.head.keep_alive || server.draining;
  return made;
}

/// Runs the handler. If it throws an exception, the request alone fails.
awaitable<void> RunHandler(Server& server, Exchange& exchange) {
  std::string failure;
  try {
    co_await server.handler(exchange);
    co_return;
  } catch (const std::exception& error) {
    failure = error.what();
  }
  exchange.handler_failed = true;
  spdlog::error("the handling of a request failed: {}", failure);
  exchange.close_after_response = true;
  if (exchange.response_started) {
    Close(*exchange.connection, CloseReason::kHandlerFailed);
    co_return;
  }
  co_await Respond(exchange, kInternalError, {}, {});
}

std::uint64_t& CountOf(CloseCounts& counts, CloseReason reason) {
  return counts[static_cast<std::size_t>(reason)];
}

/// What ends a connection that cannot be used for another request.
CloseReason EndOf(const Exchange& exchange) {
  if (exchange.handler_failed) {
    return CloseReason::kHandlerFailed;
  }
  return exchange.response_complete ? CloseReason::kResponseEnd
                                    : CloseReason::kAborted;
}

/// Closes the connection, and counts and reports what ended it.
void EndConnection(Server& server,
                   ServerConnection& connection,
                   CloseReason reason,
                   const Exchange* exchange) {
  Disarm(connection.timeout);
  Close(connection, reason);
  const CloseReason first = connection.end->reason;
  ++CountOf(server.counts.closed, first);
  // A failed handler is answered with 500 by the server itself.
  const bool answered = exchange == nullptr || (exchange->response_complete &&
                                                !exchange->handler_failed);
  if (!answered) {
    ++CountOf(server.counts.unanswered, first);
  }
  if (server.on_connection_end) {
    server.on_connection_end(connection, answered ? nullptr : exchange);
  }
}

/// Handles one request. Returns false if the connection cannot be reused.
awaitable<bool> HandleRequest(Server& server, ServerConnectionPtr connection) {
  const HeadRead read = co_await ReadHead(server.limits, connection);
  if (read == HeadRead::kInvalid || read == HeadRead::kTooLarge) {
    ++server.counts.invalid;
    co_await RejectHead(
        connection, read == HeadRead::kInvalid ? kBadRequest : kHeadTooLarge);
    Close(*connection, CloseReason::kInvalidHead);
  }
  if (read != HeadRead::kHead) {
    EndConnection(server, *connection, CloseReason::kCallerDisconnected,
                  nullptr);
    co_return false;
  }
  const auto owned = MakeExchange(server, connection);
  Exchange& exchange = *owned;
  ++connection->requests;
  if (!exchange.head.has_body) {
    // Completes the message in the parser, which needs no further input.
    std::string empty_body;
    co_await ReadBody(exchange, empty_body);
  }
  ++server.active_requests;
  if (exchange.head.length.value_or(0) > exchange.max_body_bytes) {
    co_await Respond(exchange, kContentTooLarge, {}, {});
  } else {
    co_await RunHandler(server, exchange);
  }
  connection->on_caller_disconnected = nullptr;
  if (exchange.response_complete) {
    co_await DiscardBody(exchange);
  }
  --server.active_requests;
  const bool usable = exchange.response_complete &&
                      !exchange.close_after_response &&
                      !connection->caller_disconnected && !connection->closed;
  if (!usable) {
    EndConnection(server, *connection, EndOf(exchange), &exchange);
  }
  co_return usable;
}

awaitable<void> HandleConnection(Server& server,
                                 ServerConnectionPtr connection) {
  ++server.counts.open;
  asio::co_spawn(server.io, ReadInput(connection), asio::detached);
  bool usable = true;
  while (usable) {
    usable = co_await HandleRequest(server, connection);
  }
  --server.counts.open;
}

void LogFailure(const std::exception_ptr& failure) {
  try {
    if (failure) {
      std::rethrow_exception(failure);
    }
  } catch (const std::exception& error) {
    spdlog::error("unhandled exception on a connection: {}", error.what());
  }
}

constexpr std::array<std::string_view, kCloseReasonCount> kCloseReasonNames = {
    "caller_left",  "idle_timeout", "head_timeout", "body_timeout",
    "invalid_head", "response_end", "answer_cut",   "handler_failed"};

}  // namespace

std::string_view CloseReasonName(CloseReason reason) {
  return kCloseReasonNames.at(static_cast<std::size_t>(reason));
}

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
      spdlog::warn("accepting a connection failed: {}", error.message());
      co_await Sleep(server.io, kAcceptRetryDelay);
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
    const bool open = !connection.caller_disconnected && !connection.closed;
    co_return open ? BodyRead::kInterrupted : BodyRead::kCallerDisconnected;
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

void InterruptBody(Exchange& exchange) {
  exchange.close_after_response = true;
  exchange.connection->body_interrupted = true;
  Notify(exchange.connection->input_changed);
}

void SuspendBodyRead(Exchange& exchange) {
  ++exchange.connection->suspended_reads;
  Notify(exchange.connection->input_changed);
}

awaitable<bool> Respond(Exchange& exchange,
                        int status,
                        Headers headers,
                        std::string_view body) {
  exchange.response_started = true;
  CloseIfContinuePending(exchange);
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
  CloseIfContinuePending(exchange);
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
  Close(*exchange.connection, CloseReason::kAborted);
}

}  // namespace eelgrassbridge::http
