// HTTP/1.1 client on one event loop: a pool of persistent connections by
// address, functions that send and read messages piece by piece, and complete
// calls with buffered bodies.
#ifndef EELGRASSBRIDGE_HTTP_CLIENT_HPP
#define EELGRASSBRIDGE_HTTP_CLIENT_HPP

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/http/message.hpp"
#include "eelgrassbridge/http/parser.hpp"

namespace eelgrassbridge::http {

struct PoolOptions {
  std::chrono::milliseconds connect_timeout{300};
  /// TCP_USER_TIMEOUT: a connection fails when sent data stays unacknowledged
  /// for this long. After a network partition or a power failure the peer sends
  /// neither FIN nor RST.
  std::chrono::milliseconds unacknowledged_timeout{1000};
  /// Connections that were idle for longer are closed instead of reused.
  std::chrono::milliseconds idle_timeout{8000};
  std::uint32_t max_idle_per_address = 32;
};

/// @brief A connection to a server, used by at most one call at a time.
struct ClientConnection {
  ClientConnection(asio::io_context& io, asio::ip::tcp::endpoint server);

  asio::ip::tcp::endpoint endpoint;
  asio::ip::tcp::socket socket;
  std::string input;
  MessageParser parser{MessageKind::kResponse};
  std::chrono::steady_clock::time_point idle_since{};
  std::chrono::milliseconds idle_limit{};
  /// Set on a connection from the pool: the server may have closed it while it
  /// was idle.
  bool reused = false;
  /// Parts of the current request that have not been written: in progress,
  /// failed, or still to come of a streamed body. While there are any, the end
  /// of the connection completes no response: a write may have taken a reset
  /// from the socket, after which the end looks orderly, and a server that has
  /// not read the request may have failed.
  std::uint32_t unwritten_parts = 0;
  /// Received bytes that may still be read; none before the connection expires.
  std::optional<std::size_t> unread_at_expiry;
  /// Whether the server had ended the connection in order before it expired.
  /// An end that comes later may be the server's answer to the expiry.
  bool ended_at_expiry = false;
  /// Counter of the pool, which outlives its connections; null without one.
  std::uint64_t* sent_bytes = nullptr;
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// @brief A connection in the hands of one call, shared by all that may end the
/// call.
///
/// Invariant: `connection` is null from the moment at which it was given back
/// to its pool, so that none of them can touch it while another call uses it.
struct CallConnection {
  ClientConnectionPtr connection;
};

using CallConnectionPtr = std::shared_ptr<CallConnection>;

/// @brief Idle connections by address.
///
/// Invariant: a connection is pooled only after its request was sent
/// completely and its response was read completely, with no bytes left over.
struct ConnectionPool {
  ConnectionPool(asio::io_context& event_loop, const PoolOptions& pool_options)
      : io(event_loop), options(pool_options) {}

  asio::io_context& io;
  PoolOptions options;
  std::map<asio::ip::tcp::endpoint, std::vector<ClientConnectionPtr>> idle;
  /// Number of connections opened since the start.
  std::uint64_t opened = 0;
  /// Bytes sent to servers since the start.
  std::uint64_t sent_bytes = 0;
};

/// @brief Returns an idle connection from the pool, or opens one. Fails with
/// kPeerUnreachable, in which case nothing was sent.
asio::awaitable<base::Result<CallConnectionPtr>> Acquire(
    ConnectionPool& pool,
    asio::ip::tcp::endpoint endpoint);

/// @brief Returns the connection to the pool after `response`, or closes it if
/// it cannot be reused. Leaves `call` empty.
void Release(ConnectionPool& pool,
             CallConnection& call,
             const ResponseHead& response);

/// @brief Closes the connection of the call; has no effect after Release.
void Close(CallConnection& call);

/// @brief Closes the connection; pending operations on it fail.
void Close(ClientConnection& connection);

/// @brief Ends the call as its timeout does: nothing more is sent, and what has
/// arrived by now can still be read, so that an answer that came in time is not
/// lost. Reads past it fail without a wait. The connection does not return to
/// its pool. Has no effect after Release.
void Expire(CallConnection& call);

/// @brief Sends two buffers, one after the other, as one part of the request.
/// Returns false if the connection failed.
asio::awaitable<bool> Send(ClientConnection& connection,
                           std::string_view first,
                           std::string_view second = {});

/// @brief Reads the head of the next response. `no_body` says that the request
/// was HEAD. 1xx responses are skipped unless `return_interim` is set. Fails
/// with kAnswerCut if the head is incomplete or malformed, or if it follows too
/// many 1xx responses.
asio::awaitable<base::Result<ResponseHead>> ReadResponseHead(
    ClientConnection& connection,
    bool no_body,
    bool return_interim = false);

enum class ResponseRead : std::uint8_t { kMore, kComplete, kTruncated };

/// @brief Reads the next piece of the body and appends it to `parser.body`. A
/// body that the end of the connection delimits is truncated unless that end is
/// orderly and follows the last byte of the request.
asio::awaitable<ResponseRead> ReadResponseBody(ClientConnection& connection);

/// @brief A response whose body was read completely.
struct Response {
  ResponseHead head;
  std::string body;
};

/// @brief State of a call, shared with its starter.
struct CallProgress {
  /// Body bytes of the response received so far.
  std::uint64_t received_bytes = 0;
  /// Closes the connection. Empty while the call has none.
  std::function<void()> close;
  bool cancelled = false;
};

/// @brief Ends the call with an error and closes its connection, so that the
/// server stops sending. A call that has no connection yet sends nothing.
void Cancel(CallProgress& progress);

/// @brief A request whose body is held in memory.
struct BufferedRequest {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  /// Maximum time until the body of the response begins.
  std::chrono::milliseconds timeout{1000};
  /// Maximum time between two pieces of the body: a long response over a slow
  /// link takes longer than any fixed time.
  std::chrono::milliseconds piece_timeout{1000};
  /// Maximum time of the whole call.
  std::chrono::milliseconds total_timeout{30000};
  std::size_t max_response_bytes = std::size_t{4} << 20U;
  /// Null if the starter does not watch the call.
  std::shared_ptr<CallProgress> progress;
};

/// @brief Sends a request and reads the complete response. Fails with
/// kPeerUnreachable if nothing was sent, and with kPeerTimeout or kPeerLost if
/// the server may have executed the request.
asio::awaitable<base::Result<Response>> Call(ConnectionPool& pool,
                                             asio::ip::tcp::endpoint endpoint,
                                             BufferedRequest request);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_CLIENT_HPP
