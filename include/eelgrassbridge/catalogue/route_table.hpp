// Routes by host and path prefix: which service a request goes to, and under
// which terms. One version of it is immutable.
#ifndef EELGRASSBRIDGE_CATALOGUE_ROUTE_TABLE_HPP
#define EELGRASSBRIDGE_CATALOGUE_ROUTE_TABLE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::catalogue {

/// @brief What may be repeated.
enum class RequestClass : std::uint8_t {
  /// May run more than once.
  kIdempotent,
  /// Runs at most once.
  kNonIdempotent,
  /// A large body that is streamed; runs at most once.
  kUpload,
};

/// @brief A service that a route sends to, with its share of the requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RequestClass request_class = RequestClass::kNonIdempotent;
  /// Longest time that a caller is kept waiting.
  base::Duration timeout{base::seconds{60}};
  /// Time within which an answer has its full worth.
  base::Duration objective{base::seconds{1}};
  /// Zero is the most urgent.
  std::uint32_t priority = 0;
  /// Targets that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// Regions that may receive the request; empty: all.
  std::vector<std::string> home_regions;
  /// Never empty.
  std::vector<WeightedService> services;
};

/// @brief A service as routing needs to know it.
struct RoutedService {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;
  /// Requests a second that a cold target bears; zero: no limit is known.
  double cold_requests_per_second = 0;
  /// Requests carry a key, and a target serves only keys that it holds.
  bool divided_by_key = false;
};

/// @brief Limits on what a caller may send; times in microseconds.
struct CallerLimits {
  std::uint32_t max_head_bytes = 16384;
  std::uint64_t max_body_bytes = 64ULL << 20U;
  base::Duration head_timeout{base::seconds{3}};
  base::Duration idle_timeout{base::seconds{15}};
};

/// @brief One version of the routes.
struct RouteTable {
  std::uint64_t version = 0;
  /// Routes of each host, longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> by_host;
  std::map<std::string, RoutedService, std::less<>> services;
  CallerLimits limits;
};

/// @brief Adds a route, keeping the order by prefix length.
void AddRoute(RouteTable& table, Route route);

/// @brief The route with the longest prefix of the path; null if none matches.
const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view path);

const RoutedService* FindService(const RouteTable& table,
                                 std::string_view name);

/// @brief The service for one request: `random` picks by weight.
const std::string& PickService(const Route& route, std::uint64_t random);

/// @brief Whether a region may receive requests of the route.
bool MayServe(const Route& route, std::string_view region);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_ROUTE_TABLE_HPP
