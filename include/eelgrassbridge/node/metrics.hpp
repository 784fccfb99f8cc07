// Metrics of a node in Prometheus text form.
#ifndef EELGRASSBRIDGE_NODE_METRICS_HPP
#define EELGRASSBRIDGE_NODE_METRICS_HPP

#include <string>
#include <string_view>

#include "eelgrassbridge/node/final_answer.hpp"
#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Counts a final answer and records its latency.
void CountFinal(Node& node,
                const EntryRequest& request,
                std::string_view outcome,
                std::string_view cause);

/// @brief All metrics.
std::string MetricsText(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_METRICS_HPP
