// Sending of requests and reading of responses.
#include "eelgrassbridge/http/client.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <span>
#include <system_error>

#include "eelgrassbridge/http/event.hpp"

namespace eelgrassbridge::http {

namespace {

using asio::awaitable;
using asio::ip::tcp;
using base::ErrorKind;

constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
constexpr int kFirstFinalStatus = 200;
/// Interim responses read before a final one. A server that sends more does not
/// answer the request.
constexpr int kMaxInterimResponses = 16;

/// Reads from an expired connection without a wait.
std::size_t ReadArrived(ClientConnection& connection,
                        std::span<char> buffer,
                        std::error_code& error) {
  std::size_t& left = *connection.unread_at_expiry;
  // The end of the connection may follow the last of these bytes.
  const int flags = left == 0 ? MSG_DONTWAIT | MSG_PEEK : MSG_DONTWAIT;
  const std::size_t limit = std::clamp<std::size_t>(left, 1, buffer.size());
  const auto size =
      ::recv(connection.socket.native_handle(), buffer.data(), limit, flags);
  error.clear();
  if (size == 0 && connection.ended_at_expiry) {
    error = asio::error::eof;
  } else if (size <= 0 || left == 0) {
    error = asio::error::timed_out;
  }
  if (error) {
    return 0;
  }
  const auto read = static_cast<std::size_t>(size);
  left -= read;
  return read;
}

/// Whether the server has ended its side of the connection in order, also if
/// there are bytes before that end that were not read.
bool HasOrderlyEnd(ClientConnection& connection) {
  pollfd state{connection.socket.native_handle(), POLLRDHUP, 0};
  const auto events = ::poll(&state, 1, 0) > 0 ? state.revents : 0;
  return (events & POLLRDHUP) != 0 && (events & POLLERR) == 0;
}

awaitable<std::size_t> ReadSome(ClientConnection& connection,
                                std::span<char> buffer,
                                std::error_code& error) {
  std::size_t size = 0;
  if (!connection.unread_at_expiry) {
    size = co_await connection.socket.async_read_some(
        asio::buffer(buffer.data(), buffer.size()),
        asio::redirect_error(asio::use_awaitable, error));
  }
  // A read that was interrupted has taken nothing from the socket.
  if (connection.unread_at_expiry && size == 0 && error != asio::error::eof) {
    size = ReadArrived(connection, buffer, error);
  }
  co_return size;
}

/// Parses up to the parser's next pause; reads from the socket if all input has
/// been parsed. Returns false if the connection ended within the message or the
/// message is invalid.
awaitable<bool> ParseMore(ClientConnection& connection) {
  if (connection.input.empty()) {
    std::array<char, kReadBufferBytes> buffer;
    std::error_code error;
    const std::size_t size = co_await ReadSome(connection, buffer, error);
    if (error == asio::error::eof && connection.unwritten_parts == 0) {
      ParseEnd(connection.parser);
      if (connection.parser.state == ParseState::kComplete) {
        co_return true;
      }
    }
    if (error) {
      // Another read would wait for an event that Asio has already consumed.
      Close(connection);
      co_return false;
    }
    connection.input.assign(buffer.data(), size);
  }
  const std::size_t consumed = Parse(connection.parser, connection.input);
  connection.input.erase(0, consumed);
  co_return connection.parser.state !=
      ParseState::kInvalid&& connection.parser.state !=
      ParseState::kHeadTooLarge;
}

/// Ends a call that has no complete response in time.
struct CallTimeouts {
  CallTimeouts(asio::io_context& io, CallConnectionPtr timed_call)
      : call(std::move(timed_call)), stalled(io), too_long(io) {}

