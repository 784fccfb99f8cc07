// Requests that one daemon forwards to another: the sending and the receiving
// side.
#ifndef EELGRASSBRIDGE_NODE_PEER_CALL_HPP
#define EELGRASSBRIDGE_NODE_PEER_CALL_HPP

#include <asio/awaitable.hpp>
#include <string>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Forwards the request to the daemon at the address. The result is
/// kNotRun with kPeerUnreachable if the address is invalid.
asio::awaitable<RunResult> RunOnPeer(Node& node,
                                     std::string address,
                                     const RequestTerms& terms,
                                     const Message& message,
                                     CancellationPointer cancellation);

/// @brief Handles a request of another daemon, up to its answer: one that it
/// forwards, or one for the operator's rows.
asio::awaitable<void> HandlePeerRequest(Node& node, http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_PEER_CALL_HPP
