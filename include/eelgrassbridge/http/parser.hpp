// Incremental parser of HTTP/1.1 messages, based on http-parser.
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
  /// The head is complete; a body may follow.
  kHead,
  /// The message is complete.
  kComplete,
  kInvalid,
  /// The head is longer than the limit of SetMaxHeadBytes, or has too many
  /// headers.
  kHeadTooLarge,
};

/// @brief Parses consecutive messages from a byte stream.
///
/// Invariants: parsing pauses after each head and at the end of each message,
/// so bytes of the next message are consumed only after Reset. `head_done` is
/// set only for a head that is well formed to its last byte.
struct MessageParser {
  explicit MessageParser(MessageKind kind);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  http_parser raw{};
  MessageKind kind;
  ParseState state = ParseState::kMore;
  std::string target;
  Headers headers;
  /// Decoded body bytes that the user hasn't removed yet.
  std::string body;
  bool head_done = false;
  /// http-parser has reached the end of the head; it accepts some that are not
  /// well formed.
  bool head_parsed = false;
  /// Last byte that http-parser has consumed.
  char last_byte = 0;
  /// Parsing is in the data of a chunk or in the line end after it.
  bool in_chunk_data = false;
  /// Parsing has paused before or after the data of a chunk.
  bool between_chunk_parts = false;
  /// Set for the response to a HEAD request, which has no body.
  bool no_body = false;
  /// Start of the status line, as far as it is needed to check the status.
  std::string status_line;
  /// Whether the last callback of http-parser delivered a header value rather
  /// than a name; both may arrive in several pieces.
  bool last_was_value = false;
};

/// @brief Prepares for the next message of the connection.
void Reset(MessageParser& parser);

/// @brief Parses up to the next pause or the end of the input. Returns the
/// number of bytes consumed and sets `state`. Invalid are a response whose
/// status is not three digits from 100 to 599, and a message with a header
/// whose name is not a token, that continues on a second line, or whose line
/// does not end with CRLF, and a chunk whose lines do not end so.
std::size_t Parse(MessageParser& parser, std::string_view input);

/// @brief Handles the end of the connection. Sets `state` to kComplete if it
/// delimits the body, and to kInvalid in the middle of a message.
void ParseEnd(MessageParser& parser);

/// @brief Moves the head out of the parser. The head must be complete.
RequestHead TakeRequestHead(MessageParser& parser);
ResponseHead TakeResponseHead(MessageParser& parser);

/// @brief Sets the maximum size of a head, for all parsers of the process.
void SetMaxHeadBytes(std::uint32_t bytes);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_PARSER_HPP
