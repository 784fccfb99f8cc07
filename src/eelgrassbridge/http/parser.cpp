// http-parser callbacks, which collect each message in its MessageParser.
#include "eelgrassbridge/http/parser.hpp"

#include <algorithm>
#include <utility>

#include "eelgrassbridge/base/header_syntax.hpp"

namespace eelgrassbridge::http {

namespace {

constexpr unsigned int kFirstStatus = 100;
constexpr unsigned int kFirstFinalStatus = 200;
constexpr unsigned int kLastStatus = 599;
constexpr std::size_t kStatusDigits = 3;
/// The version, the status and more spaces between them than any server sends.
constexpr std::size_t kMaxStatusLineBytes = 32;
/// An empty header takes 4 bytes of a head and many times as much in memory.
constexpr std::size_t kMaxHeaderFields = 512;

MessageParser& Self(http_parser* raw) {
  return *static_cast<MessageParser*>(raw->data);
}

int OnUrl(http_parser* raw, const char* data, std::size_t size) {
  Self(raw).target.append(data, size);
  return 0;
}

int OnHeaderField(http_parser* raw, const char* data, std::size_t size) {
  MessageParser& self = Self(raw);
  // A name may arrive in pieces, also empty ones. http-parser accepts spaces in
  // it.
  if (size > 0 && !base::IsToken({data, size})) {
    return -1;
  }
  if (self.head_done) {
    return 0;  // Trailers are ignored.
  }
  if (self.headers.empty() || self.last_was_value) {
    if (self.headers.size() >= kMaxHeaderFields) {
      self.state = ParseState::kHeadTooLarge;
      return -1;
    }
    self.headers.emplace_back();
    self.last_was_value = false;
  }
  self.headers.back().name.append(data, size);
  return 0;
}

int OnHeaderValue(http_parser* raw, const char* data, std::size_t size) {
  MessageParser& self = Self(raw);
  if (!self.head_done) {
    self.last_was_value = true;
    self.headers.back().value.append(data, size);
  }
  return 0;
}

/// Removes the spaces and tabs around a value, which are no part of it (RFC
/// 9110, section 5.5).
void Trim(std::string& value) {
  static constexpr std::string_view kWhiteSpace = " \t";
  value.erase(value.find_last_not_of(kWhiteSpace) + 1);
  value.erase(0, value.find_first_not_of(kWhiteSpace));
}

/// Whether the body has no transfer coding besides chunks. Another one would be
/// lost with the header, which is not passed on.
bool IsTransferCodingKnown(const Headers& headers) {
  return std::ranges::all_of(headers, [](const Header& header) {
    return !EqualsIgnoreCase(header.name, "Transfer-Encoding") ||
           EqualsIgnoreCase(header.value, "chunked");
  });
}

/// Whether this is a 1xx response, which ends with its head whatever its
/// headers say (RFC 9110, section 15.2).
bool IsInterim(const MessageParser& parser) {
  return parser.kind == MessageKind::kResponse &&
         parser.raw.status_code < kFirstFinalStatus;
}

int OnHeadersComplete(http_parser* raw) {
  MessageParser& self = Self(raw);
  for (Header& header : self.headers) {
    Trim(header.value);
  }
  if (!IsTransferCodingKnown(self.headers)) {
    return -1;
  }
  self.head_parsed = true;
  http_parser_pause(raw, 1);
  return self.no_body || IsInterim(self) ? 1 : 0;
}

int OnBody(http_parser* raw, const char* data, std::size_t size) {
  Self(raw).body.append(data, size);
  return 0;
}

int OnMessageComplete(http_parser* raw) {
  Self(raw).state = ParseState::kComplete;
  http_parser_pause(raw, 1);
  return 0;
}

/// Pauses between the line of a chunk's size and its data, as their line ends
/// are checked in different ways.
int OnChunkHeader(http_parser* raw) {
  MessageParser& self = Self(raw);
  self.in_chunk_data = raw->content_length > 0;
  self.between_chunk_parts = true;
  http_parser_pause(raw, 1);
  return 0;
}

/// Pauses after the line end that follows the data of a chunk.
int OnChunkComplete(http_parser* raw) {
  MessageParser& self = Self(raw);
  if (self.in_chunk_data) {
    self.in_chunk_data = false;
    self.between_chunk_parts = true;
    http_parser_pause(raw, 1);
  }
  return 0;
}

http_parser_settings MakeSettings() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = OnUrl;
  settings.on_header_field = OnHeaderField;
  settings.on_header_value = OnHeaderValue;
  settings.on_headers_complete = OnHeadersComplete;
  settings.on_body = OnBody;
  settings.on_chunk_header = OnChunkHeader;
  settings.on_chunk_complete = OnChunkComplete;
  settings.on_message_complete = OnMessageComplete;
  return settings;
}

const http_parser_settings& Settings() {
  static const http_parser_settings settings = MakeSettings();
  return settings;
}

void SetFailure(MessageParser& parser, http_errno code) {
  if (code == HPE_HEADER_OVERFLOW) {
    parser.state = ParseState::kHeadTooLarge;
  } else if (parser.state != ParseState::kHeadTooLarge) {
    parser.state = ParseState::kInvalid;
  }
}

/// Keeps the start of the status line. http-parser tells the value of a status,
/// but not its number of digits, and skips empty lines before it.
void RecordStatusLine(MessageParser& parser, std::string_view input) {
  if (parser.status_line.empty()) {
    input.remove_prefix(
        std::min(input.find_first_not_of("\r\n"), input.size()));
  }
  parser.status_line +=
      input.substr(0, kMaxStatusLineBytes - parser.status_line.size());
}

bool IsStatusValid(const MessageParser& parser) {
  const std::string_view line = parser.status_line;
  const std::size_t first =
      line.find_first_not_of(' ', std::min(line.find(' '), line.size()));
  if (first == std::string_view::npos) {
    return false;
  }
  const std::size_t end = line.find_first_not_of("0123456789", first);
  return end == first + kStatusDigits &&
         parser.raw.status_code >= kFirstStatus &&
         parser.raw.status_code <= kLastStatus;
}

/// Whether the lines in this piece of a head, or of a chunked body without its
/// data, end with CRLF and none continues the line before it. http-parser takes
/// a single LF for the end of a line, and joins continued values in another way
/// than it reads them.
bool AreLinesValid(MessageParser& parser, std::string_view lines) {
  return std::ranges::all_of(lines, [&parser](char byte) {
    const char before = std::exchange(parser.last_byte, byte);
    const bool continues_line = before == '\n' && (byte == ' ' || byte == '\t');
    return (before == '\r') == (byte == '\n') && !continues_line;
  });
}

/// Checks what http-parser leaves unchecked in the piece of a head that it has
/// consumed. It stops before the last line feed, and takes any byte for it.
void CheckHead(MessageParser& parser,
               std::string_view consumed,
               std::string_view rest) {
  if (parser.kind == MessageKind::kResponse) {
    RecordStatusLine(parser, consumed);
  }
  if (!AreLinesValid(parser, consumed)) {
    parser.state = ParseState::kInvalid;
    return;
  }
  if (!parser.head_parsed) {
    return;
  }
  const bool ends_with_crlf =
      parser.last_byte == '\r' && rest.starts_with('\n');
  const bool has_status =
      parser.kind == MessageKind::kRequest || IsStatusValid(parser);
  parser.head_done = ends_with_crlf && has_status;
  parser.state = parser.head_done ? ParseState::kHead : ParseState::kInvalid;
}

/// Length of the body as the parser reads it; none for a chunked body and
/// without a length.
std::optional<std::uint64_t> LengthOf(const MessageParser& parser) {
  return (parser.raw.flags & F_CONTENTLENGTH) != 0
             ? std::optional<std::uint64_t>(parser.raw.content_length)
             : std::nullopt;
}

bool IsChunked(const MessageParser& parser) {
  return (parser.raw.flags & F_CHUNKED) != 0;
}

/// Checks the lines of a chunked body in the piece that http-parser has
/// consumed up to a pause: it takes any two bytes for the end of a chunk's
/// data.
void CheckChunkLines(MessageParser& parser,
                     std::string_view consumed,
                     bool was_in_data) {
  bool valid = true;
  if (!was_in_data) {
    valid = AreLinesValid(parser, consumed);
  } else if (!parser.in_chunk_data) {
    valid = consumed.size() > 1 ? consumed.ends_with("\r\n")
                                : consumed == "\n" && parser.last_byte == '\r';
  }
  if (!consumed.empty()) {
    parser.last_byte = consumed.back();
  }
  if (!valid) {
    parser.state = ParseState::kInvalid;
  }
}

/// Parses up to the next pause of http-parser or the end of the input.
std::size_t ParseStep(MessageParser& parser, std::string_view input) {
  const bool was_in_data = parser.in_chunk_data;
  parser.between_chunk_parts = false;
  if (HTTP_PARSER_ERRNO(&parser.raw) == HPE_PAUSED) {
    http_parser_pause(&parser.raw, 0);
  }
  const std::size_t consumed =
      http_parser_execute(&parser.raw, &Settings(), input.data(), input.size());
  const http_errno code = HTTP_PARSER_ERRNO(&parser.raw);
  if (code != HPE_OK && code != HPE_PAUSED) {
    SetFailure(parser, code);
  } else if (parser.raw.upgrade != 0) {
    // CONNECT and protocol upgrades are not supported.
    parser.state = ParseState::kInvalid;
  } else if (!parser.head_done) {
    CheckHead(parser, input.substr(0, consumed), input.substr(consumed));
  } else if (IsChunked(parser)) {
    CheckChunkLines(parser, input.substr(0, consumed), was_in_data);
  }
  return consumed;
}

}  // namespace

