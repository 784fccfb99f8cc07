// Reads and checks the client account of a request.
#include "eelgrassbridge/node/account.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace eelgrassbridge::node {

std::string_view ReadApiKey(const http::Headers& headers,
                            const HeaderNames& names) {
  const auto has_name = [&names](const http::Header& header) {
    return http::EqualsIgnoreCase(header.name, names.credentials);
  };
  // Of several credentials, this daemon and the target could each take another
  // one for the caller's.
  if (std::ranges::count_if(headers, has_name) != 1) {
    return {};
  }
  std::string_view value = http::HeaderValue(headers, names.credentials);
  const std::size_t scheme_end = value.find(' ');
  if (scheme_end == std::string_view::npos ||
      !http::EqualsIgnoreCase(value.substr(0, scheme_end),
                              names.credentials_scheme)) {
    return {};
  }
  value.remove_prefix(
      std::min(value.find_first_not_of(' ', scheme_end), value.size()));
  return value.substr(0, value.find_last_not_of(' ') + 1);
}

base::Result<void> SetAccount(Node& node,
                              const catalogue::RouteTable& routes,
                              const catalogue::Route& route,
                              const http::Headers& headers,
                              RequestTerms& terms) {
  const std::string_view key = ReadApiKey(headers, node.port.headers);
  const auto account = catalogue::IdentifyAccount(routes, route, key);
  if (!account) {
    Count(node, "account_refusals_total",
          key.empty() ? "cause=\"missing_key\"" : "cause=\"unknown_key\"");
    return base::Fail(account.error().kind, account.error().detail);
  }
  if (account.value() != nullptr) {
    terms.account = account.value()->name;
    terms.api_key = key;
    terms.priority = account.value()->priority.value_or(route.priority);
  }
  return base::outcome::success();
}

bool IsAccountInForce(const Node& node, const RequestTerms& terms) {
  return !node.routes ||
         catalogue::IsClaimValid(*node.routes, {terms.account, terms.api_key,
                                                terms.account_found_in});
}

bool DropAccount(const catalogue::Route& route, RequestTerms& terms) {
  if (!route.is_public) {
    return false;
  }
  terms.account.clear();
  terms.api_key.clear();
  terms.priority = route.priority;
  return true;
}

void RemoveAccountHeaders(const Node& node, http::Headers& headers) {
  if (node.routes && node.routes->uses_accounts) {
    http::Remove(headers, node.port.headers.credentials);
    http::Remove(headers, node.port.headers.account);
  }
}

std::string EncodeAccount(std::string_view account, std::uint64_t found_in) {
  return fmt::format("{};{}", found_in, account);
}

base::Result<void> DecodeAccount(std::string_view text, RequestTerms& terms) {
  if (text.empty()) {
    return base::outcome::success();
  }
  const std::size_t separator = text.find(';');
  const auto found_in = http::ParseNumber(text.substr(0, separator));
  if (separator == std::string_view::npos || !found_in ||
      separator + 1 == text.size()) {
    return base::Fail(base::ErrorKind::kBadRequest, "invalid account");
  }
  terms.account_found_in = *found_in;
  terms.account = text.substr(separator + 1);
  return base::outcome::success();
}

}  // namespace eelgrassbridge::node
