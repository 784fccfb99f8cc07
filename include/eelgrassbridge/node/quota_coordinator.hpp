// Election of the quota coordinator, its lease, and its answers to reports.
#ifndef EELGRASSBRIDGE_NODE_QUOTA_COORDINATOR_HPP
#define EELGRASSBRIDGE_NODE_QUOTA_COORDINATOR_HPP

#include <asio/awaitable.hpp>
#include <string_view>

#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

inline constexpr std::string_view kQuotaHeader = "Eelgrassbridge-Quota";
/// Status of the answer to a report for another tenure; its body tells the
/// present one.
inline constexpr int kQuotaOtherTenure = 409;
/// Status of the answer to a report that is older than one that was accepted.
inline constexpr int kQuotaStale = 410;

/// @brief Whether this daemon may become the coordinator: it has one of the
/// fastest links of its data centre.
bool IsQuotaCandidate(const Node& node);

/// @brief Renews the lease of this daemon if it is the coordinator, and takes
/// over if it is a candidate and the lease of another one has expired.
asio::awaitable<void> CoordinateQuotas(Node& node);

/// @brief Whether the request of another daemon is a report.
bool IsQuotaRequest(const http::RequestHead& head);

/// @brief Answers a report.
asio::awaitable<void> HandleQuotaRequest(Node& node, http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_QUOTA_COORDINATOR_HPP
