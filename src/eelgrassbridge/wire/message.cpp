// Names of the message types.
#include "eelgrassbridge/wire/message.hpp"

#include <array>

namespace eelgrassbridge::wire {

namespace {

// In the order of the alternatives of Message.
constexpr std::array<std::string_view, std::variant_size_v<Message>> kNames = {
    "promise_request",
    "promise_reply",
    "gossip",
    "gossip_ack",
    "ping",
    "pong",
    "suspicion",
    "release_done",
    "stop_promising",
    "stopped_promising",
    "catalogue_push",
    "join_request",
    "join_reply",
    "suspect_request",
    "catalogue_request"};

}  // namespace

std::string_view MessageName(const Message& message) {
  return kNames.at(message.index());
}

}  // namespace eelgrassbridge::wire