MessageParser::MessageParser(MessageKind message_kind) : kind(message_kind) {
  Reset(*this);
}

void Reset(MessageParser& parser) {
  http_parser_init(&parser.raw, parser.kind == MessageKind::kRequest
                                    ? HTTP_REQUEST
                                    : HTTP_RESPONSE);
  parser.raw.data = &parser;
  parser.state = ParseState::kMore;
  parser.target.clear();
  parser.headers.clear();
  parser.body.clear();
  parser.head_done = false;
  parser.head_parsed = false;
  parser.last_byte = 0;
  parser.in_chunk_data = false;
  parser.between_chunk_parts = false;
  parser.no_body = false;
  parser.status_line.clear();
  parser.last_was_value = false;
}

std::size_t Parse(MessageParser& parser, std::string_view input) {
  parser.state = ParseState::kMore;
  std::size_t consumed = 0;
  do {
    consumed += ParseStep(parser, input.substr(consumed));
  } while (parser.between_chunk_parts && parser.state == ParseState::kMore &&
           consumed < input.size());
  return consumed;
}

void ParseEnd(MessageParser& parser) {
  parser.state = ParseState::kMore;
  if (HTTP_PARSER_ERRNO(&parser.raw) == HPE_PAUSED) {
    http_parser_pause(&parser.raw, 0);
  }
  http_parser_execute(&parser.raw, &Settings(), "", 0);
  if (parser.state != ParseState::kComplete) {
    parser.state = ParseState::kInvalid;
  }
}

RequestHead TakeRequestHead(MessageParser& parser) {
  RequestHead head;
  head.method = http_method_str(static_cast<http_method>(parser.raw.method));
  head.target = std::move(parser.target);
  head.headers = std::move(parser.headers);
  head.keep_alive = http_should_keep_alive(&parser.raw) != 0;
  if (!IsChunked(parser)) {
    // A request without a length has no body.
    head.length = LengthOf(parser).value_or(0);
  }
  head.has_body = IsChunked(parser) || *head.length > 0;
  return head;
}

ResponseHead TakeResponseHead(MessageParser& parser) {
  ResponseHead head;
  head.status = static_cast<int>(parser.raw.status_code);
  head.headers = std::move(parser.headers);
  head.keep_alive = http_should_keep_alive(&parser.raw) != 0;
  if (!IsChunked(parser)) {
    head.length = LengthOf(parser);
  }
  return head;
}

void SetMaxHeadBytes(std::uint32_t bytes) {
  http_parser_set_max_header_size(bytes);
}

}  // namespace eelgrassbridge::http
