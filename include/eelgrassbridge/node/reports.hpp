// Calls of the target beside the daemon, and the platform's question whether
// the daemon is ready.
#ifndef EELGRASSBRIDGE_NODE_REPORTS_HPP
#define EELGRASSBRIDGE_NODE_REPORTS_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Takes a report or a departure of the target.
asio::awaitable<void> HandleTargetCall(Node& node, http::Exchange& exchange);

/// @brief Answers whether callers are to be sent here, and the metrics.
asio::awaitable<void> HandleReadiness(Node& node, http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_REPORTS_HPP
