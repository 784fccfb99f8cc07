// Routes by host and path prefix: the service that handles a request, and the
// timeout, priority and limits that apply. Each version is immutable.
#ifndef EELGRASSBRIDGE_CATALOGUE_ROUTE_TABLE_HPP
#define EELGRASSBRIDGE_CATALOGUE_ROUTE_TABLE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Whether a request may be run more than once.
enum class RequestClass : std::uint8_t {
  /// May run more than once.
  kIdempotent,
  /// Runs at most once.
  kNonIdempotent,
  /// A large body that is streamed; runs at most once.
  kUpload,
  /// A large answer; may run more than once.
  kDownload,
};

/// @brief A service of a route with its relative share of the requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string prefix;
  RequestClass request_class = RequestClass::kNonIdempotent;
  /// Maximum time until the caller gets a response.
  base::Duration timeout{base::seconds{60}};
  /// Latency objective: an answer within this time has its full value.
  base::Duration objective{base::seconds{1}};
  /// Zero is the highest priority.
  std::uint32_t priority = 0;
  /// Maximum number of targets to which one request is sent.
  std::uint32_t max_attempts = 1;
  /// Regions that may receive the request; empty means all.
  std::vector<std::string> home_regions;
  /// Never empty.
  std::vector<WeightedService> services;
  /// Requests need no API key, even if accounts are in use.
  bool is_public = false;
};

/// @brief The properties of a service that routing uses.
struct RoutedService {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;
  /// Requests per second that a cold target can handle; zero if no limit is
  /// known.
  double cold_requests_per_second = 0;
  /// Requests carry a key, and a target serves only the keys that it owns.
  bool divided_by_key = false;
};

/// @brief A client account, as routing and the limits use it.
struct RoutedAccount {
  std::string name;
  /// Takes precedence over the priority of the route.
  std::optional<std::uint32_t> priority;
  /// Regions that may receive its requests; empty means all.
  std::vector<std::string> home_regions;
  /// Limit over all daemons together; zero means unlimited.
  double requests_per_second = 0;
  /// Requests beyond the rate that may be sent at once.
  double burst = 0;
};

/// @brief Limits on the requests of a caller; durations are in microseconds.
struct CallerLimits {
  std::uint32_t max_head_bytes = 16384;
  std::uint64_t max_body_bytes = 64ULL << 20U;
  base::Duration head_timeout{base::seconds{3}};
  base::Duration idle_timeout{base::seconds{15}};
};

/// @brief One version of the route table.
struct RouteTable {
  std::uint64_t version = 0;
  /// Routes of each host, longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> by_host;
  std::map<std::string, RoutedService, std::less<>> services;
  /// Requests need an API key unless their route is public. Also set if the
  /// configuration has a table of accounts without rows: the withdrawal of the
  /// last account must not open the routes to everybody.
  bool uses_accounts = false;
  /// By name.
  std::map<std::string, RoutedAccount, std::less<>> accounts;
  /// Name of the account of each API key. The keys are secret: they must not be
  /// logged, counted or sent.
  std::map<std::string, std::string, std::less<>> account_of_key;
  CallerLimits limits;
};

/// @brief Adds a route, keeping the routes of a host sorted by prefix length.
void AddRoute(RouteTable& table, Route route);

/// @brief Returns the route whose prefix is the longest match of the path, or
/// null if none matches.
const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view path);

const RoutedService* FindService(const RouteTable& table,
                                 std::string_view name);

const RoutedAccount* FindAccount(const RouteTable& table,
                                 std::string_view name);

/// @brief Returns the account of an API key; null if no account has it, as is
/// always so for an empty one.
const RoutedAccount* FindAccountByKey(const RouteTable& table,
                                      std::string_view key);

/// @brief Adds an account with its API keys. Fails with kCatalogueInvalid if
/// there is an account of that name, if a key is empty, or if another account
/// has the key; the error names no key.
base::Result<void> AddAccount(RouteTable& table,
                              RoutedAccount account,
                              std::span<const std::string> keys);

/// @brief Returns the account of a request with this key (empty if it has
/// none). Null if accounts are not in use, or if the route is public and the
/// key unknown. Fails with kUnauthorized if the request must not run.
base::Result<const RoutedAccount*> IdentifyAccount(const RouteTable& table,
                                                   const Route& route,
                                                   std::string_view key);

/// @brief The account of a request that has been admitted, and what it is
/// based on.
struct AccountClaim {
  /// Empty if the request has none.
  std::string_view account;
  /// Known only to the daemon that received the request from its caller; empty
  /// elsewhere.
  std::string_view key;
  /// Elsewhere: the version in which the sender of the request has found the
  /// account.
  std::uint64_t found_in = 0;
};

/// @brief Whether the request may still be sent to a target. With the key, the
/// key must belong to the account in this version. Without it, the account must
/// exist in this version, unless the sender has found it in a later one.
bool IsClaimValid(const RouteTable& table, const AccountClaim& claim);

/// @brief Selects the service for one request by weight; `random` is a
/// uniformly distributed number.
const std::string& PickService(const Route& route, std::uint64_t random);

/// @brief Whether a request of this class may be run more than once.
inline bool IsIdempotent(RequestClass request_class) {
  return request_class == RequestClass::kIdempotent ||
         request_class == RequestClass::kDownload;
}

/// @brief Whether a route of the service, or one that its requests may be
/// split to, carries downloads.
bool ServesDownloads(const RouteTable& table, std::string_view service);

/// @brief Whether the load on this deployment calls for limits that are learned
/// from the targets' answers, and for fast rebalancing of key ranges: there are
/// downloads, or no route leaves time for a second attempt after a late first
/// one, because each timeout is at most 3 times the latency objective.
bool NeedsAdaptiveLimits(const RouteTable& table);

/// @brief Returns whether a region may receive requests that are made on the
/// route for the account, which may be null.
bool MayServe(const Route& route,
              const RoutedAccount* account,
              std::string_view region);

/// @brief Returns the regions that may receive such requests; none means all,
/// an empty list that no region may.
std::optional<std::vector<std::string>> AllowedRegions(
    const Route& route,
    const RoutedAccount* account);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_ROUTE_TABLE_HPP
