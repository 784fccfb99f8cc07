// One HTTP request to a target or another daemon over pooled connections.
//
// The result tells whether anything was sent: an error before that proves that
// the request was not run, an error after it leaves the outcome unknown.
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

/// @brief Value of the first header of that name (case-insensitive), or empty.
std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name);

/// @brief Whether a header belongs to one connection only and is never
/// forwarded.
bool IsHopByHopHeader(std::string_view name);

struct ExchangeRequest {
  std::string method;
  /// Path with query, as received.
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
  /// Room for the body in the pool's budget.
  BodyReservation reservation;
};

/// @brief Error kinds for one kind of remote.
struct ExchangeErrors {
  base::ErrorKind unreachable;  ///< Nothing was sent.
  base::ErrorKind lost;         ///< The connection ended before the answer.
  base::ErrorKind timeout;      ///< No whole answer before the deadline.
};

inline constexpr ExchangeErrors kTargetErrors{
    base::ErrorKind::kTargetUnreachable, base::ErrorKind::kTargetLost,
    base::ErrorKind::kTargetTimeout};
inline constexpr ExchangeErrors kPeerErrors{base::ErrorKind::kPeerUnreachable,
                                            base::ErrorKind::kPeerLost,
                                            base::ErrorKind::kPeerTimeout};

struct ExchangeOptions {
  base::Duration connect_timeout = base::milliseconds{300};
  /// Below the server's keep-alive limit of 10 s, so that a request is not
  /// sent on a connection that the other side is about to close.
  base::Duration idle_limit = base::seconds{3};
  std::size_t max_idle_per_address = 128;
  std::uint64_t max_answer_bytes = 16ULL * 1024 * 1024;
};

/// @brief An idle connection and when it was last used.
struct IdleConnection {
  std::unique_ptr<httplib::Client> client;
  base::TimePoint used_at;
};

/// @brief Kept-alive connections by address.
///
/// Invariant: a connection carries one exchange at a time and returns to the
/// pool only after a whole answer; one with an abandoned answer is closed.
struct ConnectionPool {
  ConnectionPool();
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  ExchangeOptions options;
  /// Not empty: TLS, and the other side's certificate must be signed by one of
  /// this file.
  std::string trusted_certificates_file;
  /// Bounds the bodies of all answers together; null: no bound.
  BodyBudget* answer_budget = nullptr;
  std::mutex mutex;
  std::map<settings::Address, std::vector<IdleConnection>> idle;
};

/// @brief Sends a request and reads the whole answer before the deadline.
base::Result<ExchangeAnswer> Exchange(ConnectionPool& pool,
                                      const settings::Address& address,
                                      const ExchangeRequest& request,
                                      base::TimePoint deadline,
                                      const ExchangeErrors& errors);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_HTTP_EXCHANGE_HPP
