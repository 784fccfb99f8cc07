// What is recorded of requests that are sent to the target while it is cold.
#ifndef EELGRASSBRIDGE_NODE_TARGET_PACE_HPP
#define EELGRASSBRIDGE_NODE_TARGET_PACE_HPP

#include <cstddef>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Load of the target at the moment at which a request is sent.
struct SendRecord {
  /// How long the target stays cold; zero if it is warm.
  base::Duration cold_left{};
  /// Includes the request itself.
  std::size_t sent_last_second = 0;
};

/// @brief Whether the target is cold, as far as this daemon knows.
bool IsTargetCold(const Node& node, base::TimePoint now);

/// @brief Records that a request is sent to the target now.
SendRecord RecordSend(Node& node);

/// @brief Records how long the target stays cold, as it reports, and logs a
/// change.
void RecordReportedCold(Node& node, base::Duration cold_left);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TARGET_PACE_HPP
