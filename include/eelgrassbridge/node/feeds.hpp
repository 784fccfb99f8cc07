// Following the store: the operator's rows and the rows of the fleet.
#ifndef EELGRASSBRIDGE_NODE_FEEDS_HPP
#define EELGRASSBRIDGE_NODE_FEEDS_HPP

#include <asio/awaitable.hpp>
#include <string>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Takes the operator's routes and data centres out of service, and all
/// their changes. Never ends.
asio::awaitable<void> FollowOperator(Node& node);

/// @brief Takes the members and the maps of ranges, and all their changes.
/// Never ends.
asio::awaitable<void> FollowFleet(Node& node);

/// @brief A data centre is taken out of service or back.
void SetOutOfService(Node& node, const std::string& data_centre, bool out);

/// @brief Takes one row of the operator.
void TakeOperatorRow(Node& node, const StoredRow& row);

/// @brief Takes one row of the fleet's table.
void TakeFleetRow(Node& node, const StoredRow& row);

/// @brief Makes a call to the store that notes its outcome.
asio::awaitable<base::Result<CommitResult>> Commit(Node& node,
                                                   RowTransaction transaction);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_FEEDS_HPP
