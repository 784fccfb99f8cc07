// The promises of the product, checked from what callers and targets see.
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

/// @brief A request as its caller knows it.
struct SentRequest {
  std::string method;
  std::string path;
  std::string service;
  /// Service beside the daemon that the caller asked.
  std::string caller_service;
  bool idempotent = true;
  base::TimePoint sent_at{};
  base::TimePoint ended_at{};
  /// Status of the answer; zero: none came.
  int status = 0;
  /// Nothing but planned work went on around the request.
  bool calm = false;
};

/// @brief What happens to the site now, for checks that hold in calm only.
struct Calm {
  /// End of the last disturbance that nobody planned; far in the future while
  /// one lasts.
  base::TimePoint undisturbed_since{};
};

/// @brief What the checker has seen.
///
/// Invariant: an entry of `violations` is never removed.
struct Checker {
  explicit Checker(Fleet& watched) : fleet(watched) {}

  Fleet& fleet;
  Calm calm;
  std::map<std::string, SentRequest, std::less<>> requests;
  std::map<std::string, int, std::less<>> runs;
  /// Highest token of each key and the life that held it.
  struct Token {
    std::uint64_t token = 0;
    std::string holder;
  };
  std::vector<Token> tokens;
  /// Since when two targets have held a key in common.
  std::map<std::string, base::TimePoint> overlaps;
  std::set<std::string> violations;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
};

/// @brief Registers the checker with the targets of the fleet.
void Watch(Checker& checker);

void Violate(Checker& checker, std::string_view rule, std::string detail);

/// @brief Whether only planned work has gone on for a time.
bool IsCalm(const Checker& checker, base::Duration time);

/// @brief Looks for targets that hold the same keys.
void CheckHolds(Checker& checker);

/// @brief Checks refusals, repeats and cut requests once all is over.
void CheckRequests(Checker& checker);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_CHECKER_HPP
