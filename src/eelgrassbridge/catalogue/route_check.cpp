// Errors, rows without effect and contradictory limits of a configuration.
#include "eelgrassbridge/catalogue/route_check.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace eelgrassbridge::catalogue {

namespace {

struct Checker {
  const RouteRows& rows;
  const KnownRegions& regions;
  RouteFindings findings;
};

void Add(Checker& checker,
         FindingKind kind,
         const RowPlace& place,
         std::string message) {
  checker.findings.push_back({kind, place, std::move(message)});
}

double Seconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

bool HasRegion(const std::vector<std::string>& regions,
               const std::string& region) {
  return std::ranges::find(regions, region) != regions.end();
}

/// Reports a name that is absent or that an earlier row has. Rows are
/// remembered in `first_rows`, by name.
void CheckName(Checker& checker,
               std::map<std::string, std::size_t>& first_rows,
               const RowPlace& place) {
  if (place.name.empty()) {
    Add(checker, FindingKind::kError, place, "the name is empty");
    return;
  }
  const auto [first, added] = first_rows.emplace(place.name, place.row);
  if (!added) {
    Add(checker, FindingKind::kError, place,
        fmt::format("the name is given twice, first in row {}", first->second));
  }
}

/// Reports home regions without a data centre, and a list of which no region
/// has one.
void CheckRegions(Checker& checker,
                  const RowPlace& place,
                  const std::vector<std::string>& home_regions) {
  if (checker.regions.empty()) {
    return;
  }
  std::size_t known = 0;
  for (const std::string& region : home_regions) {
    if (checker.regions.contains(region)) {
      ++known;
    } else {
      Add(checker, FindingKind::kContradiction, place,
          fmt::format("no data centre is in the home region '{}'", region));
    }
  }
  if (known == 0 && !home_regions.empty()) {
    Add(checker, FindingKind::kContradiction, place,
        "no target may ever get a request: no home region has a data centre");
  }
}

/// Reports a route whose requests all go to an earlier row. Rows are remembered
/// in `first_rows`, by host and prefix.
void CheckMatch(
    Checker& checker,
    std::map<std::pair<std::string, std::string>, RowPlace>& first_rows,
    const RouteRow& row) {
  const Route& route = row.route;
  const auto [first, added] =
      first_rows.emplace(std::pair(route.host, route.prefix), row.place);
  if (!added) {
    Add(checker, FindingKind::kUnused, row.place,
        fmt::format("never matches: row {} '{}' has the same host '{}' and "
                    "prefix '{}'",
                    first->second.row, first->second.name, route.host,
                    route.prefix));
  }
  if (route.prefix.empty()) {
    Add(checker, FindingKind::kError, row.place,
        "the prefix is empty and matches each path");
  } else if (!route.prefix.starts_with('/')) {
    Add(checker, FindingKind::kUnused, row.place,
        fmt::format("never matches: the prefix '{}' does not begin with a "
                    "slash, as each path does",
                    route.prefix));
  } else if (!route.prefix.ends_with('/')) {
    Add(checker, FindingKind::kError, row.place,
        fmt::format("the prefix '{}' does not end with a slash and matches "
                    "within a name, too",
                    route.prefix));
  }
  if (route.host.empty()) {
    Add(checker, FindingKind::kError, row.place,
        "the host is empty and matches only requests without one");
  }
}

bool HasService(const RouteRows& rows, std::string_view name) {
  return std::ranges::any_of(rows.services, [name](const ServiceRow& row) {
    return row.service.name == name;
  });
}

void CheckServicesOf(Checker& checker, const RouteRow& row) {
  const bool splits = row.route.services.size() > 1;
  const bool any_weight = std::ranges::any_of(
      row.route.services,
      [](const WeightedService& part) { return part.weight > 0; });
  for (const WeightedService& part : row.route.services) {
    if (checker.rows.complete && !HasService(checker.rows, part.service)) {
      Add(checker, FindingKind::kError, row.place,
          fmt::format("the service '{}' has no row in services", part.service));
    }
    if (part.weight == 0 && any_weight) {
      Add(checker, FindingKind::kUnused, row.place,
          fmt::format("the part '{}' of the split has weight 0 and gets no "
                      "requests",
                      part.service));
    }
  }
  if (!any_weight) {
    Add(checker, FindingKind::kContradiction, row.place,
        splits ? fmt::format("all weights of the split are 0: all requests go "
                             "to '{}'",
                             row.route.services.front().service)
               : "the only part of the split has weight 0 and gets all "
                 "requests");
  }
}

void CheckTimes(Checker& checker, const RouteRow& row) {
  const Route& route = row.route;
  if (route.timeout == base::Duration{0}) {
    Add(checker, FindingKind::kContradiction, row.place,
        "timeout_s is 0: each request is late on arrival");
  } else if (route.objective > route.timeout) {
    Add(checker, FindingKind::kContradiction, row.place,
        fmt::format("target_latency_s {} is above timeout_s {}",
                    Seconds(route.objective), Seconds(route.timeout)));
  }
  if (route.objective == base::Duration{0}) {
    Add(checker, FindingKind::kContradiction, row.place,
        "target_latency_s is 0: no answer can be in time");
  }
  if (route.max_attempts == 0) {
    Add(checker, FindingKind::kContradiction, row.place,
        "max_attempts is 0: a first attempt is made all the same");
  }
}

void CheckRouteRows(Checker& checker) {
  std::map<std::string, std::size_t> names;
  std::map<std::pair<std::string, std::string>, RowPlace> matches;
  for (const RouteRow& row : checker.rows.routes) {
    CheckName(checker, names, row.place);
    CheckMatch(checker, matches, row);
    CheckServicesOf(checker, row);
    CheckTimes(checker, row);
    CheckRegions(checker, row.place, row.route.home_regions);
  }
}

bool IsRouted(const RouteRows& rows, std::string_view service) {
  return std::ranges::any_of(rows.routes, [service](const RouteRow& row) {
    return std::ranges::any_of(row.route.services,
                               [service](const WeightedService& part) {
                                 return part.service == service;
                               });
  });
}

void CheckServiceRows(Checker& checker) {
  std::map<std::string, std::size_t> names;
  for (const ServiceRow& row : checker.rows.services) {
    CheckName(checker, names, row.place);
    if (!IsRouted(checker.rows, row.service.name)) {
      if (checker.rows.complete) {
        Add(checker, FindingKind::kUnused, row.place,
            "no route leads to the service");
      }
      continue;
    }
    // Targets state slots of their own, which these two limits contradict.
    if (row.service.max_connections == 0) {
      Add(checker, FindingKind::kContradiction, row.place,
          "max_connections is 0 or absent: only the slots of a target bound "
          "its connections");
    }
    if (row.service.cold_requests_per_second == 0) {
      Add(checker, FindingKind::kContradiction, row.place,
          "cold_per_s is 0 or absent: a cold target gets requests in all its "
          "slots at once");
    }
  }
}

void CheckKeys(Checker& checker,
               std::map<std::string, RowPlace>& owners,
               const AccountRow& row) {
  if (row.keys.empty()) {
    Add(checker, FindingKind::kUnused, row.place,
        "never matches: the account has no key");
  }
  for (const std::string& key : row.keys) {
    const auto [owner, added] = owners.emplace(key, row.place);
    if (key.empty()) {
      Add(checker, FindingKind::kError, row.place, "a key is empty");
    } else if (!added && owner->second.row == row.place.row) {
      Add(checker, FindingKind::kUnused, row.place, "a key is given twice");
    } else if (!added) {
      Add(checker, FindingKind::kError, row.place,
          fmt::format("row {} '{}' has one of its keys, too", owner->second.row,
                      owner->second.name));
    }
  }
}

/// Reports the routes that no region may serve for this account.
void CheckCommonRegions(Checker& checker, const AccountRow& row) {
  const std::vector<std::string>& allowed = row.account.home_regions;
  std::vector<std::string> apart;
  for (const RouteRow& other : checker.rows.routes) {
    const std::vector<std::string>& regions = other.route.home_regions;
    const bool meets =
        regions.empty() ||
        std::ranges::any_of(regions, [&allowed](const std::string& region) {
          return HasRegion(allowed, region);
        });
    if (!meets) {
      apart.push_back(other.route.name);
    }
  }
  if (!allowed.empty() && !apart.empty()) {
    Add(checker, FindingKind::kContradiction, row.place,
        fmt::format("no home region in common with the routes {}: its "
                    "requests there reach no target",
                    fmt::join(apart, ", ")));
  }
}

void CheckAccountRows(Checker& checker) {
  std::map<std::string, std::size_t> names;
  std::map<std::string, RowPlace> owners;
  for (const AccountRow& row : checker.rows.accounts) {
    CheckName(checker, names, row.place);
    CheckKeys(checker, owners, row);
    if (row.account.burst > 0 && row.account.requests_per_second == 0) {
      Add(checker, FindingKind::kContradiction, row.place,
          "burst without rate_per_s: the account has no limit");
    }
    CheckRegions(checker, row.place, row.account.home_regions);
    CheckCommonRegions(checker, row);
  }
}

void CheckLimits(Checker& checker) {
  const CallerLimits& limits = checker.rows.limits;
  const auto check = [&checker](bool is_zero, std::string_view name,
                                std::string_view effect) {
    if (is_zero) {
      Add(checker, FindingKind::kContradiction,
          {RouteFileTable::kLimits, 0, std::string(name)},
          fmt::format("0: {}", effect));
    }
  };
  check(limits.max_head_bytes == 0, "max_header_bytes",
        "no request is accepted");
  check(limits.max_body_bytes == 0, "max_body_bytes",
        "no request with a body is accepted");
  check(limits.head_timeout == base::Duration{0}, "header_timeout_s",
        "only a head that arrives in one piece is accepted");
  check(limits.idle_timeout == base::Duration{0}, "idle_timeout_s",
        "a connection ends as soon as it waits for a request");
}

}  // namespace

RouteFindings CheckRoutes(const RouteRows& rows, const KnownRegions& regions) {
  Checker checker{rows, regions, {}};
  CheckRouteRows(checker);
  CheckServiceRows(checker);
  CheckAccountRows(checker);
  CheckLimits(checker);
  return std::move(checker.findings);
}

}  // namespace eelgrassbridge::catalogue
