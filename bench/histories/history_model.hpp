// A small model that runs several ownership cores against one table with
// faults, and checks the history of what their targets served.
//
// Time is simulated. Each daemon has its own clock with an offset and a rate
// error; the table applies writes late, loses replies and has outages; messages
// are lost, delayed, or dropped in one or both directions. Requests pass a gate
// check and reach the target later, as in the daemon. The checker looks for two
// targets that serve one key at the same time, epochs that decrease, and
// assignments that a daemon acted on but that are not in the table.
#ifndef EELGRASSBRIDGE_BENCH_HISTORIES_HISTORY_MODEL_HPP
#define EELGRASSBRIDGE_BENCH_HISTORIES_HISTORY_MODEL_HPP

#include <cstdint>
#include <string>

#include "eelgrassbridge/ownership/ownership_options.hpp"

namespace eelgrassbridge::histories {

/// @brief Faults outside the ownership core that can be injected.
struct BrokenModel {
  /// Targets accept a request after its Not-After.
  bool no_not_after = false;
  /// The daemon's clock stops while its VM is suspended.
  bool clock_stops_on_suspend = false;
};

struct HistoryOptions {
  std::uint64_t seed = 1;
  std::uint32_t daemons = 4;
  /// Simulated time with faults, and simulated time after their end.
  base::Duration faulty = base::seconds{30};
  base::Duration healed = base::seconds{25};
  /// Mean time between two faults. Faults last for seconds, so two at a time
  /// are common.
  base::Duration fault_interval = base::milliseconds{1500};
  ownership::BrokenRules broken_rules;
  BrokenModel broken_model;
};

struct HistoryResult {
  /// Empty if nothing was found.
  std::string violation;
  std::uint64_t requests_served = 0;
  std::uint64_t owner_changes = 0;
  std::uint64_t take_overs = 0;
  std::uint64_t releases = 0;
  /// Transactions that release more than one group.
  std::uint64_t common_releases = 0;
  std::uint64_t carve_outs = 0;
  std::uint64_t merges = 0;
  std::uint64_t unknown_writes = 0;
  std::uint64_t faults = 0;
  /// Keys that no daemon served at the end, after all faults had ended.
  std::uint64_t unserved_keys = 0;
};

/// @brief Runs one history.
HistoryResult RunHistory(const HistoryOptions& options);

}  // namespace eelgrassbridge::histories

#endif  // EELGRASSBRIDGE_BENCH_HISTORIES_HISTORY_MODEL_HPP
