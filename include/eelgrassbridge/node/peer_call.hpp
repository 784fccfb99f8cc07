// Requests from one daemon to another: the sending and the receiving side.
#ifndef EELGRASSBRIDGE_NODE_PEER_CALL_HPP
#define EELGRASSBRIDGE_NODE_PEER_CALL_HPP

#include <asio/awaitable.hpp>
#include <string>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Runs the request at the daemon of that address.
asio::awaitable<RunResult> RunOnPeer(Node& node,
                                     std::string address,
                                     const RequestTerms& terms,
                                     const Message& message,
                                     CancellationPointer cancellation);

/// @brief Serves a request of another daemon.
asio::awaitable<void> HandlePeer(Node& node, http::Exchange& exchange);

/// @brief Ends the work for a request when its caller leaves or its time is
/// up. Ends with its scope.
struct RequestWatch {
  RequestWatch(Node& node, http::Exchange& exchange, base::TimePoint deadline);
  ~RequestWatch();
  RequestWatch(const RequestWatch&) = delete;
  RequestWatch& operator=(const RequestWatch&) = delete;

  CancellationPointer cancellation;
  http::Alarm alarm;
  http::Exchange& exchange;
};

/// @brief Reads the body up to what is kept for another attempt; the rest stays
/// with the exchange. Fails with kBodyTooLarge, kBadRequest or kCancelled.
asio::awaitable<base::Result<void>> ReceiveBody(http::Exchange& exchange,
                                                Message& message,
                                                std::size_t most);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_PEER_CALL_HPP
