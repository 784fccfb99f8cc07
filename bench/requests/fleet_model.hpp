// Simulates a small fleet of daemons and targets in virtual time, with the
// product's decisions or a simple baseline in their place.
#ifndef EELGRASSBRIDGE_BENCH_REQUESTS_FLEET_MODEL_HPP
#define EELGRASSBRIDGE_BENCH_REQUESTS_FLEET_MODEL_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::bench {

/// @brief Which decisions are the product's.
struct Policy {
  /// Power-of-two choices by load and latency; otherwise round robin.
  bool chooses = true;
  /// TargetLimiter; otherwise an unbounded first-in-first-out queue.
  bool limits = true;
  bool hedges = true;
  /// Retries limited by the budget; otherwise up to `fixed_retries` without
  /// delay.
  bool has_budget = true;
  std::uint32_t fixed_retries = 3;
};

/// @brief The product's decisions, and those of a simple router.
inline constexpr Policy kProduct{};
inline constexpr Policy kBaseline{false, false, false, false, 3};

/// @brief Condition of a target.
enum class Condition : std::uint8_t { kHealthy, kSlow, kFailing };

/// @brief Fleet, load and faults of one simulation.
struct FleetOptions {
  std::uint32_t daemons = 6;
  std::uint32_t slots = 9;
  /// Mean service time. One half of it is constant, the other half is
  /// exponentially distributed.
  base::Duration service_time{base::milliseconds{4}};
  double slow_factor = 20;
  /// Network delay in each direction.
  base::Duration one_way{base::Duration{250}};
  base::Duration deadline{base::milliseconds{500}};
  /// Total offered requests per second.
  double rate = 5000;
  base::Duration length{base::seconds{20}};
  std::uint64_t seed = 20261204;
  /// Weight of each client account in the offered load.
  std::vector<double> accounts{1};
  /// Returns the condition of a target at a time since the start.
  std::function<Condition(std::uint32_t target, base::Duration since_start)>
      condition;
};

/// @brief Counts and latencies of one simulation.
struct FleetResult {
  std::uint64_t offered = 0;
  /// Answered within the deadline.
  std::uint64_t good = 0;
  /// Attempts that reached a target's daemon.
  std::uint64_t attempts = 0;
  std::uint64_t hedges = 0;
  std::vector<double> latencies_ms;
  std::vector<std::uint64_t> good_by_account;
  std::vector<std::uint64_t> offered_by_account;
};

/// @brief Runs one simulation.
FleetResult RunFleet(const Policy& policy, const FleetOptions& options);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_REQUESTS_FLEET_MODEL_HPP
