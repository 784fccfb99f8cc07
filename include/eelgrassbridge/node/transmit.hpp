// Sends a message to a target or another daemon and reads the answer.
#ifndef EELGRASSBRIDGE_NODE_TRANSMIT_HPP
#define EELGRASSBRIDGE_NODE_TRANSMIT_HPP

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Destination, headers and options for sending a message.
struct Transmission {
  http::ConnectionPool* pool = nullptr;
  asio::ip::tcp::endpoint endpoint;
  /// All headers except those that frame the body.
  http::Headers headers;
  std::string request_id;
  /// A long body is sent only after the server has answered "100 Continue".
  bool await_continue = false;
  /// Called when the first bytes are about to be written. Returns a reason if
  /// nothing is to be sent. May be empty.
  std::function<std::optional<base::ErrorKind>()> before_send;
};

/// @brief Sends the message and reads the answer, completely if it is short.
/// The result is kAnswered for any answer, which the calling function
/// interprets; kNotRun if nothing was sent, and kUnknown if the connection
/// broke later.
asio::awaitable<RunResult> Transmit(Node& node,
                                    const Message& message,
                                    Transmission transmission,
                                    CancellationPointer cancellation);

/// @brief Reads the next part of an incomplete answer into `body`. Returns
/// false if the connection ended before the answer was complete.
asio::awaitable<bool> ReadMoreBody(const Node& node, RunResult& result);

/// @brief Waits until the caller's body is no longer read for this result.
asio::awaitable<void> AwaitBodyPump(RunResult& result);

/// @brief Reads and discards the rest of a body that the attempt has left, so
/// that the caller can read the final answer. AwaitBodyPump waits for its end.
void DiscardRestOfBody(Node& node, RunResult& result);

/// @brief Sends the answer in the result to the caller, with the given headers.
/// Returns false if it could not be sent completely.
asio::awaitable<bool> RelayAnswer(const Node& node,
                                  http::Exchange& exchange,
                                  http::Headers headers,
                                  RunResult& result);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TRANSMIT_HPP
