// Callers with persistent connections, and probes of the active routes.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_CALLERS_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_CALLERS_HPP

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "checker.hpp"
#include "eelgrassbridge/http/client.hpp"

namespace eelgrassbridge::soak {

struct CallerOptions {
  int callers_per_vm = 4;
  /// Callers that keep their connection until the daemon closes it.
  int kept_callers_per_vm = 12;
  /// Between an answer and the caller's next request.
  std::chrono::milliseconds pause{40};
};

struct Callers {
  Callers(Checker& used_checker, std::uint64_t seed, CallerOptions settings)
      : checker(used_checker), options(settings), random(seed) {}

  Checker& checker;
  CallerOptions options;
  std::mt19937_64 random;
  std::uint64_t next_id = 1;
  bool running = true;
  std::uint32_t active = 0;
};

/// @brief Starts all callers and probes.
void Start(Callers& callers);

/// @brief Sends requests that may wait for long, all at once and spread over
/// the daemons.
void LaunchBurst(Callers& callers, std::uint64_t count);

/// @brief Waits until each daemon serves all services again. Records a
/// violation for each daemon that does not within the guaranteed recovery time.
asio::awaitable<void> AwaitRecovery(Callers& callers);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_CALLERS_HPP
