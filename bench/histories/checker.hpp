// Checks of a history: what targets served and what the table held.
#ifndef EELGRASSBRIDGE_BENCH_HISTORIES_CHECKER_HPP
#define EELGRASSBRIDGE_BENCH_HISTORIES_CHECKER_HPP

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "eelgrassbridge/ownership/group_row.hpp"

namespace eelgrassbridge::histories {

/// @brief One request on a target, in simulated microseconds.
struct Served {
  std::uint32_t key = 0;
  base::GroupId group;
  std::uint64_t epoch = 0;
  base::DaemonId daemon;
  std::int64_t start = 0;
  std::int64_t end = 0;
};

/// @brief Input of the checks.
struct History {
  std::vector<Served> served;
  /// Every group row that was written to the table, in order.
  std::vector<ownership::GroupRow> table;
  /// Assignments that a daemon acted on: it opened its gate under this epoch.
  std::vector<std::pair<ownership::GroupRow, std::int64_t>> acted_on;
};

/// @brief The first violation found; empty if there is none.
std::string CheckHistory(const History& history);

}  // namespace eelgrassbridge::histories

#endif  // EELGRASSBRIDGE_BENCH_HISTORIES_CHECKER_HPP
