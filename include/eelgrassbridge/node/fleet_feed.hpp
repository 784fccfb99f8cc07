// Reads the rows of the fleet's table and follows their changes.
#ifndef EELGRASSBRIDGE_NODE_FLEET_FEED_HPP
#define EELGRASSBRIDGE_NODE_FLEET_FEED_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Applies the members and the range maps, and all their changes. Never
/// returns.
asio::awaitable<void> FollowFleet(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_FLEET_FEED_HPP
