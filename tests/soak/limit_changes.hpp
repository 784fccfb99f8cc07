// Changes of the connections' limits by the configuration, in series and
// together with planned operations.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_LIMIT_CHANGES_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_LIMIT_CHANGES_HPP

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <random>

#include "faults.hpp"

namespace eelgrassbridge::soak {

/// @brief Draws from a sequence of its own, so that a seed keeps its faults.
struct LimitChanges {
  LimitChanges(Faults& used_faults, std::uint64_t seed)
      : faults(used_faults), random(seed + 1) {}

  Faults& faults;
  std::mt19937_64 random;
  std::uint64_t count = 0;
};

/// @brief Changes the limits for the given time.
asio::awaitable<void> RunLimitChanges(LimitChanges& changes,
                                      std::chrono::seconds time);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_LIMIT_CHANGES_HPP
