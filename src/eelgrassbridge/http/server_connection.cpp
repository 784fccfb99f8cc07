// Reading of input, timeouts, and the end of a connection.
#include "eelgrassbridge/http/server_connection.hpp"

#include <sys/socket.h>

#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <system_error>

namespace eelgrassbridge::http {

namespace {

using asio::awaitable;
using asio::ip::tcp;

/// Unparsed bytes buffered for one connection before the server stops reading
/// from it.
constexpr std::size_t kMaxInputBytes = std::size_t{64} * 1024;
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
/// Limits of reading from a connection whose last answer has been sent.
constexpr base::Duration kDrainTime = base::seconds{1};
constexpr std::size_t kMaxDrainedBytes = std::size_t{1} << 20U;
/// Time for reading input that had arrived when its deadline passed.
constexpr base::Duration kReadTime = base::milliseconds{500};

constexpr std::array<std::string_view, kCloseReasonCount> kCloseReasonNames = {
    "caller_left",     "idle_timeout", "head_timeout",
    "body_timeout",    "invalid_head", "response_end",
    "unannounced_end", "answer_cut",   "handler_failed"};

void HandleDisconnect(ServerConnection& connection, std::error_code error) {
  detail::RecordEnd(connection, CloseReason::kCallerDisconnected, error);
  connection.caller_disconnected = true;
  Notify(connection.input_changed);
  if (connection.on_caller_disconnected) {
    const auto callback = std::move(connection.on_caller_disconnected);
    connection.on_caller_disconnected = nullptr;
    callback();
  }
}

/// Whether the next read of the socket returns at once, with input or with the
/// end of the connection.
bool HasUnreadInput(ServerConnection& connection) {
  char byte = 0;
  const auto size = ::recv(connection.socket.native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Whether the input counts for the deadline.
bool IsInTime(detail::InputDeadline& deadline) {
  const base::TimePoint now = base::BootClock::now();
  if (!deadline.at || now < *deadline.at) {
    return true;
  }
  if (!deadline.read_until) {
    deadline.read_until = now + kReadTime;
  }
  return now < *deadline.read_until;
}

}  // namespace

std::string_view CloseReasonName(CloseReason reason) {
  return kCloseReasonNames.at(static_cast<std::size_t>(reason));
}

ServerConnection::ServerConnection(asio::io_context& io, tcp::socket accepted)
    : socket(std::move(accepted)), input_changed(io), input_consumed(io) {}

namespace detail {

void RecordEnd(ServerConnection& connection,
               CloseReason reason,
               std::error_code error) {
  if (connection.end) {
    return;
  }
  const base::TimePoint now = base::BootClock::now();
  ConnectionEnd& end = connection.end.emplace();
  end.reason = reason;
  end.open_for = now - connection.accepted_at;
  end.waited_for = now - connection.waiting_since.value_or(now);
  end.unparsed_bytes = connection.input.size();
  end.error = error;
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
      if (!connection->closed) {
        HandleDisconnect(*connection, error);
      }
      co_return;
    }
    connection->input.append(buffer.data(), size);
    Notify(connection->input_changed);
  }
}

awaitable<InputWait> AwaitInput(ServerConnection& connection,
                                InputDeadline& deadline) {
  const std::uint64_t suspended_before = connection.suspended_reads;
  bool completed_reads_seen = false;
  while (connection.input.empty()) {
    if (connection.caller_disconnected || connection.closed ||
        connection.body_interrupted ||
        connection.suspended_reads != suspended_before) {
      co_return InputWait::kStopped;
    }
    const bool expired = deadline.at && base::BootClock::now() >= *deadline.at;
    if (expired && !completed_reads_seen) {
      // The loop runs handlers in order, so a read that has already completed
      // is seen before this returns.
      completed_reads_seen = true;
      co_await asio::post(connection.socket.get_executor(),
                          asio::use_awaitable);
      continue;
    }
    if (expired && !HasUnreadInput(connection)) {
      co_return InputWait::kTimeout;
    }
    if (deadline.at && !expired) {
      co_await WaitUntil(connection.input_changed, *deadline.at);
    } else {
      co_await Wait(connection.input_changed);
    }
  }
  co_return IsInTime(deadline) ? InputWait::kInput : InputWait::kTimeout;
}

awaitable<void> CloseInStages(ServerConnection& connection,
                              CloseReason reason) {
  RecordEnd(connection, reason);
  std::error_code ignored;
  connection.socket.shutdown(tcp::socket::shutdown_send, ignored);
  connection.body_interrupted = false;
  InputDeadline deadline{base::BootClock::now() + kDrainTime, std::nullopt};
  std::size_t drained = 0;
  while (drained < kMaxDrainedBytes &&
         co_await AwaitInput(connection, deadline) == InputWait::kInput) {
    drained += connection.input.size();
    connection.input.clear();
    Notify(connection.input_consumed);
  }
  Close(connection, reason);
}

void SkipEmptyLines(ServerConnection& connection) {
  const std::size_t end = connection.input.find_first_not_of("\r\n");
  connection.input.erase(0, end);
  Notify(connection.input_consumed);
}

void ParseInput(ServerConnection& connection) {
  const std::size_t consumed = Parse(connection.parser, connection.input);
  connection.input.erase(0, consumed);
  Notify(connection.input_consumed);
}

awaitable<bool> WriteAll(ServerConnection& connection,
                         std::array<asio::const_buffer, 2> buffers) {
  if (connection.closed) {
    co_return false;
  }
  std::error_code error;
  co_await asio::async_write(connection.socket, buffers,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error && !connection.closed) {
    RecordEnd(connection, CloseReason::kCallerDisconnected, error);
  }
  co_return !error;
}

}  // namespace detail

}  // namespace eelgrassbridge::http
