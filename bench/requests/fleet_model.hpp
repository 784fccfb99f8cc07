// A small fleet of daemons and targets in virtual time that runs the real
// decisions, or a plain baseline in their place.
#ifndef EELGRASSBRIDGE_BENCH_REQUESTS_FLEET_MODEL_HPP
#define EELGRASSBRIDGE_BENCH_REQUESTS_FLEET_MODEL_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::bench {

/// @brief Which decisions are real.
struct Policy {
  /// Two choices by load and latency; otherwise round robin.
  bool chooses = true;
  /// TargetLimiter; otherwise an unbounded first-in-first-out queue.
  bool limits = true;
  bool hedges = true;
  /// Retries from the budget; otherwise up to `fixed_retries` at once.
  bool has_budget = true;
  std::uint32_t fixed_retries = 3;
};

/// @brief The product's decisions, and what a simple router would do.
inline constexpr Policy kReal{};
inline constexpr Policy kPlain{false, false, false, false, 3};

/// @brief State of a target at some time.
enum class Condition : std::uint8_t { kHealthy, kSlow, kFailing };

struct FleetOptions {
  std::uint32_t daemons = 6;
  std::uint32_t slots = 9;
  /// Mean service time; samples are exponential above a fixed half.
  base::Duration service_time{base::milliseconds{4}};
  double slow_factor = 20;
  base::Duration one_way{base::Duration{250}};
  base::Duration deadline{base::milliseconds{500}};
  /// Offered requests per second in all.
  double rate = 5000;
  base::Duration length{base::seconds{20}};
  std::uint64_t seed = 20261204;
  /// Client accounts and their part of the offered load.
  std::vector<double> accounts{1};
  /// Condition of a target at a time since the start.
  std::function<Condition(std::uint32_t target, base::Duration since_start)>
      condition;
};

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

FleetResult RunFleet(const Policy& policy, const FleetOptions& options);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_REQUESTS_FLEET_MODEL_HPP
