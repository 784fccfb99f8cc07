// Admission rules of the target stand-in.
#ifndef EELGRASSBRIDGE_STANDINS_TARGET_STATE_HPP
#define EELGRASSBRIDGE_STANDINS_TARGET_STATE_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace eelgrassbridge::standins {

struct TargetOptions {
  std::string name = "target";
  std::string service = "listing";
  std::uint32_t slots = 9;
  /// Concurrent requests that a cold target can run; a warm one can fill its
  /// slots.
  std::uint32_t cold_capacity = 2;
  bool starts_cold = true;
  bool checks_fencing = false;
  std::int64_t service_time_us = 1000;
  /// Age of the load that /target/load reports.
  std::int64_t load_lag_ms = 0;
  /// /target/load always reports no requests in flight.
  bool reports_idle = false;
};

/// @brief The request headers that decide on admission.
struct RunRequest {
  std::string key = {};
  std::string group = {};
  std::uint64_t epoch = 0;
  /// Unix milliseconds; 0: none.
  std::int64_t not_after_ms = 0;
};

enum class Admission : std::uint8_t {
  kRun,
  kShed,            ///< No slot free; not run.
  kDraining,        ///< Not run.
  kDeadlinePassed,  ///< Its absolute deadline has passed; not run.
  kStaleEpoch,      ///< A higher epoch of the group is known; not run.
  kOverloaded,      ///< Beyond the capacity; the target is reset to cold.
};

/// @brief State of one target.
///
/// Invariants: in_flight counts admitted runs only; capacity is between 1 and
/// the number of slots; an epoch in highest_epoch never decreases.
struct TargetState {
  TargetOptions options;
  std::mutex mutex;
  std::uint32_t in_flight = 0;
  /// Concurrent requests that the target can run now.
  std::uint32_t capacity = 1;
  /// Runs completed since the capacity last grew.
  std::uint32_t successes = 0;
  bool draining = false;
  std::uint64_t overloads = 0;
  std::uint64_t shed = 0;
  std::uint64_t runs = 0;
  std::map<std::string, std::uint64_t> highest_epoch;
  /// Runs of POST requests, by key.
  std::map<std::string, std::uint64_t> key_counts;
  std::string instance;
};

/// @brief Starts a new instance, which is cold if the options say so.
void StartInstance(TargetState& state, std::string instance);

/// @brief Decides whether to run a request. After kRun the caller must call
/// EndRun.
Admission BeginRun(TargetState& state,
                   const RunRequest& request,
                   std::int64_t now_ms);

/// @brief Ends a run. The capacity of a cold target grows by 1 each time as
/// many runs as the capacity have ended.
void EndRun(TargetState& state);

/// @brief Accepts a grant of the group under the epoch. Returns false if a
/// higher epoch is known.
bool AcceptGrant(TargetState& state,
                 const std::string& group,
                 std::uint64_t epoch);

/// @brief Counts a POST run of that key and returns the number so far.
std::uint64_t CountKey(TargetState& state, const std::string& key);

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_TARGET_STATE_HPP
