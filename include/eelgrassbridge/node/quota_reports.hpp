// A daemon's reports to the quota coordinator, and the tokens that requests
// take.
#ifndef EELGRASSBRIDGE_NODE_QUOTA_REPORTS_HPP
#define EELGRASSBRIDGE_NODE_QUOTA_REPORTS_HPP

#include <asio/awaitable.hpp>
#include <optional>
#include <string>

#include "eelgrassbridge/node/final_answer.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Sends reports regularly, and at once if a request waits for a token.
asio::awaitable<void> ReportQuotas(Node& node);

/// @brief Takes a token for a request of an account with a limit; waits for one
/// for a short time if it may come.
/// @return None if the request may go on, or the time after which the caller is
/// to try again.
asio::awaitable<std::optional<base::Duration>> TakeQuota(
    Node& node,
    const CallerRequest& request,
    const Cancellation& cancellation);

/// @brief Answers a request that got no token, unless its caller has left.
asio::awaitable<void> RefuseOverQuota(Node& node,
                                      http::Exchange& exchange,
                                      const CallerRequest& request,
                                      const Cancellation& cancellation,
                                      base::Duration retry_after);

/// @brief Gives the token of a request back that has not run and never will.
void ReturnQuota(Node& node, const RequestTerms& terms);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_QUOTA_REPORTS_HPP
