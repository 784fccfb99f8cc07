// Handles calls from the target beside the daemon, and serves the readiness
// check and the metrics.
#ifndef EELGRASSBRIDGE_NODE_REPORTS_HPP
#define EELGRASSBRIDGE_NODE_REPORTS_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Handles a report or a departure notice of the target.
asio::awaitable<void> HandleTargetCall(Node& node, http::Exchange& exchange);

/// @brief Answers the platform's readiness check, which decides whether callers
/// are sent to this daemon, and `GET /metrics`.
asio::awaitable<void> HandleReadiness(Node& node, http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_REPORTS_HPP
