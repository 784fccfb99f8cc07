// HTTP client for requests to the target and to other daemons, with pooled
// connections.
//
// The error kind of a failed exchange shows whether anything was sent: a
// failure before that proves that the request was not run, a later one leaves
// the outcome unknown.
#ifndef EELGRASSBRIDGE_DAEMON_HTTP_EXCHANGE_HPP
#define EELGRASSBRIDGE_DAEMON_HTTP_EXCHANGE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/daemon/body_budget.hpp"
#include "eelgrassbridge/daemon/interrupt.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace httplib {
class Client;
}  // namespace httplib

namespace eelgrassbridge::daemon {

struct Header {
  std::string name;
  std::string value;
};

/// @brief Returns the value of the first header of that name
/// (case-insensitive), or an empty string.
std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name);

/// @brief Returns whether a header applies to a single connection and must not
/// be forwarded.
bool IsHopByHopHeader(std::string_view name);

struct ExchangeRequest {
  std::string method;
  /// Request target (path with query) as received.
  std::string target;
  std::vector<Header> headers;
  /// Must outlive the call.
  std::string_view body;
  /// Lets another thread cancel the exchange; may be null.
  Interrupt* interrupt = nullptr;
};

struct ExchangeAnswer {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  /// Memory of the body, reserved from the pool's budget.
  BodyReservation reservation;
};

/// @brief Error kinds that are reported for one type of server.
struct ExchangeErrors {
  base::ErrorKind unreachable;  ///< Nothing was sent.
  base::ErrorKind lost;         ///< Closed before a complete response.
  base::ErrorKind timeout;      ///< No complete response before the deadline.
};

inline constexpr ExchangeErrors kTargetErrors{
    base::ErrorKind::kTargetUnreachable, base::ErrorKind::kTargetLost,
    base::ErrorKind::kTargetTimeout};
inline constexpr ExchangeErrors kPeerErrors{base::ErrorKind::kPeerUnreachable,
                                            base::ErrorKind::kPeerLost,
                                            base::ErrorKind::kPeerTimeout};

struct ExchangeOptions {
  base::Duration connect_timeout = base::milliseconds{300};
  /// Below the server's keep-alive timeout of 10 s, so that a request is not
  /// sent on a connection that the server is about to close.
  base::Duration idle_limit = base::seconds{3};
  std::size_t max_idle_per_address = 128;
  std::uint64_t max_answer_bytes = 16ULL * 1024 * 1024;
};

/// @brief An idle connection and the time of its last use.
struct IdleConnection {
  std::unique_ptr<httplib::Client> client;
  base::TimePoint used_at;
};

/// @brief Keep-alive connections by address.
///
/// Invariant: a connection carries one exchange at a time. It returns to the
/// pool only after a complete response and is closed otherwise.
struct ConnectionPool {
  ConnectionPool();
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  ExchangeOptions options;
  /// CA certificates (PEM) that the server's certificate is verified against.
  /// Empty: plain HTTP instead of TLS.
  std::string trusted_certificates_file;
  /// Bounds the total size of all response bodies; null: no bound.
  BodyBudget* answer_budget = nullptr;
  std::mutex mutex;
  std::map<settings::Address, std::vector<IdleConnection>> idle;
};

/// @brief Sends a request and reads the complete response. Fails with one of
/// `errors`, or with kCancelled or kAnswerCut.
base::Result<ExchangeAnswer> Exchange(ConnectionPool& pool,
                                      const settings::Address& address,
                                      const ExchangeRequest& request,
                                      base::TimePoint deadline,
                                      const ExchangeErrors& errors);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_HTTP_EXCHANGE_HPP
