// Requests of the callers on this VM: the route, the choice of a target, other
// attempts, and the one final answer.
#ifndef EELGRASSBRIDGE_NODE_ENTRY_HPP
#define EELGRASSBRIDGE_NODE_ENTRY_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Serves a request of a caller.
asio::awaitable<void> HandleCaller(Node& node, http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ENTRY_HPP
