// Attempts for a caller's request, and the decision to retry after each one.
#ifndef EELGRASSBRIDGE_NODE_ATTEMPTS_HPP
#define EELGRASSBRIDGE_NODE_ATTEMPTS_HPP

#include <asio/awaitable.hpp>
#include <cstdint>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"
#include "eelgrassbridge/node/final_answer.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief The attempts for one request so far.
struct Attempts {
  const catalogue::Route& route;
  CallerRequest& request;
  const Message& message;
  std::vector<base::DaemonId> tried;
  std::uint32_t reached_targets = 0;
  /// Attempts refused for lack of room in time.
  std::uint32_t overloaded = 0;
  /// An attempt may have run, so a later refusal does not prove that the
  /// request has not run.
  bool may_have_run = false;
  /// Each attempt so far told when another request is likely to be admitted.
  bool retry_after_known = true;
};

/// @brief Makes attempts until the result of one is final.
asio::awaitable<RunResult> RunAttempts(Node& node,
                                       Attempts& attempts,
                                       CancellationPointer cancellation);

/// @brief Number of daemons that share the budgets of retries.
std::uint32_t DaemonCount(const Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ATTEMPTS_HPP
