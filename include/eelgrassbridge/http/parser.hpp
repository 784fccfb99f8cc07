// Incremental reading of messages with http-parser.
#ifndef EELGRASSBRIDGE_HTTP_PARSER_HPP
#define EELGRASSBRIDGE_HTTP_PARSER_HPP

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/http/message.hpp"

namespace eelgrassbridge::http {

enum class MessageKind : std::uint8_t { kRequest, kResponse };

enum class ParseState : std::uint8_t {
  /// More bytes are needed.
  kMore,
  /// The head is whole; a body may follow.
  kHead,
  /// The message is whole.
  kComplete,
  kInvalid,
  /// The head is longer than the limit.
  kHeadTooLarge,
};

/// @brief Reads one message after the other from a stream of bytes.
///
/// Invariant: it stops after each head and at the end of each message, so the
/// bytes of the next message are never consumed before they are asked for.
struct MessageParser {
  explicit MessageParser(MessageKind kind);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  http_parser raw{};
  MessageKind kind;
  ParseState state = ParseState::kMore;
  std::string target;
  Headers headers;
  /// Body bytes that have not been taken yet.
  std::string body;
  bool head_done = false;
  /// The response belongs to a HEAD request and has no body.
  bool no_body = false;
  bool last_was_value = false;
};

/// @brief Gets ready for the next message of the connection.
void Reset(MessageParser& parser);

/// @brief Reads up to the next stop; returns the number of bytes consumed and
/// sets `state`.
std::size_t Parse(MessageParser& parser, std::string_view input);

/// @brief The connection has ended. Sets `state` to kComplete for a body that
/// ends with its connection, to kInvalid within a message.
void ParseEnd(MessageParser& parser);

/// @brief The heads; valid once the head is whole.
RequestHead TakeRequestHead(MessageParser& parser);
ResponseHead TakeResponseHead(MessageParser& parser);

/// @brief Sets the longest head that any parser of this process accepts.
void SetMaxHeadBytes(std::uint32_t bytes);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_PARSER_HPP
