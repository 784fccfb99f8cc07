// Random faults and planned operations from a seed, which may overlap.
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
  /// Unplanned disturbances in progress.
  int unplanned = 0;
  /// All faults and planned operations in progress.
  int active = 0;
  /// Events so far, each with its time in seconds since the start.
  std::vector<std::string> history;
  base::TimePoint started_at = base::BootClock::now();
};

/// @brief Adds an event to the history.
void RecordEvent(Faults& faults, std::string text);

/// @brief Runs a fault beside the others.
void LaunchFault(Faults& faults, asio::awaitable<void> fault);

/// @brief Kills the VM's daemon and starts it again after the given time.
asio::awaitable<void> KillFor(Faults& faults,
                              Vm& vm,
                              std::chrono::milliseconds down);

/// @brief Kills the VM's daemon and starts it again without the store, which it
/// cannot reach for the given time.
asio::awaitable<void> RestartWithoutStore(Faults& faults,
                                          Vm& vm,
                                          std::chrono::milliseconds time);

/// @brief Stops the VM's daemon by SIGSTOP for the given time.
asio::awaitable<void> FreezeFor(Faults& faults,
                                Vm& vm,
                                std::chrono::milliseconds time);

/// @brief Starts a planned stop of the VM's daemon, and its next start.
void LaunchStop(Faults& faults, Vm& vm);

/// @brief Sends SIGHUP to the VM's daemon.
void ReloadSettings(Faults& faults, const Vm& vm);

/// @brief Injects faults for the given time and waits until all have ended.
asio::awaitable<void> RunFaults(Faults& faults, std::chrono::seconds time);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_FAULTS_HPP
