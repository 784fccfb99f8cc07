// Reads the operator's rows and the fleet's rows from the store, follows their
// changes, and applies them to the node.
#ifndef EELGRASSBRIDGE_NODE_FEEDS_HPP
#define EELGRASSBRIDGE_NODE_FEEDS_HPP

#include <asio/awaitable.hpp>
#include <string>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Applies the operator's routes and data centres out of service, and
/// all their changes. Never returns.
asio::awaitable<void> FollowOperator(Node& node);

/// @brief Applies the members and the range maps, and all their changes. Never
/// returns.
asio::awaitable<void> FollowFleet(Node& node);

/// @brief Reads all rows of a partition, and updates what is known of the store
/// from the answer. Fails with kStoreUnavailable if the store was restored
/// meanwhile.
asio::awaitable<base::Result<RowPage>> ReadPartition(Node& node,
                                                     std::string table,
                                                     std::string partition);

/// @brief Marks a data centre as out of service or as back in service.
void SetOutOfService(Node& node, const std::string& data_centre, bool out);

/// @brief Applies one row of the operator's table. Invalid rows and rows with
/// an older version of the routes are ignored.
void ApplyOperatorRow(Node& node, const StoredRow& row);

/// @brief Applies one row of the fleet's table. Invalid rows and older versions
/// are ignored. Call RebuildStaleTargetTables() after the last row of a batch.
void ApplyFleetRow(Node& node, const StoredRow& row);

/// @brief Commits a transaction, and updates the store's reachability and clock
/// from the result. Fails as RowStore::commit does.
asio::awaitable<base::Result<CommitResult>> Commit(Node& node,
                                                   RowTransaction transaction);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_FEEDS_HPP
