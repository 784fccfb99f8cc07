// Loops that maintain the ownership of ranges: the node's member row and lease,
// the planning of ranges, and their release by the target.
#ifndef EELGRASSBRIDGE_NODE_OWNERSHIP_HPP
#define EELGRASSBRIDGE_NODE_OWNERSHIP_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Keeps this daemon's member row up to date. Never returns.
asio::awaitable<void> PublishMember(Node& node);

/// @brief Renews the lease while the target's service is divided by key. Never
/// returns.
asio::awaitable<void> KeepLease(Node& node);

/// @brief Plans the range map of the service periodically. Never returns.
asio::awaitable<void> PlanRanges(Node& node);

/// @brief Assigns ranges that the target has released to their next owners, and
/// the ranges of a restarted target to its new instance. Never returns.
asio::awaitable<void> HandOverRanges(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_OWNERSHIP_HPP
