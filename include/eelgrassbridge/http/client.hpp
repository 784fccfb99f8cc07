// HTTP/1.1 client on one event loop: kept connections by address, and calls
// whose caller decides how the body is sent and the response read.
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
  /// Sent bytes that stay unacknowledged for this long end the connection; a
  /// cut or a machine without power answers nothing at all.
  std::chrono::milliseconds unacknowledged_timeout{1000};
  /// Kept connections that are idle for longer are not used again.
  std::chrono::milliseconds idle_timeout{8000};
  std::uint32_t max_idle_per_address = 32;
};

/// @brief A connection to a server. Used by one call at a time.
struct ClientConnection {
  ClientConnection(asio::io_context& io, asio::ip::tcp::endpoint server);

  asio::ip::tcp::endpoint endpoint;
  asio::ip::tcp::socket socket;
  std::string input;
  MessageParser parser{MessageKind::kResponse};
  std::chrono::steady_clock::time_point idle_since{};
  std::chrono::milliseconds idle_limit{};
  /// It has carried a call before, so its server may have closed it meanwhile.
  bool reused = false;
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// @brief Kept connections by address.
///
/// Invariant: a connection is kept only after a whole response, with no byte
/// left over and no part of a request unsent.
struct ConnectionPool {
  ConnectionPool(asio::io_context& event_loop, const PoolOptions& pool_options)
      : io(event_loop), options(pool_options) {}

  asio::io_context& io;
  PoolOptions options;
  std::map<asio::ip::tcp::endpoint, std::vector<ClientConnectionPtr>> idle;
  std::uint64_t opened = 0;
};

/// @brief "10.0.0.1:80" as an endpoint; none for anything else.
std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

/// @brief A kept connection, or a new one. Fails with kPeerUnreachable, which
/// proves that no byte was sent.
asio::awaitable<base::Result<ClientConnectionPtr>> Acquire(
    ConnectionPool& pool,
    asio::ip::tcp::endpoint endpoint);

/// @brief Keeps the connection for a later call, if it may be used again.
void Release(ConnectionPool& pool,
             const ClientConnectionPtr& connection,
             const ResponseHead& response);

/// @brief Ends the connection; calls that wait on it fail.
void Close(ClientConnection& connection);

/// @brief Sends bytes. False: the connection has failed.
asio::awaitable<bool> Send(ClientConnection& connection,
                           std::string_view first,
                           std::string_view second = {});

/// @brief Reads the head of the next response; 1xx responses are skipped
/// unless `return_interim` is set. Fails with kAnswerCut.
asio::awaitable<base::Result<ResponseHead>> ReadResponseHead(
    ClientConnection& connection,
    bool no_body,
    bool return_interim = false);

enum class ResponseRead : std::uint8_t { kMore, kComplete, kTruncated };

/// @brief Reads the next piece of the body into `parser.body`.
asio::awaitable<ResponseRead> ReadResponseBody(ClientConnection& connection);

/// @brief A whole response.
struct Response {
  ResponseHead head;
  std::string body;
};

/// @brief A request with a short body.
struct BufferedRequest {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::chrono::milliseconds timeout{1000};
  std::size_t max_response_bytes = std::size_t{4} << 20U;
};

/// @brief Makes a call and reads the whole response. Failures: kPeerUnreachable
/// (not sent), kPeerTimeout and kPeerLost (may have been done).
asio::awaitable<base::Result<Response>> Call(ConnectionPool& pool,
                                             asio::ip::tcp::endpoint endpoint,
                                             BufferedRequest request);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_CLIENT_HPP
