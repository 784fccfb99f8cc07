// Metrics of a node in the Prometheus text format.
#ifndef EELGRASSBRIDGE_NODE_METRICS_HPP
#define EELGRASSBRIDGE_NODE_METRICS_HPP

#include <string>
#include <string_view>

#include "eelgrassbridge/node/final_answer.hpp"
#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Counts a final answer and records its latency.
void RecordFinalAnswer(Node& node,
                       const CallerRequest& request,
                       std::string_view outcome,
                       std::string_view cause);

/// @brief Updates the gauges and returns all metrics in the text format.
std::string MetricsText(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_METRICS_HPP
