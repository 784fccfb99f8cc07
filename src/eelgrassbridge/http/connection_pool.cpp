// Opening, pooling and closing of client connections.
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <system_error>

#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/event.hpp"

namespace eelgrassbridge::http {

namespace {

using asio::awaitable;
using asio::ip::tcp;
using base::ErrorKind;

/// TCP keep-alive detects a server that became unreachable while a call waits
/// for its response, when there is no unacknowledged data.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
/// Idle connections are dropped this long before the timeout that the server
/// announced, so that a request doesn't race with the server's close.
constexpr std::chrono::milliseconds kIdleMargin{1000};

void SetOption(tcp::socket& socket, int level, int name, int value) {
  // Failure is ignored: it only delays the detection of an unreachable server.
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void SetSocketOptions(tcp::socket& socket, const PoolOptions& options) {
  std::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(options.unacknowledged_timeout.count()));
}

/// Whether the server has accepted the connection; the event loop may not know
/// of it yet.
bool IsConnected(ClientConnection& connection) {
  std::error_code error;
  connection.socket.remote_endpoint(error);
  return !error;
}

/// Whether a connection without a request is open and has no unread data.
bool IsUsable(ClientConnection& connection) {
  char byte = 0;
  const auto size = ::recv(connection.socket.native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ClientConnectionPtr TakeIdle(ConnectionPool& pool,
                             const tcp::endpoint& endpoint) {
  const auto found = pool.idle.find(endpoint);
  if (found == pool.idle.end()) {
    return nullptr;
  }
  const auto now = std::chrono::steady_clock::now();
  auto& connections = found->second;
  while (!connections.empty()) {
    ClientConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    if (now - connection->idle_since < connection->idle_limit &&
        IsUsable(*connection)) {
      connection->reused = true;
      Reset(connection->parser);
      return connection;
    }
    Close(*connection);
  }
  return nullptr;
}

/// Closes the connections of an address that were idle for too long; the oldest
/// come first.
void CloseExpired(std::vector<ClientConnectionPtr>& connections) {
  const auto now = std::chrono::steady_clock::now();
  const auto usable = std::ranges::find_if(
      connections, [now](const ClientConnectionPtr& connection) {
        return now - connection->idle_since < connection->idle_limit;
      });
  std::for_each(
      connections.begin(), usable,
      [](const ClientConnectionPtr& connection) { Close(*connection); });
  connections.erase(connections.begin(), usable);
}

/// Does so for the address after the given one, whose server may be called no
/// more.
void CloseExpiredAfter(ConnectionPool& pool, const tcp::endpoint& endpoint) {
  auto next = pool.idle.upper_bound(endpoint);
  if (next == pool.idle.end()) {
    next = pool.idle.begin();
  }
  if (next == pool.idle.end()) {
    return;
  }
  CloseExpired(next->second);
  if (next->second.empty()) {
    pool.idle.erase(next);
  }
}

/// Returns the idle timeout that a server announces in "Keep-Alive: timeout=S".
std::optional<std::chrono::milliseconds> AnnouncedIdleTimeout(
    const ResponseHead& response) {
  static constexpr std::string_view kKey = "timeout=";
  const std::string_view value = HeaderValue(response.headers, "Keep-Alive");
  const auto at = value.find(kKey);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view text = value.substr(at + kKey.size());
  text = text.substr(0, text.find_first_not_of("0123456789"));
  const auto number = ParseNumber(text);
  if (!number) {
    return std::nullopt;
  }
  return std::chrono::seconds(*number);
}

}  // namespace

ClientConnection::ClientConnection(asio::io_context& io, tcp::endpoint server)
    : endpoint(std::move(server)), socket(io) {}

awaitable<base::Result<CallConnectionPtr>> Acquire(ConnectionPool& pool,
                                                   tcp::endpoint endpoint) {
  if (ClientConnectionPtr idle = TakeIdle(pool, endpoint)) {
    co_return std::make_shared<CallConnection>(CallConnection{std::move(idle)});
  }
  auto connection = std::make_shared<ClientConnection>(pool.io, endpoint);
  connection->sent_bytes = &pool.sent_bytes;
  ++pool.opened;
  std::error_code error;
  connection->socket.open(endpoint.protocol(), error);
  if (error) {
    co_return base::Fail(ErrorKind::kPeerUnreachable, error.message());
  }
  SetSocketOptions(connection->socket, pool.options);
  Alarm alarm(pool.io);
  Arm(alarm, pool.options.connect_timeout, [connection] {
    if (!IsConnected(*connection)) {
      Close(*connection);
    }
  });
  co_await connection->socket.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  Disarm(alarm);
  if (error || !connection->socket.is_open()) {
    Close(*connection);
    co_return base::Fail(ErrorKind::kPeerUnreachable, error.message());
  }
  if (!IsUsable(*connection)) {
    Close(*connection);
    co_return base::Fail(ErrorKind::kPeerUnreachable,
                         "the server has closed the new connection");
  }
  co_return std::make_shared<CallConnection>(
      CallConnection{std::move(connection)});
}

void Release(ConnectionPool& pool,
             CallConnection& call,
             const ResponseHead& response) {
  const ClientConnectionPtr connection = std::move(call.connection);
  CloseExpiredAfter(pool, connection->endpoint);
  auto& connections = pool.idle[connection->endpoint];
  CloseExpired(connections);
  const auto announced = AnnouncedIdleTimeout(response);
  connection->idle_limit = pool.options.idle_timeout;
  if (announced) {
    connection->idle_limit =
        std::min(connection->idle_limit, *announced - kIdleMargin);
  }
  if (!response.keep_alive || !connection->input.empty() ||
      connection->unwritten_parts > 0 || connection->unread_at_expiry ||
      !connection->socket.is_open() ||
      connection->idle_limit <= std::chrono::milliseconds{0} ||
      connections.size() >= pool.options.max_idle_per_address) {
    Close(*connection);
    return;
  }
  connection->idle_since = std::chrono::steady_clock::now();
  connections.push_back(connection);
}

}  // namespace eelgrassbridge::http
