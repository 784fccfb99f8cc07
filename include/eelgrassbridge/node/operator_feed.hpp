// Reads the operator's rows and follows their changes.
#ifndef EELGRASSBRIDGE_NODE_OPERATOR_FEED_HPP
#define EELGRASSBRIDGE_NODE_OPERATOR_FEED_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Applies the operator's routes and data centres out of service, and
/// all their changes. Never returns.
asio::awaitable<void> FollowOperator(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_OPERATOR_FEED_HPP
