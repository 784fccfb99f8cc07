// Difference of a configuration to the version in force.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "eelgrassbridge/catalogue/route_check.hpp"

namespace eelgrassbridge::catalogue {

namespace {

/// A field of a row as it is shown. Two values differ if their texts do.
struct Field {
  std::string name;
  std::string value;
};

using Fields = std::vector<Field>;

std::string SecondsText(base::Duration time) {
  return fmt::format("{}", std::chrono::duration<double>(time).count());
}

std::string ListText(const std::vector<std::string>& values) {
  return values.empty() ? "all" : fmt::format("{}", fmt::join(values, "+"));
}

std::string ClassText(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kIdempotent:
      return "idempotent";
    case RequestClass::kNonIdempotent:
      return "non_idempotent";
    case RequestClass::kUpload:
      return "upload";
    case RequestClass::kDownload:
      break;
  }
  return "download";
}

std::string ServicesText(const std::vector<WeightedService>& services) {
  if (services.size() == 1) {
    return services.front().service;
  }
  std::vector<std::string> parts;
  parts.reserve(services.size());
  for (const WeightedService& part : services) {
    parts.push_back(fmt::format("{}:{}", part.service, part.weight));
  }
  return fmt::format("{}", fmt::join(parts, "+"));
}

Fields FieldsOf(const RouteRow& row) {
  const Route& route = row.route;
  return {{"host", route.host},
          {"prefix", route.prefix},
          {"type", ClassText(route.request_class)},
          {"timeout_s", SecondsText(route.timeout)},
          {"target_latency_s", SecondsText(route.objective)},
          {"priority", fmt::format("{}", route.priority)},
          {"max_attempts", fmt::format("{}", route.max_attempts)},
          {"regions_allowed", ListText(route.home_regions)},
          {"service", ServicesText(route.services)}};
}

Fields FieldsOf(const ServiceRow& row) {
  const RoutedService& service = row.service;
  return {{"health_path", service.health_path},
          {"max_connections", fmt::format("{}", service.max_connections)},
          {"cold_per_s", fmt::format("{}", service.cold_requests_per_second)},
          {"sharded", service.divided_by_key ? "true" : "false"}};
}

Fields FieldsOf(const AccountRow& row) {
  const RoutedAccount& account = row.account;
  return {{"priority",
           account.priority ? fmt::format("{}", *account.priority) : "none"},
          {"rate_per_s", fmt::format("{}", account.requests_per_second)},
          {"burst", fmt::format("{}", account.burst)},
          {"regions_allowed", ListText(account.home_regions)}};
}

Fields FieldsOf(const CallerLimits& limits) {
  return {{"max_header_bytes", fmt::format("{}", limits.max_head_bytes)},
          {"max_body_bytes", fmt::format("{}", limits.max_body_bytes)},
          {"header_timeout_s", SecondsText(limits.head_timeout)},
          {"idle_timeout_s", SecondsText(limits.idle_timeout)}};
}

/// Returns the fields that differ, as text. Both rows have the same fields.
std::vector<std::string> ChangedFields(const Fields& from, const Fields& to) {
  std::vector<std::string> changes;
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (from[i].value != to[i].value) {
      changes.push_back(
          fmt::format("{} {} -> {}", from[i].name, from[i].value, to[i].value));
    }
  }
  return changes;
}

/// Changes that no field may show.
template <typename Row>
void AddSecretChanges(const Row& /*from*/,
                      const Row& /*to*/,
                      std::vector<std::string>& /*changes*/) {}

void AddSecretChanges(const AccountRow& from,
                      const AccountRow& to,
                      std::vector<std::string>& changes) {
  const std::set<std::string_view> before(from.keys.begin(), from.keys.end());
  const std::set<std::string_view> after(to.keys.begin(), to.keys.end());
  if (before != after) {
    changes.emplace_back("keys changed");
  }
}

/// Returns the first row of that name, or null.
template <typename Row>
const Row* FindRow(const std::vector<Row>& rows, const std::string& name) {
  const auto found = std::ranges::find_if(
      rows, [&name](const Row& row) { return row.place.name == name; });
  return found == rows.end() ? nullptr : &*found;
}

template <typename Row>
void CompareRows(const std::vector<Row>& in_force,
                 const std::vector<Row>& next,
                 RouteFindings& findings) {
  const auto add = [&findings](const RowPlace& place, std::string message) {
    findings.push_back({FindingKind::kDifference, place, std::move(message)});
  };
  for (const Row& row : next) {
    const Row* const former = FindRow(in_force, row.place.name);
    if (former == nullptr) {
      add(row.place, "added");
      continue;
    }
    auto changes = ChangedFields(FieldsOf(*former), FieldsOf(row));
    AddSecretChanges(*former, row, changes);
    if (!changes.empty()) {
      add(row.place, fmt::format("changed: {}", fmt::join(changes, ", ")));
    }
  }
  for (const Row& row : in_force) {
    if (FindRow(next, row.place.name) == nullptr) {
      add(row.place, "removed; the row is that of the version in force");
    }
  }
}

/// Adds a finding that concerns no row of a table.
void AddFinding(RouteFindings& findings,
                FindingKind kind,
                RouteFileTable table,
                std::string_view name,
                std::string message) {
  RouteFinding& finding = findings.emplace_back();
  finding.kind = kind;
  finding.place.table = table;
  finding.place.name = name;
  finding.message = std::move(message);
}

}  // namespace

RouteFindings CompareRoutes(const RouteRows& in_force, const RouteRows& next) {
  RouteFindings findings;
  if (next.version <= in_force.version) {
    AddFinding(findings, FindingKind::kError, RouteFileTable::kFile, "version",
               fmt::format("version {} is not above {}, which is in force: "
                           "daemons ignore it",
                           next.version, in_force.version));
  }
  CompareRows(in_force.routes, next.routes, findings);
  CompareRows(in_force.services, next.services, findings);
  CompareRows(in_force.accounts, next.accounts, findings);
  const auto limits =
      ChangedFields(FieldsOf(in_force.limits), FieldsOf(next.limits));
  if (!limits.empty()) {
    AddFinding(findings, FindingKind::kDifference, RouteFileTable::kLimits, {},
               fmt::format("changed: {}", fmt::join(limits, ", ")));
  }
  return findings;
}

}  // namespace eelgrassbridge::catalogue
