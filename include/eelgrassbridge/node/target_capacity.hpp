// Use of the learned capacity of the target beside the daemon.
#ifndef EELGRASSBRIDGE_NODE_TARGET_CAPACITY_HPP
#define EELGRASSBRIDGE_NODE_TARGET_CAPACITY_HPP

#include <cstdint>
#include <optional>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/node/target_pace.hpp"

namespace eelgrassbridge::node {

/// @brief Begins or ends the use of the learned capacity, as the setting and
/// the routes say.
void RefreshCapacity(Node& node);

/// @brief Learns the capacity anew, for a new target process.
void RestartCapacity(Node& node);

/// @brief Records a run that has ended, if it shows how fast the target is, and
/// logs a change of the capacity.
void RecordCapacityRun(Node& node,
                       const RequestTerms& terms,
                       const limits::RunStart& start,
                       const RunResult& result,
                       const SendRecord& send,
                       base::TimePoint sent_at);

/// @brief Learned capacity of the target, for other daemons; nothing if none is
/// learned.
std::optional<std::uint32_t> LearnedRoom(const Node& node);

/// @brief Latest time to start the run, by the expected run time of requests of
/// its kind; nothing if none is learned.
std::optional<base::TimePoint> LearnedLatestStart(const Node& node,
                                                  const RequestTerms& terms,
                                                  base::TimePoint now);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TARGET_CAPACITY_HPP
