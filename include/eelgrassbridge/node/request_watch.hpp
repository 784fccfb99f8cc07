// The connection of a request while it is handled: its end cancels the request,
// and its body is received from it.
#ifndef EELGRASSBRIDGE_NODE_REQUEST_WATCH_HPP
#define EELGRASSBRIDGE_NODE_REQUEST_WATCH_HPP

#include <asio/awaitable.hpp>
#include <cstddef>

#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Cancels a request when its caller disconnects or its deadline passes,
/// as long as this object exists. It is listed in the node's open requests.
struct RequestWatch {
  RequestWatch(Node& owner, http::Exchange& watched, base::TimePoint deadline);
  ~RequestWatch();
  RequestWatch(const RequestWatch&) = delete;
  RequestWatch& operator=(const RequestWatch&) = delete;

  Node& node;
  CancellationPointer cancellation;
  http::Alarm alarm;
  http::Exchange& exchange;
};

/// @brief Reads the body into the message until it is complete or has reached
/// `limit_bytes`; the rest is left in the exchange. Fails with kBodyTooLarge,
/// kBadRequest, kCancelled, or kDraining if reading was interrupted.
asio::awaitable<base::Result<void>> ReceiveBody(http::Exchange& exchange,
                                                Message& message,
                                                std::size_t limit_bytes);

/// @brief Receives a body like the other overload. When the request is
/// cancelled for another reason than its caller's disconnect, fails with that
/// reason, and the connection can still carry an answer.
asio::awaitable<base::Result<void>> ReceiveBody(http::Exchange& exchange,
                                                Message& message,
                                                std::size_t limit_bytes,
                                                Cancellation& cancellation);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_REQUEST_WATCH_HPP
