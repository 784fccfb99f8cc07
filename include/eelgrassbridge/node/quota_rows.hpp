// Rows and limits of account quotas, and how they reach the node's state.
//
// The coordinator has two rows: one in the fleet's table, which is written at a
// take-over and tells all daemons where to report, and the lease, which is
// renewed every few seconds and read only by candidates that get no answer. So
// renewals wake no daemon that follows the fleet's rows.
#ifndef EELGRASSBRIDGE_NODE_QUOTA_ROWS_HPP
#define EELGRASSBRIDGE_NODE_QUOTA_ROWS_HPP

#include <string>
#include <string_view>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

std::string EncodeQuotaRecord(const QuotaRecord& record);
/// @brief Fails with kFrameInvalid if a field is missing or has another type.
base::Result<QuotaRecord> DecodeQuotaRecord(std::string_view text);

/// @brief Parameters of the buckets under the bounds of the settings.
limits::QuotaOptions QuotaOptionsOf(const Bounds& bounds);

/// @brief Takes the limits of accounts from the routes in force.
void RefreshQuotaLimits(Node& node);

/// @brief Applies the row that names the coordinator.
void ApplyQuotaRow(Node& node, const StoredRow& row);

/// @brief Makes a daemon the one to report to, unless a later one is known.
void SetQuotaCoordinator(Node& node, const QuotaRecord& record);

/// @brief Drops what the rows of a former era of the store told.
void ForgetQuotaRows(Node& node);

/// @brief Whether this daemon may grant shares.
bool IsQuotaCoordinator(const Node& node, base::TimePoint now);

/// @brief Ends the right of this daemon, if it has one.
void LoseQuotaCoordinator(Node& node, std::string_view cause);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_QUOTA_ROWS_HPP
