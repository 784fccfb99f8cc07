// What the head of an HTTP message may contain. The HTTP libraries accept more
// than that, and what they accept may mean something else to the next reader.
#ifndef EELGRASSBRIDGE_BASE_HEADER_SYNTAX_HPP
#define EELGRASSBRIDGE_BASE_HEADER_SYNTAX_HPP

#include <string_view>

namespace eelgrassbridge::base {

/// @brief Returns whether the text is a token (RFC 9110, section 5.6.2), as the
/// name of a header must be.
bool IsToken(std::string_view text);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_HEADER_SYNTAX_HPP
