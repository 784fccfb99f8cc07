// A configuration as its author wrote it: the rows of its tables in the order
// of the file, also those that a RouteTable leaves out or replaces.
#ifndef EELGRASSBRIDGE_CATALOGUE_ROUTE_ROWS_HPP
#define EELGRASSBRIDGE_CATALOGUE_ROUTE_ROWS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrassbridge/catalogue/route_table.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Part of a configuration that a finding is about.
enum class RouteFileTable : std::uint8_t {
  /// The file as a whole.
  kFile,
  kRoutes,
  kServices,
  kAccounts,
  kLimits,
};

/// @brief Place of a row in the file.
struct RowPlace {
  RouteFileTable table = RouteFileTable::kFile;
  /// Number of the row in its table, from 1; 0 if the place is no row.
  std::size_t row = 0;
  /// Name that the row gives itself; empty if it has none.
  std::string name;
};

struct RouteRow {
  RowPlace place;
  Route route;
};

struct ServiceRow {
  RowPlace place;
  RoutedService service;
};

struct AccountRow {
  RowPlace place;
  RoutedAccount account;
  /// Secret: never part of a finding.
  std::vector<std::string> keys;
};

/// @brief The rows of one version that could be read.
struct RouteRows {
  std::uint64_t version = 0;
  std::vector<RouteRow> routes;
  std::vector<ServiceRow> services;
  std::vector<AccountRow> accounts;
  CallerLimits limits;
  /// Whether all rows could be read; otherwise a row that is not here may be in
  /// the file.
  bool complete = true;
};

/// @brief What a finding says about its row.
enum class FindingKind : std::uint8_t {
  /// Daemons reject the version, or read the row in another way than it is
  /// written.
  kError,
  /// The row, or a part of it, has no effect.
  kUnused,
  /// Two values exclude each other, or one leaves nothing that could succeed.
  kContradiction,
  /// A difference to the version in force.
  kDifference,
};

/// @brief One statement about one place of a configuration.
struct RouteFinding {
  FindingKind kind = FindingKind::kError;
  RowPlace place;
  /// One line without secrets.
  std::string message;
};

using RouteFindings = std::vector<RouteFinding>;

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_ROUTE_ROWS_HPP
