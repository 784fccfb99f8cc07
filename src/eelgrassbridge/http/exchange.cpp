// Reading of a request's body and writing of its response.
#include <array>
#include <asio/buffer.hpp>
#include <utility>

#include "eelgrassbridge/http/server.hpp"

namespace eelgrassbridge::http {

namespace {

using asio::awaitable;
using detail::Close;

/// A caller that gets a final response instead of "100 Continue" may send the
/// body or omit it, so the connection cannot be used for another request.
void CloseIfContinuePending(Exchange& exchange) {
  exchange.close_after_response =
      exchange.close_after_response || exchange.continue_expected;
}

/// Writes to the connection of the exchange. Returns false if it has failed, or
/// if the exchange has ended.
awaitable<bool> Write(Exchange& exchange,
                      std::array<asio::const_buffer, 2> buffers) {
  const ServerConnectionPtr connection = exchange.connection;
  if (!connection) {
    co_return false;
  }
  const bool sent = co_await detail::WriteAll(*connection, buffers);
  if (sent) {
    exchange.counts->sent_bytes += asio::buffer_size(buffers);
  }
  co_return sent;
}

}  // namespace

awaitable<BodyRead> ReadBody(Exchange& exchange, std::string& body) {
  detail::InputDeadline no_deadline;
  co_return co_await detail::ReadBodyUntil(exchange, body, no_deadline);
}

awaitable<BodyRead> detail::ReadBodyUntil(Exchange& exchange,
                                          std::string& body,
                                          InputDeadline& deadline) {
  const ServerConnectionPtr owned = exchange.connection;
  if (exchange.body_complete) {
    co_return BodyRead::kComplete;
  }
  if (!owned) {
    co_return BodyRead::kCallerDisconnected;
  }
  ServerConnection& connection = *owned;
  if (exchange.continue_expected) {
    exchange.continue_expected = false;
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    co_await Write(exchange, {asio::buffer(kContinue), asio::const_buffer{}});
  }
  const InputWait wait = co_await AwaitInput(connection, deadline);
  if (wait != InputWait::kInput) {
    const bool open = !connection.caller_disconnected && !connection.closed;
    co_return open ? BodyRead::kInterrupted : BodyRead::kCallerDisconnected;
  }
  ParseInput(connection);
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
  if (!exchange.connection) {
    return;
  }
  exchange.close_after_response = true;
  exchange.connection->body_interrupted = true;
  Notify(exchange.connection->input_changed);
}

void SuspendBodyRead(Exchange& exchange) {
  if (!exchange.connection) {
    return;
  }
  ++exchange.connection->suspended_reads;
  Notify(exchange.connection->input_changed);
}

void SetDisconnectCallback(Exchange& exchange, std::function<void()> callback) {
  if (!exchange.connection) {
    return;
  }
  if (exchange.connection->caller_disconnected && callback) {
    callback();
    return;
  }
  exchange.connection->on_caller_disconnected = std::move(callback);
}

awaitable<bool> Respond(Exchange& exchange,
                        int status,
                        Headers headers,
                        std::string_view body) {
  exchange.response_started = true;
  CloseIfContinuePending(exchange);
  exchange.close_announced = exchange.close_after_response;
  const std::string head =
      FormatResponseHead(status, headers, {Framing::Kind::kLength, body.size()},
                         !exchange.close_after_response);
  const bool sent =
      co_await Write(exchange, {asio::buffer(head), asio::buffer(body)});
  exchange.response_complete = sent;
  co_return sent;
}

awaitable<bool> StartResponse(Exchange& exchange,
                              int status,
                              Headers headers,
                              std::optional<std::uint64_t> length) {
  exchange.response_started = true;
  CloseIfContinuePending(exchange);
  exchange.close_announced = exchange.close_after_response;
  exchange.response_chunked = !length;
  const Framing framing = length ? Framing{Framing::Kind::kLength, *length}
                                 : Framing{Framing::Kind::kChunked, 0};
  const std::string head = FormatResponseHead(status, headers, framing,
                                              !exchange.close_after_response);
  co_return co_await Write(exchange,
                           {asio::buffer(head), asio::const_buffer{}});
}

awaitable<bool> WriteBody(Exchange& exchange, std::string_view data) {
  if (data.empty()) {
    co_return true;
  }
  if (!exchange.response_chunked) {
    co_return co_await Write(exchange,
                             {asio::buffer(data), asio::const_buffer{}});
  }
  const std::string chunk = FormatChunk(data);
  co_return co_await Write(exchange,
                           {asio::buffer(chunk), asio::const_buffer{}});
}

awaitable<bool> FinishResponse(Exchange& exchange) {
  bool sent = true;
  if (exchange.response_chunked) {
    const std::string last = FormatChunk({});
    sent = co_await Write(exchange, {asio::buffer(last), asio::const_buffer{}});
  }
  exchange.response_complete = sent;
  co_return sent;
}

void Abort(Exchange& exchange) {
  exchange.close_after_response = true;
  if (exchange.connection) {
    Close(*exchange.connection, CloseReason::kAborted);
  }
}

}  // namespace eelgrassbridge::http
