// Sending a message to a target or another daemon and reading the answer.
#ifndef EELGRASSBRIDGE_NODE_TRANSMIT_HPP
#define EELGRASSBRIDGE_NODE_TRANSMIT_HPP

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <string>

#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/server.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Where and how a message is sent.
struct Transmission {
  http::ConnectionPool* pool = nullptr;
  asio::ip::tcp::endpoint endpoint;
  /// All headers but those of the framing.
  http::Headers headers;
  std::string request_id;
  /// The server says "100 Continue" before it takes a long body.
  bool await_continue = false;
};

/// @brief Sends the message and reads the answer, whole if it is short. The
/// result is kAnswered for any answer; its meaning is for the caller.
asio::awaitable<RunResult> Transmit(Node& node,
                                    const Message& message,
                                    Transmission transmission,
                                    CancellationPointer cancellation);

/// @brief Reads more of an answer that is not whole yet, into `body`. False:
/// it was cut.
asio::awaitable<bool> ReadRest(RunResult& result);

/// @brief Waits until the caller's body is no longer being read.
asio::awaitable<void> AwaitPump(RunResult& result);

/// @brief Sends the answer of a result to the caller, the headers as given.
/// False: the caller has not got all of it.
asio::awaitable<bool> RelayAnswer(http::Exchange& exchange,
                                  http::Headers headers,
                                  RunResult& result);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TRANSMIT_HPP
