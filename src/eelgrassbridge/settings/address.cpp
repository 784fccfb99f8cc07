// Parses and formats addresses.
#include <arpa/inet.h>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <charconv>

#include "eelgrassbridge/settings/read_settings.hpp"

namespace eelgrassbridge::settings {

namespace {

bool IsIp(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(family, text.c_str(), buffer.data()) == 1;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::string ip(text.substr(0, colon));
  Address address;
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), address.port);
  if (error != std::errc() || end != port_text.data() + port_text.size() ||
      address.port == 0) {
    return std::nullopt;
  }
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    if (!IsIp(AF_INET6, ip)) {
      return std::nullopt;
    }
  } else if (!IsIp(AF_INET, ip)) {
    return std::nullopt;
  }
  address.ip = std::move(ip);
  return address;
}

std::string ToString(const Address& address) {
  const bool is_ipv6 = address.ip.find(':') != std::string::npos;
  return is_ipv6 ? fmt::format("[{}]:{}", address.ip, address.port)
                 : fmt::format("{}:{}", address.ip, address.port);
}

}  // namespace eelgrassbridge::settings
