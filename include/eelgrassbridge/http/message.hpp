// Heads of HTTP/1.1 messages: header lookup, the headers that a proxy forwards,
// and serialization.
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
  /// Unset for a chunked body.
  std::optional<std::uint64_t> length;
};

struct ResponseHead {
  int status = 0;
  Headers headers;
  bool keep_alive = true;
  /// Unset for a chunked body and for a body that is delimited by the end of
  /// the connection.
  std::optional<std::uint64_t> length;
};

/// @brief How the length of a body is conveyed (RFC 9112, section 6).
struct Framing {
  enum class Kind : std::uint8_t { kNone, kLength, kChunked };
  Kind kind = Kind::kNone;
  std::uint64_t length = 0;
};

/// @brief ASCII case-insensitive comparison, e.g. for header names.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

/// @brief Returns the value of the first header of that name, or null.
const std::string* Find(const Headers& headers, std::string_view name);

/// @brief Returns the value of the first header of that name, or an empty
/// string.
std::string_view HeaderValue(const Headers& headers, std::string_view name);

/// @brief Removes all headers of that name.
void Remove(Headers& headers, std::string_view name);
/// @brief Replaces all headers of that name with one.
void Set(Headers& headers, std::string_view name, std::string value);

/// @brief Returns the headers that a proxy forwards: all but the hop-by-hop
/// ones (RFC 9110, section 7.6.1), those listed in Connection, and the framing.
Headers EndToEndHeaders(const Headers& headers);

std::string_view PathWithoutQuery(std::string_view target);

/// @brief Parses an unsigned decimal integer. Returns nothing if the text holds
/// anything else.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

std::string FormatRequestHead(std::string_view method,
                              std::string_view target,
                              const Headers& headers,
                              const Framing& framing);
std::string FormatResponseHead(int status,
                               const Headers& headers,
                               const Framing& framing,
                               bool keep_alive);

/// @brief Encodes one chunk of a chunked body. Empty data gives the last chunk,
/// which ends the body.
std::string FormatChunk(std::string_view data);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_MESSAGE_HPP
