// Admission of requests to the target beside the daemon, and their execution.
// All traffic to the target passes here, so the limits that follow from its
// slots, cold start, departure and key ranges are enforced exactly and without
// coordination with other daemons.
#ifndef EELGRASSBRIDGE_NODE_TARGET_RUN_HPP
#define EELGRASSBRIDGE_NODE_TARGET_RUN_HPP

#include <asio/awaitable.hpp>
#include <optional>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Waits until the target holds the key and has a free slot, then runs
/// the request. The result is kNotRun if the request is not admitted in time.
asio::awaitable<RunResult> RunOnTarget(Node& node,
                                       const RequestTerms& terms,
                                       const Message& message,
                                       CancellationPointer cancellation);

/// @brief Refuses a request of which nothing has been sent to the target, and
/// logs the reason.
RunResult TurnAway(Node& node,
                   const RequestTerms& terms,
                   base::ErrorKind cause,
                   base::TimePoint arrived);

/// @brief Counts the demand of a request that was refused by the full target
/// before RunOnTarget could count it; only where limits are adaptive.
void RecordRefusedArrival(Node& node,
                          const RequestTerms& terms,
                          base::ErrorKind cause,
                          base::TimePoint arrived);

/// @brief Returns the reason for which RunOnTarget would refuse the request
/// now, as far as that is known before its body has arrived.
std::optional<base::ErrorKind> ExpectedRefusal(const Node& node,
                                               const RequestTerms& terms);

/// @brief Number of requests that run on the target, wait for a slot, or will
/// do so once their bodies have arrived.
std::uint32_t InFlight(const Node& node);

/// @brief Updates the target's limits from its last report, the routes and the
/// data centres out of service. Refuses queued requests that the target will
/// not run.
void RefreshAdmission(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TARGET_RUN_HPP
