// Heads of HTTP/1.1 messages and the rules for passing them on.
#ifndef EELGRASSBRIDGE_HTTP_MESSAGE_HPP
#define EELGRASSBRIDGE_HTTP_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbridge::http {

struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

struct RequestHead {
  std::string method;
  /// Path with query, as received.
  std::string target;
  Headers headers;
  bool keep_alive = true;
  bool has_body = false;
  /// None for a chunked body.
  std::optional<std::uint64_t> length;
};

struct ResponseHead {
  int status = 0;
  Headers headers;
  bool keep_alive = true;
  /// None for a chunked body and for one that ends with the connection.
  std::optional<std::uint64_t> length;
};

/// @brief How the end of a body is marked on the wire.
struct Framing {
  enum class Kind : std::uint8_t { kNone, kLength, kChunked };
  Kind kind = Kind::kNone;
  std::uint64_t length = 0;
};

/// @brief Names of headers are compared without regard to case.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

/// @brief The first header of that name; null if there is none.
const std::string* Find(const Headers& headers, std::string_view name);

/// @brief The value of the first header of that name, or empty.
std::string_view HeaderValue(const Headers& headers, std::string_view name);

void Remove(Headers& headers, std::string_view name);
void Set(Headers& headers, std::string_view name, std::string value);

/// @brief The headers that may be passed on: all but those of one connection
/// (RFC 9110, section 7.6.1), those named by Connection, and the framing.
Headers EndToEndHeaders(const Headers& headers);

/// @brief Path without the query.
std::string_view PathWithoutQuery(std::string_view target);

/// @brief A whole decimal number; none for anything else.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

std::string FormatRequestHead(std::string_view method,
                              std::string_view target,
                              const Headers& headers,
                              const Framing& framing);
std::string FormatResponseHead(int status,
                               const Headers& headers,
                               const Framing& framing,
                               bool keep_alive);

/// @brief One chunk of a chunked body; an empty one ends the body.
std::string FormatChunk(std::string_view data);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_MESSAGE_HPP
