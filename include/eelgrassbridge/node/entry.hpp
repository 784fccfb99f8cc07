// Handles requests of callers on this VM: finds the route, chooses a target,
// retries, and sends exactly one final answer.
#ifndef EELGRASSBRIDGE_NODE_ENTRY_HPP
#define EELGRASSBRIDGE_NODE_ENTRY_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Handles one request of a caller, up to its final answer.
asio::awaitable<void> HandleCallerRequest(Node& node, http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ENTRY_HPP
