// The final answers of the daemon itself to a caller. A refusal that promises
// that the request has not run can only be made from a proof of that.
#ifndef EELGRASSBRIDGE_NODE_FINAL_ANSWER_HPP
#define EELGRASSBRIDGE_NODE_FINAL_ANSWER_HPP

#include <asio/awaitable.hpp>
#include <string_view>

#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief A request at its entry, with what its final line in the log tells.
struct EntryRequest {
  RequestTerms terms;
  std::string route;
  base::TimePoint arrived{};
  std::uint32_t attempts = 0;
  std::uint64_t routes_version = 0;
  /// Daemon of the last attempt.
  std::string last_daemon;
};

/// @brief 503 with Retry-After: not run, and never will be.
asio::awaitable<void> Refuse(Node& node,
                             http::Exchange& exchange,
                             const EntryRequest& request,
                             NotRunProof proof,
                             base::ErrorKind cause);

/// @brief 502 or 504: the request may have run.
asio::awaitable<void> Fail(Node& node,
                           http::Exchange& exchange,
                           const EntryRequest& request,
                           base::ErrorKind cause);

/// @brief A request that cannot be served as it is: 400, 404 or 413.
asio::awaitable<void> Reject(Node& node,
                             http::Exchange& exchange,
                             const EntryRequest& request,
                             base::ErrorKind cause);

/// @brief The target's answer, as it is.
asio::awaitable<void> Deliver(Node& node,
                              http::Exchange& exchange,
                              const EntryRequest& request,
                              RunResult& result);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_FINAL_ANSWER_HPP
