// Running a request on the target beside the daemon. All traffic to the target
// passes here, so its slots, its cold start, its leaving and its ranges are
// kept to exactly, without agreement with other daemons.
#ifndef EELGRASSBRIDGE_NODE_TARGET_RUN_HPP
#define EELGRASSBRIDGE_NODE_TARGET_RUN_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Waits for the key and for a slot, then runs the request.
asio::awaitable<RunResult> RunOnTarget(Node& node,
                                       const RequestTerms& terms,
                                       const Message& message,
                                       CancellationPointer cancellation);

/// @brief Requests that run on the target or wait for it.
std::uint32_t InFlight(const Node& node);

/// @brief Takes the bounds of the target from its last report and the routes.
void RefreshAdmission(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TARGET_RUN_HPP
