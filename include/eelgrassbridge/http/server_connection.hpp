// A connection of the server: its input, its timeouts and its end.
#ifndef EELGRASSBRIDGE_HTTP_SERVER_CONNECTION_HPP
#define EELGRASSBRIDGE_HTTP_SERVER_CONNECTION_HPP

#include <array>
#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/http/event.hpp"
#include "eelgrassbridge/http/parser.hpp"

namespace eelgrassbridge::http {

/// @brief What ended a connection.
enum class CloseReason : std::uint8_t {
  /// The caller closed or reset it.
  kCallerDisconnected,
  /// No request within idle_timeout.
  kIdleTimeout,
  /// An incomplete head at head_timeout.
  kHeadTimeout,
  /// The rest of a body that the handler had not read did not arrive in time.
  kBodyTimeout,
  /// A malformed or too large head.
  kInvalidHead,
  /// A complete response that announced the close.
  kResponseEnd,
  /// The handler ended without a complete response.
  kAborted,
  /// The handler threw an exception.
  kHandlerFailed,
};

inline constexpr std::size_t kCloseReasonCount =
    static_cast<std::size_t>(CloseReason::kHandlerFailed) + 1;

/// @brief Name of a reason in metrics and logs, e.g. "idle_timeout".
std::string_view CloseReasonName(CloseReason reason);

/// @brief A counter for each CloseReason.
using CloseCounts = std::array<std::uint64_t, kCloseReasonCount>;

/// @brief The end of a connection, with its state at that time.
struct ConnectionEnd {
  CloseReason reason = CloseReason::kCallerDisconnected;
  /// Time since the connection was accepted.
  base::Duration open_for{};
  /// Time since the running timeout was started; zero if none was running.
  base::Duration timeout_age{};
  /// Received bytes that were not parsed.
  std::size_t unparsed_bytes = 0;
};

/// @brief A connection from a caller, owned by its coroutines.
struct ServerConnection {
  ServerConnection(asio::io_context& io, asio::ip::tcp::socket accepted);

  asio::ip::tcp::socket socket;
  /// Received bytes that aren't parsed yet. Bounded: beyond the bound the
  /// server stops reading, so that TCP flow control slows the caller down.
  std::string input;
  MessageParser parser{MessageKind::kRequest};
  Event input_changed;
  Event input_consumed;
  Alarm timeout;
  base::TimePoint accepted_at = base::BootClock::now();
  /// Start of the running timeout; none if no timeout is running.
  std::optional<base::TimePoint> timeout_started_at;
  /// Requests begun on the connection.
  std::uint64_t requests = 0;
  /// Invariant: set once, by the first event that ends the connection.
  std::optional<ConnectionEnd> end;
  /// The caller has closed or reset the connection.
  bool caller_disconnected = false;
  /// Closed by this side.
  bool closed = false;
  /// Reading of the current request's body is to end; see InterruptBody.
  bool body_interrupted = false;
  /// How often a read of the body was suspended; see SuspendBodyRead.
  std::uint64_t suspended_reads = 0;
  /// Called at most once, when the caller disconnects during a request.
  std::function<void()> on_caller_disconnected;
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

namespace detail {

/// @brief Records what ends the connection; only the first call has an effect.
void RecordEnd(ServerConnection& connection, CloseReason reason);

/// @brief Closes the connection; only the first call has an effect.
void Close(ServerConnection& connection, CloseReason reason);

/// @brief Reads from the socket until it fails, also while a request is
/// handled, so that a disconnect of the caller is detected immediately.
asio::awaitable<void> ReadInput(ServerConnectionPtr connection);

/// @brief Parses the received bytes up to the parser's next pause, and waits
/// for more if there are none. Returns false if the connection is closed or
/// reading is interrupted or suspended.
asio::awaitable<bool> ParseMore(ServerConnection& connection);

/// @brief Starts the timeout of the connection, which closes it.
void CloseAfter(ServerConnection& connection,
                std::chrono::milliseconds time,
                CloseReason reason,
                std::weak_ptr<ServerConnection> owner);

void StopTimeout(ServerConnection& connection);

/// @brief Writes both buffers. Returns false if the connection failed.
asio::awaitable<bool> WriteAll(ServerConnection& connection,
                               std::array<asio::const_buffer, 2> buffers);

}  // namespace detail

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_SERVER_CONNECTION_HPP
