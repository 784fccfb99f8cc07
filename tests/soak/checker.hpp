// Checks the product's guarantees from what callers and targets observe.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_CHECKER_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_CHECKER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "fleet.hpp"

namespace eelgrassbridge::soak {

/// @brief A request and its outcome, as its caller knows them.
struct SentRequest {
  std::string method;
  std::string path;
  std::string service;
  /// Service of the target beside the daemon that the caller used.
  std::string caller_service;
  bool idempotent = true;
  base::TimePoint sent_at{};
  base::TimePoint ended_at{};
  /// Status of the response; zero: no response.
  int status = 0;
  /// No unplanned disturbance before or during the request.
  bool undisturbed = false;
};

/// @brief Unplanned disturbances of the site. Some checks apply only without
/// them.
struct DisturbanceState {
  /// End of the last unplanned disturbance; far in the future while one lasts.
  base::TimePoint undisturbed_since{};
};

/// @brief Observations and violations so far.
///
/// Invariant: an entry of `violations` is never removed.
struct Checker {
  explicit Checker(Fleet& watched) : fleet(watched) {}

  Fleet& fleet;
  DisturbanceState disturbance;
  /// By request id.
  std::map<std::string, SentRequest, std::less<>> requests;
  /// Number of runs, by request id.
  std::map<std::string, int, std::less<>> runs;
  struct Token {
    std::uint64_t token = 0;
    /// Instance of the target that held the key.
    std::string holder;
  };
  /// Highest fencing token of each key so far.
  std::vector<Token> tokens;
  /// Since when two targets have held the same key, by their ids.
  std::map<std::string, base::TimePoint> overlaps;
  std::set<std::string> violations;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
};

/// @brief Registers the checker's callbacks with all targets of the fleet.
void AttachChecker(Checker& checker);

/// @brief Records a violation.
void AddViolation(Checker& checker, std::string_view rule, std::string detail);

/// @brief Whether the last unplanned disturbance ended longer than `time` ago.
bool IsUndisturbedFor(const Checker& checker, base::Duration time);

/// @brief Checks that no two targets hold the same key for too long.
void CheckHolds(Checker& checker);

/// @brief Checks for refused requests that ran and for lost responses, once all
/// requests have ended.
void CheckRequests(Checker& checker);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_CHECKER_HPP
