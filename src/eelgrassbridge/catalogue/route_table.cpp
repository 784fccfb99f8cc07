// Lookup of routes and the weighted selection of a service.
#include "eelgrassbridge/catalogue/route_table.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>

namespace eelgrassbridge::catalogue {

namespace {

/// Ratio of timeout to latency objective up to which a route counts as tight.
constexpr double kTightTimeoutRatio = 3;

/// Whether a predicate holds for any route of the table.
template <typename Predicate>
bool AnyRoute(const RouteTable& table, const Predicate& predicate) {
  return std::ranges::any_of(table.by_host, [&predicate](const auto& host) {
    return std::ranges::any_of(host.second, predicate);
  });
}

/// Whether a list of regions allows one; an empty list allows all.
bool IsListed(const std::vector<std::string>& regions,
              std::string_view region) {
  return regions.empty() || std::ranges::find(regions, region) != regions.end();
}

bool IsTight(const Route& route) {
  return static_cast<double>(route.timeout.count()) <=
         static_cast<double>(route.objective.count()) * kTightTimeoutRatio;
}

}  // namespace

void AddRoute(RouteTable& table, Route route) {
  std::vector<Route>& routes = table.by_host[route.host];
  const auto place = std::ranges::find_if(routes, [&route](const Route& other) {
    return other.prefix.size() < route.prefix.size();
  });
  routes.insert(place, std::move(route));
}

const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view path) {
  const auto found = table.by_host.find(host);
  if (found == table.by_host.end()) {
    return nullptr;
  }
  for (const Route& route : found->second) {
    if (path.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const RoutedService* FindService(const RouteTable& table,
                                 std::string_view name) {
  const auto found = table.services.find(name);
  return found == table.services.end() ? nullptr : &found->second;
}

const RoutedAccount* FindAccount(const RouteTable& table,
                                 std::string_view name) {
  const auto found = table.accounts.find(name);
  return found == table.accounts.end() ? nullptr : &found->second;
}

const RoutedAccount* FindAccountByKey(const RouteTable& table,
                                      std::string_view key) {
  const auto found = table.account_of_key.find(key);
  return found == table.account_of_key.end()
             ? nullptr
             : FindAccount(table, found->second);
}

base::Result<void> AddAccount(RouteTable& table,
                              RoutedAccount account,
                              std::span<const std::string> keys) {
  if (table.accounts.contains(account.name)) {
    return base::Fail(base::ErrorKind::kCatalogueInvalid,
                      "two accounts are named " + account.name);
  }
  for (const std::string& key : keys) {
    if (key.empty()) {
      return base::Fail(base::ErrorKind::kCatalogueInvalid,
                        "an API key is empty, of account " + account.name);
    }
    const auto [entry, added] = table.account_of_key.emplace(key, account.name);
    if (!added && entry->second != account.name) {
      return base::Fail(base::ErrorKind::kCatalogueInvalid,
                        fmt::format("accounts {} and {} have the same API key",
                                    entry->second, account.name));
    }
  }
  const std::string name = account.name;
  table.accounts.emplace(name, std::move(account));
  return base::outcome::success();
}

base::Result<const RoutedAccount*> IdentifyAccount(const RouteTable& table,
                                                   const Route& route,
                                                   std::string_view key) {
  const RoutedAccount* const account =
      table.uses_accounts ? FindAccountByKey(table, key) : nullptr;
  if (account == nullptr && table.uses_accounts && !route.is_public) {
    return base::Fail(
        base::ErrorKind::kUnauthorized,
        key.empty() ? "the API key is missing" : "the API key is unknown");
  }
  return account;
}

bool IsClaimValid(const RouteTable& table, const AccountClaim& claim) {
  if (claim.account.empty() || !table.uses_accounts) {
    return true;
  }
  if (!claim.key.empty()) {
    const RoutedAccount* const account = FindAccountByKey(table, claim.key);
    return account != nullptr && account->name == claim.account;
  }
  return table.version < claim.found_in ||
         FindAccount(table, claim.account) != nullptr;
}

const std::string& PickService(const Route& route, std::uint64_t random) {
  std::uint64_t total = 0;
  for (const WeightedService& option : route.services) {
    total += option.weight;
  }
  std::uint64_t draw = total == 0 ? 0 : random % total;
  for (const WeightedService& option : route.services) {
    if (draw < option.weight) {
      return option.service;
    }
    draw -= option.weight;
  }
  return route.services.front().service;
}

bool ServesDownloads(const RouteTable& table, std::string_view service) {
  return AnyRoute(table, [service](const Route& route) {
    return route.request_class == RequestClass::kDownload &&
           std::ranges::any_of(route.services,
                               [service](const WeightedService& option) {
                                 return option.service == service;
                               });
  });
}

bool NeedsAdaptiveLimits(const RouteTable& table) {
  const bool has_downloads = AnyRoute(table, [](const Route& route) {
    return route.request_class == RequestClass::kDownload;
  });
  if (has_downloads) {
    return true;
  }
  return !table.by_host.empty() &&
         !AnyRoute(table, [](const Route& route) { return !IsTight(route); });
}

bool MayServe(const Route& route,
              const RoutedAccount* account,
              std::string_view region) {
  return IsListed(route.home_regions, region) &&
         (account == nullptr || IsListed(account->home_regions, region));
}

std::optional<std::vector<std::string>> AllowedRegions(
    const Route& route,
    const RoutedAccount* account) {
  if (account == nullptr || account->home_regions.empty()) {
    return route.home_regions.empty() ? std::nullopt
                                      : std::optional(route.home_regions);
  }
  std::vector<std::string> regions;
  std::ranges::copy_if(account->home_regions, std::back_inserter(regions),
                       [&route](const std::string& region) {
                         return IsListed(route.home_regions, region);
                       });
  return regions;
}

}  // namespace eelgrassbridge::catalogue
