// HTTP/1.1 server on one event loop. Pipelined requests are handled in order,
// and bodies are streamed in both directions with back-pressure.
#ifndef EELGRASSBRIDGE_HTTP_SERVER_HPP
#define EELGRASSBRIDGE_HTTP_SERVER_HPP

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

#include "eelgrassbridge/http/message.hpp"
#include "eelgrassbridge/http/server_connection.hpp"

namespace eelgrassbridge::http {

/// @brief Limits of a server; they may be changed while it runs.
struct ServerLimits {
  std::uint64_t max_body_bytes = 64ULL << 20U;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
  /// Connections beyond this are closed at once, which bounds the number of
  /// file descriptors.
  std::uint32_t max_connections = 1500;
};

/// @brief Counters of a server since its start; `open` is a current value.
struct ServerCounts {
  std::uint64_t accepted = 0;
  /// Connections closed because of max_connections.
  std::uint64_t refused = 0;
  /// Malformed or too large request heads.
  std::uint64_t invalid = 0;
  /// Ended connections, and requests without a complete response, by what ended
  /// the connection.
  CloseCounts closed{};
  CloseCounts unanswered{};
  /// Received bytes of request bodies, without chunk framing.
  std::uint64_t body_bytes = 0;
  /// Sent bytes of responses, with their heads.
  std::uint64_t sent_bytes = 0;
  /// Connections open now.
  std::uint32_t open = 0;
};

/// @brief One request and the response to it, owned by its handler and by all
/// that read its body.
///
/// Invariant: a response is started at most once. If it cannot be finished, the
/// connection is closed, so that a truncated response never looks complete.
struct Exchange : std::enable_shared_from_this<Exchange> {
  /// Null once the request has ended: whatever still refers to the exchange
  /// then has no effect on later requests of the connection.
  ServerConnectionPtr connection;
  /// Counters of the server, which outlives its exchanges.
  ServerCounts* counts = nullptr;
  RequestHead head;
  std::uint64_t max_body_bytes = 0;
  std::uint64_t body_received = 0;
  bool body_complete = false;
  /// Whether the caller waits for "100 Continue" before it sends the body.
  bool continue_expected = false;
  bool response_started = false;
  bool response_complete = false;
  bool response_chunked = false;
  bool close_after_response = false;
  /// The head of the response announced the close.
  bool close_announced = false;
  /// The handler threw an exception.
  bool handler_failed = false;
};

using Handler = std::function<asio::awaitable<void>(Exchange&)>;

/// @brief Called when a connection has ended. `unanswered` is the request
/// without a complete response, or null.
using EndObserver = std::function<void(const ServerConnection& connection,
                                       const Exchange* unanswered)>;

struct Server {
  explicit Server(asio::io_context& event_loop) : io(event_loop) {}

  asio::io_context& io;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
  Handler handler;
  /// Empty if nobody observes the ends of connections.
  EndObserver on_connection_end;
  ServerLimits limits;
  ServerCounts counts;
  /// While set, connections are closed after the response to a new request.
  bool draining = false;
  std::uint32_t active_requests = 0;
  /// Connections whose last answer may still be on its way.
  std::uint32_t closing_connections = 0;
};

/// @brief Binds the address and listens. Throws std::system_error on failure.
void Listen(Server& server, const asio::ip::tcp::endpoint& endpoint);

/// @brief Accepts connections until the acceptor is closed.
asio::awaitable<void> Serve(Server& server);

/// @brief Result of reading a piece of a request body.
enum class BodyRead : std::uint8_t {
  kMore,
  kComplete,
  kTooLarge,
  kCallerDisconnected,
  kInterrupted,
  kInvalid,
};

/// @brief Appends the next piece of the body to `body`.
asio::awaitable<BodyRead> ReadBody(Exchange& exchange, std::string& body);

namespace detail {

/// @brief Reads like ReadBody, and ends with kInterrupted at the deadline.
asio::awaitable<BodyRead> ReadBodyUntil(Exchange& exchange,
                                        std::string& body,
                                        InputDeadline& deadline);

}  // namespace detail

/// @brief Ends reading of the body, now and later, with kInterrupted. The
/// response can still be sent; the connection is closed after it.
void InterruptBody(Exchange& exchange);

/// @brief Ends a ReadBody that waits for the caller with kInterrupted. Nothing
/// is lost: the next ReadBody continues at the same byte.
void SuspendBodyRead(Exchange& exchange);

/// @brief Sets what is called, at most once, when the caller disconnects before
/// the request ends. It is called at once if the caller has disconnected.
void SetDisconnectCallback(Exchange& exchange, std::function<void()> callback);

/// @brief Sends a complete response. Returns false if the connection failed.
asio::awaitable<bool> Respond(Exchange& exchange,
                              int status,
                              Headers headers,
                              std::string_view body);

/// @brief Sends the head of a response; the body follows by WriteBody and ends
/// with FinishResponse. Without `length` the body is chunked. These functions
/// return false if the connection failed.
asio::awaitable<bool> StartResponse(Exchange& exchange,
                                    int status,
                                    Headers headers,
                                    std::optional<std::uint64_t> length);
asio::awaitable<bool> WriteBody(Exchange& exchange, std::string_view data);
asio::awaitable<bool> FinishResponse(Exchange& exchange);

/// @brief Closes the connection without finishing the response.
void Abort(Exchange& exchange);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_SERVER_HPP
