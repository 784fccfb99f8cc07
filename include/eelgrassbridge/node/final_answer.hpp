// Final answers to callers: the target's answer, or an error of the daemon. A
// refusal states that the request has not run, so it requires a NotRunProof.
#ifndef EELGRASSBRIDGE_NODE_FINAL_ANSWER_HPP
#define EELGRASSBRIDGE_NODE_FINAL_ANSWER_HPP

#include <asio/awaitable.hpp>
#include <string_view>

#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief A request received from a caller, with the data of its final log
/// line.
struct CallerRequest {
  RequestTerms terms;
  std::string route;
  base::TimePoint arrived{};
  std::uint32_t attempts = 0;
  std::uint64_t routes_version = 0;
  /// Daemon of the last attempt.
  std::string last_daemon;
  /// Time until another request is likely to be admitted, for a refusal; none
  /// if it is not known.
  std::optional<base::Duration> retry_after;
};

/// @brief Answers 503 with Retry-After: the request has not run and will not.
asio::awaitable<void> SendRefusal(Node& node,
                                  http::Exchange& exchange,
                                  const CallerRequest& request,
                                  NotRunProof proof,
                                  base::ErrorKind cause);

/// @brief Answers 429 with the time after which the account has a token again:
/// the request has not run and will not.
asio::awaitable<void> SendLimitRefusal(Node& node,
                                       http::Exchange& exchange,
                                       const CallerRequest& request,
                                       NotRunProof proof,
                                       base::Duration retry_after);

/// @brief Answers 502, or 504 after a timeout: the request may have run.
asio::awaitable<void> SendFailure(Node& node,
                                  http::Exchange& exchange,
                                  const CallerRequest& request,
                                  base::ErrorKind cause);

/// @brief Answers a request that cannot be served as it is with the status of
/// the cause in the answer table: 400, 401, 404, 413 or 428.
asio::awaitable<void> SendRejection(Node& node,
                                    http::Exchange& exchange,
                                    const CallerRequest& request,
                                    base::ErrorKind cause);

/// @brief Relays the target's answer without the headers between daemons.
asio::awaitable<void> SendAnswer(Node& node,
                                 http::Exchange& exchange,
                                 const CallerRequest& request,
                                 RunResult& result);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_FINAL_ANSWER_HPP
