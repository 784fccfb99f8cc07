// The rules by which the target stand-in runs or refuses a request.
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
  /// Requests at once that a cold target bears; a warm one bears its slots.
  std::uint32_t cold_capacity = 2;
  bool starts_cold = true;
  bool checks_fencing = false;
  std::int64_t service_time_us = 1000;
  /// Age of the figures in /target/load.
  std::int64_t load_lag_ms = 0;
  /// Whether /target/load always claims an idle target.
  bool misleads = false;
};

/// @brief A request as the rules see it.
struct RunRequest {
  std::string key = {};
  std::string group = {};
  std::uint64_t epoch = 0;
  /// Unix milliseconds; 0: none.
  std::int64_t not_after_ms = 0;
};

enum class Admission : std::uint8_t {
  kRun,
  kShed,      ///< No slot free; not run.
  kDraining,  ///< Not run.
  kTooLate,   ///< After its absolute deadline; not run.
  kOldEpoch,  ///< Fenced off; not run.
  kFellOver,  ///< More than a cold target bears; it is cold again.
};

/// @brief Invariants: in_flight counts admitted runs only; capacity is between
/// 1 and the number of slots; an epoch in highest_epoch never goes back.
struct TargetState {
  TargetOptions options;
  std::mutex mutex;
  std::uint32_t in_flight = 0;
  std::uint32_t capacity = 1;
  /// Successful runs since the capacity last grew.
  std::uint32_t successes = 0;
  bool draining = false;
  std::uint64_t fell_over = 0;
  std::uint64_t shed = 0;
  std::uint64_t runs = 0;
  std::map<std::string, std::uint64_t> highest_epoch;
  /// Runs of POST requests for each key.
  std::map<std::string, std::uint64_t> key_counts;
  std::string instance;
};

/// @brief Fresh instance: cold unless the options say otherwise.
void StartInstance(TargetState& state, std::string instance);

/// @brief Decides on one request. After kRun the caller must call EndRun.
Admission BeginRun(TargetState& state,
                   const RunRequest& request,
                   std::int64_t now_ms);

/// @brief Ends a run; a cold target warms up by one slot after as many
/// successes as its capacity.
void EndRun(TargetState& state);

/// @brief Accepts a fenced grant; false if a higher epoch is known.
bool AcceptGrant(TargetState& state,
                 const std::string& group,
                 std::uint64_t epoch);

/// @brief Number of POST runs of that key, with this one.
std::uint64_t CountKey(TargetState& state, const std::string& key);

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_TARGET_STATE_HPP
