// A connection of the server: its input, its timeouts and its end.
//
// Only the coroutine that handles the connection ends it. Timeouts and the
// caller's disconnect wake that coroutine, which looks at all that has happened
// by then: a timer that closed the connection itself would not know of input
// that has arrived and is still to be parsed.
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
#include <system_error>

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
  /// A complete response that had announced that the connection stays.
  kUnannouncedEnd,
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
  /// Time since the server began to wait for input; zero if it did not.
  base::Duration waited_for{};
  /// Received bytes that were not parsed.
  std::size_t unparsed_bytes = 0;
  /// Error of the socket; end of file if the caller closed its side.
  std::error_code error;
};

/// @brief A connection from a caller, owned by its coroutines.
///
/// Invariant: no request begins once `end` is set.
struct ServerConnection {
  ServerConnection(asio::io_context& io, asio::ip::tcp::socket accepted);

  asio::ip::tcp::socket socket;
  /// Received bytes that aren't parsed yet. Bounded: beyond the bound the
  /// server stops reading, so that TCP flow control slows the caller down.
  std::string input;
  MessageParser parser{MessageKind::kRequest};
  Event input_changed;
  Event input_consumed;
  base::TimePoint accepted_at = base::BootClock::now();
  /// Start of the wait for input that a timeout limits; none outside it.
  std::optional<base::TimePoint> waiting_since;
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
  /// Called at most once, when the caller disconnects during a request; see
  /// SetDisconnectCallback.
  std::function<void()> on_caller_disconnected;
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

namespace detail {

/// @brief Records what ends the connection; only the first call has an effect.
void RecordEnd(ServerConnection& connection,
               CloseReason reason,
               std::error_code error = {});

/// @brief Closes the connection; only the first call has an effect.
void Close(ServerConnection& connection, CloseReason reason);

/// @brief Ends the sending side, and closes the connection once the caller has
/// closed its side too, or after a limit of time and bytes. Data that arrives
/// at a closed socket resets the connection, upon which the caller loses what
/// it has not received of an answer.
asio::awaitable<void> CloseInStages(ServerConnection& connection,
                                    CloseReason reason);

/// @brief Reads from the socket until it fails, also while a request is
/// handled, so that a disconnect of the caller is detected immediately.
asio::awaitable<void> ReadInput(ServerConnectionPtr connection);

enum class InputWait : std::uint8_t {
  kInput,
  /// Nothing had arrived at the deadline.
  kTimeout,
  /// The connection is closed, or reading of the body is interrupted or
  /// suspended.
  kStopped,
};

/// @brief Deadline of a wait for input. Input that had arrived by then counts
/// even if it is read later, e.g. because the loop was busy.
struct InputDeadline {
  /// None if the wait has no deadline.
  std::optional<base::TimePoint> at;
  /// End of the time in which input that had arrived is read; set after the
  /// deadline. Without it, single bytes could extend the wait for ever.
  std::optional<base::TimePoint> read_until;
};

/// @brief Waits until there is unparsed input.
asio::awaitable<InputWait> AwaitInput(ServerConnection& connection,
                                      InputDeadline& deadline);

/// @brief Removes empty lines before a request. Some callers send one after a
/// body; it must not start the timeout of a head.
void SkipEmptyLines(ServerConnection& connection);

/// @brief Parses the received bytes up to the parser's next pause.
void ParseInput(ServerConnection& connection);

/// @brief Writes both buffers. Returns false if the connection failed.
asio::awaitable<bool> WriteAll(ServerConnection& connection,
                               std::array<asio::const_buffer, 2> buffers);

}  // namespace detail

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_SERVER_CONNECTION_HPP
