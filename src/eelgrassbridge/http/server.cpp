// Accepting of connections, and handling of the requests on them.
#include "eelgrassbridge/http/server.hpp"

#include <spdlog/spdlog.h>

#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <system_error>

namespace eelgrassbridge::http {

namespace {

using asio::awaitable;
using asio::ip::tcp;
using detail::AwaitInput;
using detail::Close;
using detail::CloseInStages;
using detail::InputDeadline;
using detail::InputWait;
using detail::ParseInput;
using detail::ReadBodyUntil;
using detail::ReadInput;
using detail::RecordEnd;
using detail::SkipEmptyLines;
using detail::WriteAll;

/// Time limit for reading the rest of a body that the handler did not read.
constexpr std::chrono::milliseconds kDiscardTimeout{1000};
/// Delay after a failed accept, e.g. for lack of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kBadRequest = 400;
constexpr int kInternalError = 500;

/// Raises a counter for as long as it exists, also when an exception is thrown.
struct Counted {
  explicit Counted(std::uint32_t& raised) : counter(raised) { ++this->counter; }
  ~Counted() { --this->counter; }
  Counted(const Counted&) = delete;
  Counted& operator=(const Counted&) = delete;

  std::uint32_t& counter;
};

/// Result of reading a head, and why there is none.
enum class HeadRead : std::uint8_t {
  kHead,
  kDisconnected,
  kIdleTimeout,
  kHeadTimeout,
  kInvalid,
  kTooLarge,
};

/// Starts a wait for input and returns its deadline.
InputDeadline StartWait(ServerConnection& connection,
                        std::chrono::milliseconds timeout) {
  connection.waiting_since = base::BootClock::now();
  return {*connection.waiting_since + timeout, std::nullopt};
}

awaitable<HeadRead> ReadHead(const ServerLimits& limits,
                             ServerConnection& connection) {
  Reset(connection.parser);
  connection.body_interrupted = false;
  InputDeadline idle = StartWait(connection, limits.idle_timeout);
  InputWait wait = InputWait::kInput;
  do {
    wait = co_await AwaitInput(connection, idle);
    if (wait != InputWait::kInput) {
      co_return wait == InputWait::kTimeout ? HeadRead::kIdleTimeout
                                            : HeadRead::kDisconnected;
    }
    SkipEmptyLines(connection);
  } while (connection.input.empty());
  InputDeadline deadline = StartWait(connection, limits.head_timeout);
  while (true) {
    wait = co_await AwaitInput(connection, deadline);
    if (wait != InputWait::kInput) {
      co_return wait == InputWait::kTimeout ? HeadRead::kHeadTimeout
                                            : HeadRead::kDisconnected;
    }
    ParseInput(connection);
    switch (connection.parser.state) {
      case ParseState::kMore:
        continue;
      case ParseState::kHeadTooLarge:
        co_return HeadRead::kTooLarge;
      case ParseState::kInvalid:
        co_return HeadRead::kInvalid;
      case ParseState::kHead:
      case ParseState::kComplete:
        connection.waiting_since.reset();
        co_return connection.end ? HeadRead::kDisconnected : HeadRead::kHead;
    }
  }
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
  ServerConnection& connection = *exchange.connection;
  connection.body_interrupted = false;
  InputDeadline deadline = StartWait(connection, kDiscardTimeout);
  std::string discarded;
  BodyRead read = BodyRead::kMore;
  while (read == BodyRead::kMore) {
    discarded.clear();
    read = co_await ReadBodyUntil(exchange, discarded, deadline);
  }
  if (read != BodyRead::kComplete) {
    exchange.close_after_response = true;
  }
  if (read == BodyRead::kInterrupted) {
    RecordEnd(connection, CloseReason::kBodyTimeout);
  }
  connection.waiting_since.reset();
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

/// What ends a connection on which no request follows.
CloseReason EndOf(HeadRead read) {
  switch (read) {
    case HeadRead::kIdleTimeout:
      return CloseReason::kIdleTimeout;
    case HeadRead::kHeadTimeout:
      return CloseReason::kHeadTimeout;
    case HeadRead::kInvalid:
    case HeadRead::kTooLarge:
      return CloseReason::kInvalidHead;
    case HeadRead::kHead:
    case HeadRead::kDisconnected:
      break;
  }
  return CloseReason::kCallerDisconnected;
}

/// What ends a connection that cannot be used for another request.
CloseReason EndOf(const Exchange& exchange) {
  if (exchange.handler_failed) {
    return CloseReason::kHandlerFailed;
  }
  if (!exchange.response_complete) {
    return CloseReason::kAborted;
  }
  return exchange.close_announced ? CloseReason::kResponseEnd
                                  : CloseReason::kUnannouncedEnd;
}

/// Counts and reports what ended the connection.
void ReportEnd(Server& server,
               ServerConnection& connection,
               const Exchange* exchange) {
  const CloseReason reason = connection.end->reason;
  ++CountOf(server.counts.closed, reason);
  // A failed handler is answered with 500 by the server itself.
  const bool answered = exchange == nullptr || (exchange->response_complete &&
                                                !exchange->handler_failed);
  if (!answered) {
    ++CountOf(server.counts.unanswered, reason);
  }
  if (server.on_connection_end) {
    server.on_connection_end(connection, answered ? nullptr : exchange);
  }
}

/// Closes a connection on which no request follows.
awaitable<void> EndConnection(Server& server,
                              ServerConnection& connection,
                              CloseReason reason,
                              const Exchange* exchange) {
  RecordEnd(connection, reason);
  ReportEnd(server, connection, exchange);
  const bool answer_sent = exchange != nullptr
                               ? exchange->response_complete
                               : reason == CloseReason::kInvalidHead;
  if (answer_sent && !connection.closed && !connection.caller_disconnected) {
    const Counted closing(server.closing_connections);
    co_await CloseInStages(connection, reason);
  } else {
    Close(connection, reason);
  }
}

/// Handles one request. Returns false if the connection cannot be reused.
awaitable<bool> HandleRequest(Server& server, ServerConnectionPtr connection) {
  const HeadRead read = co_await ReadHead(server.limits, *connection);
  if (read == HeadRead::kInvalid || read == HeadRead::kTooLarge) {
    ++server.counts.invalid;
    co_await RejectHead(
        connection, read == HeadRead::kInvalid ? kBadRequest : kHeadTooLarge);
  }
  if (read != HeadRead::kHead) {
    co_await EndConnection(server, *connection, EndOf(read), nullptr);
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
  std::optional<Counted> active(server.active_requests);
  if (exchange.head.length.value_or(0) > exchange.max_body_bytes) {
    co_await Respond(exchange, kContentTooLarge, {}, {});
  } else {
    co_await RunHandler(server, exchange);
  }
  connection->on_caller_disconnected = nullptr;
  if (exchange.response_complete) {
    co_await DiscardBody(exchange);
  }
  active.reset();
  const bool usable = exchange.response_complete &&
                      !exchange.close_after_response &&
                      !connection->caller_disconnected && !connection->closed;
  if (!usable) {
    const CloseReason reason = EndOf(exchange);
    exchange.connection = nullptr;
    co_await EndConnection(server, *connection, reason, &exchange);
  }
  exchange.connection = nullptr;
  co_return usable;
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

awaitable<void> HandleConnection(Server& server,
                                 ServerConnectionPtr connection) {
  const Counted open(server.counts.open);
  asio::co_spawn(server.io, ReadInput(connection),
                 [connection](const std::exception_ptr& failure) {
                   if (failure) {
                     Close(*connection, CloseReason::kHandlerFailed);
                     LogFailure(failure);
                   }
                 });
  bool usable = true;
  try {
    while (usable) {
      usable = co_await HandleRequest(server, connection);
    }
  } catch (...) {
    Close(*connection, CloseReason::kHandlerFailed);
    throw;
  }
}

}  // namespace

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

}  // namespace eelgrassbridge::http
