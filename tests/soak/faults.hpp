// Faults drawn from a seed, alone, in series and overlapping.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_FAULTS_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_FAULTS_HPP

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "checker.hpp"

namespace eelgrassbridge::soak {

struct Faults {
  Faults(Checker& used_checker, std::uint64_t seed)
      : checker(used_checker), random(seed) {}

  Checker& checker;
  std::mt19937_64 random;
  /// Unplanned ones that last now.
  int unplanned = 0;
  /// All that last now.
  int active = 0;
  /// What was done, with the seconds since the start.
  std::vector<std::string> history;
  base::TimePoint began_at = base::BootClock::now();
};

/// @brief Starts faults until the time is over and waits until all have ended.
asio::awaitable<void> RunFaults(Faults& faults, std::chrono::seconds time);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_FAULTS_HPP
