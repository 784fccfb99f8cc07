// Admission control for the target beside this daemon: slots, connections, the
// cold-start ramp and a bounded queue. All traffic to the target passes through
// here, so the limits are exact without coordination.
//
// The daemon holds one mutex around each call. Usage: call Admit; if the
// request is queued, wait until NextDispatch returns its ticket; run it; call
// Finish. NextDispatch must be called after each Admit, Finish and Withdraw,
// and on a timer.
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
#include "eelgrassbridge/limits/cold_pacer.hpp"
#include "eelgrassbridge/limits/cold_start_ramp.hpp"
#include "eelgrassbridge/limits/learned_capacity.hpp"
#include "eelgrassbridge/limits/target_queue.hpp"

namespace eelgrassbridge::limits {

inline constexpr std::size_t kPriorityClassCount = 3;

struct TargetLimiterOptions {
  /// Requests that the target can run concurrently.
  std::uint32_t slots = 1;
  /// Connections the target accepts, idle ones included.
  std::uint32_t connections = 1;
  /// Requests that may wait; each of them occupies a worker of the daemon.
  std::uint32_t queue_capacity = 64;
  RampOptions ramp;
  /// Whether the ramp limits the requests in flight. A target that reports its
  /// slots and how long it stays cold needs no ramp, which would reduce its
  /// slots when a noisy neighbour raises its latency.
  bool use_ramp = true;
  /// Whether `pace` limits the starts. Each start must then be followed by
  /// RecordSend or CancelStart.
  bool use_pace = false;
  /// Whether the learned capacity limits the requests in flight. Each run that
  /// is a sample must then be passed to RecordRun.
  bool use_learned_capacity = false;
};

/// @brief A request that asks for admission.
struct AdmissionRequest {
  catalogue::PriorityClass priority = catalogue::PriorityClass::kNormal;
  std::string_view account;
  /// Deadline for the end of the run, or for its start if
  /// `deadline_for_start`.
  base::TimePoint deadline;
  bool deadline_for_start = false;
  /// Time by which the run should start, which orders the requests of a class
  /// if `deadline_for_start`; the deadline if it is not set.
  std::optional<base::TimePoint> due{};
  /// Requests that are not queued yet and are expected to be served first.
  std::uint32_t others_ahead = 0;
};

/// @brief Result of Admit.
struct Admission {
  enum class State : std::uint8_t { kRun, kQueued, kRefused };
  State state = State::kRefused;
  Ticket ticket = 0;
  /// For kRun: must be passed to Finish.
  std::uint64_t generation = 0;
  /// For kRun: must be passed to RecordRun.
  RunStart start{};
  /// For kRefused.
  base::ErrorKind refusal = base::ErrorKind::kOverloaded;
};

/// @brief Outcome of a queued request.
struct Dispatch {
  Ticket ticket = 0;
  /// If empty, the request occupies a slot now and must be run and finished.
  std::optional<base::ErrorKind> refusal;
  std::uint64_t generation = 0;
  RunStart start{};
};

/// @brief How a run on the target ended.
enum class RunEnd : std::uint8_t {
  kAnswered,
  kRefused,    ///< The target refused the request before running it.
  kFailed,     ///< An error or a timeout that does not indicate overload.
  kCancelled,  ///< Cancelled by this daemon; its latency is not a sample.
  kLost,       ///< The target died.
};

/// @brief State of the admission control of one target.
///
/// Invariants: in_flight <= max(slots, in_flight when a limit was lowered);
/// nothing is admitted while in_flight >= InFlightLimit(); queued <=
/// queue_capacity; each ticket is dispatched or refused exactly once unless it
/// is withdrawn.
struct TargetLimiter {
  TargetLimiterOptions options;
  ColdStartRamp ramp;
  /// Nothing starts before its EarliestStart; used if `use_pace`.
  ColdPacer pace;
  /// Used if `use_learned_capacity`.
  LearnedCapacity learned;
  bool accepting = true;
  std::uint32_t in_flight = 0;
  std::uint32_t open_connections = 0;
  std::uint32_t queued = 0;
  Ticket next_ticket = 1;
  std::array<detail::ClassQueue, kPriorityClassCount> classes;
  /// Queued requests that were refused but not returned by NextDispatch yet.
  std::deque<Dispatch> refused;
  /// EWMA of run times; zero before the first answer.
  double run_time_us = 0;
  /// No queued request expires before this time.
  base::TimePoint next_expiry = base::TimePoint::max();
};

TargetLimiter MakeTargetLimiter(const TargetLimiterOptions& options);

/// @brief Returns the number of requests that may be in flight now: the minimum
/// of slots, connections and, if they are used, the level of the ramp and the
/// learned capacity, but at least 1.
std::uint32_t InFlightLimit(const TargetLimiter& limiter);

/// @brief Whether a request would be admitted without a wait.
bool CanStartNow(const TargetLimiter& limiter, base::TimePoint now);

/// @brief Returns the reason for which Admit would refuse the request now,
/// leaving aside that the queue may be full; nothing if it would not.
std::optional<base::ErrorKind> ExpectedRefusal(const TargetLimiter& limiter,
                                               const AdmissionRequest& request,
                                               base::TimePoint now);

/// @brief Admits, queues or refuses a request. Refusals are kOverloaded,
/// kDeadlineBeforeRun or kDraining; a refused request has provably not run.
Admission Admit(TargetLimiter& limiter,
                const AdmissionRequest& request,
                base::TimePoint now);

/// @brief Returns the next queued request that may run or is refused; nothing
/// if there is none now. Must be called until it returns nothing.
std::optional<Dispatch> NextDispatch(TargetLimiter& limiter,
                                     base::TimePoint now);

/// @brief Returns when NextDispatch must be called again because the pace then
/// lets the next queued request start; nothing if no request waits for that.
std::optional<base::TimePoint> NextPacedStart(const TargetLimiter& limiter,
                                              base::TimePoint now);

/// @brief Refuses the queued requests that would start only after their
/// deadlines if the target is cold. Must be called when the pace has changed.
void RefuseUnreachable(TargetLimiter& limiter, base::TimePoint now);

/// @brief Withdraws a queued request. Returns false if it was already
/// dispatched or refused, so that the caller must handle its Dispatch.
bool Withdraw(TargetLimiter& limiter, Ticket ticket);

/// @brief Ends a run and frees its slot.
void Finish(TargetLimiter& limiter,
            RunEnd end,
            base::Duration latency,
            std::uint64_t generation);

/// @brief Stops or resumes admission. Stopping refuses all queued requests with
/// kDraining.
void SetAccepting(TargetLimiter& limiter, bool accepting);

/// @brief Applies the slots and connections that the target announced.
void SetTargetBounds(TargetLimiter& limiter,
                     std::uint32_t slots,
                     std::uint32_t connections,
                     base::TimePoint now);

/// @brief Begins or ends the use of the learned capacity. It is learned anew
/// from the stated slots each time.
/// @param seed See Restart().
void UseLearnedCapacity(TargetLimiter& limiter,
                        bool use,
                        std::uint64_t seed,
                        base::TimePoint now);

/// @brief Records the target's instance id; a new id restarts the ramp. Returns
/// whether the ramp restarted.
bool NoteInstance(TargetLimiter& limiter, std::string_view instance_id);

/// @brief Counts a connection that is about to be opened; returns false if the
/// target accepts no more.
bool TryOpenConnection(TargetLimiter& limiter);

/// @brief Uncounts a connection that was closed or could not be opened.
void CloseConnection(TargetLimiter& limiter);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_TARGET_LIMITER_HPP
