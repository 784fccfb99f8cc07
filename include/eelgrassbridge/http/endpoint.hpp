// Addresses of servers as text.
#ifndef EELGRASSBRIDGE_HTTP_ENDPOINT_HPP
#define EELGRASSBRIDGE_HTTP_ENDPOINT_HPP

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace eelgrassbridge::http {

/// @brief Parses an address such as "10.0.0.1:80". Returns nothing for other
/// text, including host names and port 0.
std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_ENDPOINT_HPP
