// Applies rows of the store to the node's state.
#ifndef EELGRASSBRIDGE_NODE_ROW_INTAKE_HPP
#define EELGRASSBRIDGE_NODE_ROW_INTAKE_HPP

#include <string>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Marks a data centre as out of service or as back in service.
void SetOutOfService(Node& node, const std::string& data_centre, bool out);

/// @brief Applies one row of the operator's table. Invalid rows and rows with
/// an older version of the routes are ignored.
void ApplyOperatorRow(Node& node, const StoredRow& row);

/// @brief Applies one row of the fleet's table. Invalid rows and older versions
/// are ignored. Call RebuildStaleTargetTables() after the last row of a batch.
void ApplyFleetRow(Node& node, const StoredRow& row);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ROW_INTAKE_HPP
