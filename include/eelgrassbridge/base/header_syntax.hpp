// What the head of an HTTP message may contain. The HTTP libraries accept more
// than that, and what they accept may mean something else to the next reader.
#ifndef EELGRASSBRIDGE_BASE_HEADER_SYNTAX_HPP
#define EELGRASSBRIDGE_BASE_HEADER_SYNTAX_HPP

#include <algorithm>
#include <string_view>

namespace eelgrassbridge::base {

/// @brief Returns whether the text is a token (RFC 9110, section 5.6.2), as the
/// name of a header must be.
bool IsToken(std::string_view text);

/// @brief Returns whether the text has no control bytes except tabs.
bool IsHeaderValue(std::string_view text);

/// @brief Returns whether the status is that of a final response: 200 to 599.
bool IsFinalStatus(int status);

/// @brief Returns whether all headers, pairs of a name and a value, are well
/// formed.
template <typename Headers>
bool AreHeadersValid(const Headers& headers) {
  return std::ranges::all_of(headers, [](const auto& header) {
    return IsToken(header.first) && IsHeaderValue(header.second);
  });
}

/// @brief Returns whether the head of a library's response, with the members
/// `status` and `headers`, is that of an answer.
template <typename Response>
bool IsAnswerHead(const Response& response) {
  return IsFinalStatus(response.status) && AreHeadersValid(response.headers);
}

/// @brief Returns whether the value of Transfer-Encoding is "chunked" alone.
bool IsChunkedCoding(std::string_view value);

/// @brief Returns whether the body of a library's response has chunks or a
/// length, but not both. The part of any other body cannot be told apart from
/// the whole.
template <typename Response>
bool HasBodyFraming(const Response& response) {
  const auto codings = response.get_header_value_count("Transfer-Encoding");
  if (codings == 0) {
    return response.has_header("Content-Length");
  }
  return codings == 1 && !response.has_header("Content-Length") &&
         IsChunkedCoding(response.get_header_value("Transfer-Encoding"));
}

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_HEADER_SYNTAX_HPP
