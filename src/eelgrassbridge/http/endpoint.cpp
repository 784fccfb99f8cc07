// Parses IP addresses with a port.
#include "eelgrassbridge/http/endpoint.hpp"

#include <cstdint>
#include <string>
#include <system_error>

#include "eelgrassbridge/http/message.hpp"

namespace eelgrassbridge::http {

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::error_code error;
  const auto address =
      asio::ip::make_address(std::string(text.substr(0, colon)), error);
  const auto port = ParseNumber(text.substr(colon + 1));
  if (error || !port || *port == 0 || *port > UINT16_MAX) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(*port));
}

}  // namespace eelgrassbridge::http
