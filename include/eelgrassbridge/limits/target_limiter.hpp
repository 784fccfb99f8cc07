// Admission to the target beside this daemon: slots, connections, the ramp and
// a bounded queue. All traffic to the target passes here, so the bounds are
// exact without coordination.
//
// The daemon holds one mutex around each call. Usage: Admit; if queued, wait
// until NextDispatch (called after each Admit, Finish and Withdraw, and on a
// timer) names the ticket; run; Finish.
#ifndef EELGRASSBRIDGE_LIMITS_TARGET_LIMITER_HPP
#define EELGRASSBRIDGE_LIMITS_TARGET_LIMITER_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/limits/cold_start_ramp.hpp"
#include "eelgrassbridge/limits/target_queue.hpp"

namespace eelgrassbridge::limits {

inline constexpr std::size_t kPriorityClassCount = 3;

struct TargetLimiterOptions {
  /// Requests the target runs at once.
  std::uint32_t slots = 1;
  /// Connections the target accepts, idle ones included.
  std::uint32_t connections = 1;
  /// Requests that may wait; each one holds a worker of the daemon.
  std::uint32_t queue_capacity = 64;
  RampOptions ramp;
  /// Whether the ramp bounds what is in flight. A target that tells its slots
  /// and how long it is cold needs none: latency that a noisy neighbour causes
  /// would take slots away from it.
  bool ramped = true;
};

struct AdmissionRequest {
  catalogue::PriorityClass priority = catalogue::PriorityClass::kNormal;
  std::string_view account;
  /// For the end of the run, or for its start.
  base::TimePoint deadline;
  bool to_start = false;
};

/// @brief Answer to Admit.
struct Admission {
  enum class State : std::uint8_t { kRun, kQueued, kRefused };
  State state = State::kRefused;
  Ticket ticket = 0;
  /// For kRun: passed back to Finish.
  std::uint64_t generation = 0;
  /// For kRefused.
  base::ErrorKind refusal = base::ErrorKind::kOverloaded;
};

/// @brief What has become of a queued request.
struct Dispatch {
  Ticket ticket = 0;
  /// None: it occupies a slot now and must be run and finished.
  std::optional<base::ErrorKind> refusal;
  std::uint64_t generation = 0;
};

/// @brief How a run on the target ended.
enum class RunEnd : std::uint8_t {
  kAnswered,
  kRefused,    ///< The target refused before running.
  kFailed,     ///< An error or a timeout that says nothing about the load.
  kCancelled,  ///< Cancelled by us; its latency is not a sample.
  kLost,       ///< The target died.
};

/// @brief State of the admission to one target.
///
/// Invariants: in_flight <= max(slots, what was in flight when a bound fell);
/// nothing is admitted while in_flight >= Bound(); queued <= queue_capacity;
/// a ticket is dispatched or refused exactly once unless it is withdrawn.
struct TargetLimiter {
  TargetLimiterOptions options;
  ColdStartRamp ramp;
  bool accepting = true;
  std::uint32_t in_flight = 0;
  std::uint32_t open_connections = 0;
  std::uint32_t queued = 0;
  Ticket next_ticket = 1;
  std::array<detail::ClassQueue, kPriorityClassCount> classes;
  /// Queued requests that were refused and not reported yet.
  std::deque<Dispatch> refused;
  /// EWMA of run times; zero before the first answer.
  double run_time_us = 0;
  /// No queued request expires before this time.
  base::TimePoint next_expiry = base::TimePoint::max();
};

TargetLimiter MakeTargetLimiter(const TargetLimiterOptions& options);

/// @brief Requests that may be in flight now: the least of slots, connections
/// and, if it counts, the ramp's level.
std::uint32_t Bound(const TargetLimiter& limiter);

/// @brief Run now, queued, or refused (overloaded, deadline_before_run or
/// draining; all proved not run).
Admission Admit(TargetLimiter& limiter,
                const AdmissionRequest& request,
                base::TimePoint now);

/// @brief Next queued request that may run or is refused; none if nothing
/// changes now. Call until none.
std::optional<Dispatch> NextDispatch(TargetLimiter& limiter,
                                     base::TimePoint now);

/// @brief Takes a queued request back. False: it was dispatched or refused
/// before, so the caller must look at its Dispatch.
bool Withdraw(TargetLimiter& limiter, Ticket ticket);

/// @brief Ends a run and frees its slot.
void Finish(TargetLimiter& limiter,
            RunEnd end,
            base::Duration latency,
            std::uint64_t generation);

/// @brief Stops or resumes admission; queued requests are refused as draining
/// when stopped.
void SetAccepting(TargetLimiter& limiter, bool accepting);

/// @brief Takes new slots and connections from the target's announcement.
void SetTargetBounds(TargetLimiter& limiter,
                     std::uint32_t slots,
                     std::uint32_t connections);

/// @brief Fresh instance id restarts the ramp. Returns whether it restarted.
bool NoteInstance(TargetLimiter& limiter, std::string_view instance_id);

/// @brief Counts a connection about to be opened; false if the target accepts
/// no more.
bool TryOpenConnection(TargetLimiter& limiter);
void CloseConnection(TargetLimiter& limiter);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_TARGET_LIMITER_HPP
