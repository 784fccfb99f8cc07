// Targets that become cold, in series and together with what delays and bunches
// the requests to them: slow runs, pauses and restarts of daemons.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_COLD_CHANGES_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_COLD_CHANGES_HPP

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <random>

#include "callers.hpp"
#include "faults.hpp"

namespace eelgrassbridge::soak {

/// @brief Draws from a sequence of its own, so that a seed keeps its faults.
struct ColdChanges {
  ColdChanges(Faults& used_faults, Callers& used_callers, std::uint64_t seed)
      : faults(used_faults), callers(used_callers), random(seed + 2) {}

  Faults& faults;
  Callers& callers;
  std::mt19937_64 random;
  std::uint64_t count = 0;
};

/// @brief Makes targets cold for the given time.
asio::awaitable<void> RunColdChanges(ColdChanges& changes,
                                     std::chrono::seconds time);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_COLD_CHANGES_HPP