  CallConnectionPtr call;
  /// Time until the next piece of the response.
  Alarm stalled;
  /// Time until the whole response.
  Alarm too_long;
  bool expired = false;
};

void ExpireCall(CallTimeouts& timeouts) {
  timeouts.expired = true;
  Expire(*timeouts.call);
}

void StartTimeouts(CallTimeouts& timeouts, const BufferedRequest& request) {
  Arm(timeouts.stalled, request.timeout, [&timeouts] { ExpireCall(timeouts); });
  Arm(timeouts.too_long, std::max(request.timeout, request.total_timeout),
      [&timeouts] { ExpireCall(timeouts); });
}

void EndTimeouts(CallTimeouts& timeouts) {
  Disarm(timeouts.stalled);
  Disarm(timeouts.too_long);
}

awaitable<base::Result<Response>> SendAndReceive(
    ClientConnection& connection,
    const BufferedRequest& request,
    const std::function<void()>& on_piece) {
  const std::string head =
      FormatRequestHead(request.method, request.target, request.headers,
                        {Framing::Kind::kLength, request.body.size()});
  const bool sent = co_await Send(connection, head, request.body);
  if (!sent) {
    co_return base::Fail(ErrorKind::kPeerLost,
                         "the connection failed while the request was sent");
  }
  auto read_head = co_await ReadResponseHead(connection, false);
  if (!read_head) {
    co_return base::Fail(ErrorKind::kPeerLost, read_head.error().detail);
  }
  Response response;
  response.head = std::move(read_head.value());
  ResponseRead read = ResponseRead::kMore;
  while (read == ResponseRead::kMore) {
    read = co_await ReadResponseBody(connection);
    on_piece();
    response.body += connection.parser.body;
    if (request.progress) {
      request.progress->received_bytes = response.body.size();
    }
    connection.parser.body.clear();
    if (response.body.size() > request.max_response_bytes) {
      co_return base::Fail(ErrorKind::kPeerLost, "the response is too large");
    }
  }
  if (read == ResponseRead::kTruncated) {
    co_return base::Fail(ErrorKind::kPeerLost, "the response was truncated");
  }
  co_return response;
}

}  // namespace

void Close(ClientConnection& connection) {
  std::error_code ignored;
  connection.socket.close(ignored);
}

void Close(CallConnection& call) {
  if (call.connection) {
    Close(*call.connection);
  }
}

void Expire(CallConnection& call) {
  if (!call.connection || call.connection->unread_at_expiry) {
    return;
  }
  ClientConnection& connection = *call.connection;
  std::error_code ignored;
  connection.unread_at_expiry = connection.socket.available(ignored);
  connection.ended_at_expiry = HasOrderlyEnd(connection);
  // A write that continues after this fails instead of waiting for its peer.
  connection.socket.shutdown(tcp::socket::shutdown_send, ignored);
  connection.socket.cancel(ignored);
}

awaitable<bool> Send(ClientConnection& connection,
                     std::string_view first,
                     std::string_view second) {
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(first),
                                                     asio::buffer(second)};
  std::error_code error;
  ++connection.unwritten_parts;
  const std::size_t size = co_await asio::async_write(
      connection.socket, buffers,
      asio::redirect_error(asio::use_awaitable, error));
  if (connection.sent_bytes != nullptr) {
    *connection.sent_bytes += size;
  }
  if (!error) {
    --connection.unwritten_parts;
  }
  co_return !error;
}

awaitable<base::Result<ResponseHead>> ReadResponseHead(
    ClientConnection& connection,
    bool no_body,
    bool return_interim) {
  for (int interim_responses = 0; interim_responses <= kMaxInterimResponses;
       ++interim_responses) {
    Reset(connection.parser);
    connection.parser.no_body = no_body;
    while (!connection.parser.head_done) {
      const bool parsed = co_await ParseMore(connection);
      if (!parsed) {
        co_return base::Fail(ErrorKind::kAnswerCut,
                             "the response head is incomplete or malformed");
      }
    }
    const bool interim = connection.parser.raw.status_code < kFirstFinalStatus;
    if (!interim) {
      co_return TakeResponseHead(connection.parser);
    }
    while (connection.parser.state != ParseState::kComplete) {
      const bool parsed = co_await ParseMore(connection);
      if (!parsed) {
        co_return base::Fail(ErrorKind::kAnswerCut,
                             "an interim response was truncated");
      }
    }
    if (return_interim) {
      co_return TakeResponseHead(connection.parser);
    }
  }
  co_return base::Fail(ErrorKind::kAnswerCut, "too many interim responses");
}

awaitable<ResponseRead> ReadResponseBody(ClientConnection& connection) {
  if (connection.parser.state == ParseState::kComplete) {
    co_return ResponseRead::kComplete;
  }
  const bool parsed = co_await ParseMore(connection);
  if (!parsed) {
    co_return ResponseRead::kTruncated;
  }
  co_return connection.parser.state == ParseState::kComplete
      ? ResponseRead::kComplete
      : ResponseRead::kMore;
}

void Cancel(CallProgress& progress) {
  progress.cancelled = true;
  if (progress.close) {
    progress.close();
  }
}

awaitable<base::Result<Response>> Call(ConnectionPool& pool,
                                       tcp::endpoint endpoint,
                                       BufferedRequest request) {
  auto acquired = co_await Acquire(pool, endpoint);
  if (!acquired) {
    co_return base::Fail(acquired.error().kind, acquired.error().detail);
  }
  const CallConnectionPtr call = std::move(acquired.value());
  if (request.progress && request.progress->cancelled) {
    Close(*call);
    co_return base::Fail(ErrorKind::kCancelled,
                         "cancelled while the connection was opened");
  }
  CallTimeouts timeouts(pool.io, call);
  StartTimeouts(timeouts, request);
  if (request.progress) {
    request.progress->close = [call] { Close(*call); };
  }
  const std::function<void()> restart = [&timeouts, &request] {
    Arm(timeouts.stalled, request.piece_timeout,
        [&timeouts] { ExpireCall(timeouts); });
  };
  auto response = co_await SendAndReceive(*call->connection, request, restart);
  EndTimeouts(timeouts);
  if (request.progress) {
    request.progress->close = nullptr;
  }
  if (!response) {
    Close(*call);
    if (timeouts.expired) {
      co_return base::Fail(ErrorKind::kPeerTimeout,
                           "no complete response before the timeout");
    }
    co_return response;
  }
  Release(pool, *call, response.value().head);
  co_return response;
}

}  // namespace eelgrassbridge::http
