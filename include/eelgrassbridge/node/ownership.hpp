// The node's part in the ownership of ranges: its lease, plans, releases and
// the new life of its target.
#ifndef EELGRASSBRIDGE_NODE_OWNERSHIP_HPP
#define EELGRASSBRIDGE_NODE_OWNERSHIP_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Keeps the member's row up to date. Never ends.
asio::awaitable<void> PublishMember(Node& node);

/// @brief Renews the lease while the target's service is divided by key. Never
/// ends.
asio::awaitable<void> KeepLease(Node& node);

/// @brief Plans the map of the service from time to time. Never ends.
asio::awaitable<void> PlanRanges(Node& node);

/// @brief Writes the next owners of ranges that the target has released, and
/// the new life of the target. Never ends.
asio::awaitable<void> HandOverRanges(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_OWNERSHIP_HPP
