// Checks the product's guarantees from what callers and targets observe.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_CHECKER_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_CHECKER_HPP

#include <asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "fleet.hpp"

namespace eelgrassbridge::soak {

/// @brief How a request on a kept connection ended for its caller.
enum class KeptEnd : std::uint8_t {
  kAnswered,
  /// The connection ended within the answer.
  kAnswerCut,
  /// The connection ended before the answer.
  kClosed,
  /// The caller closed the connection.
  kGaveUp,
};

/// @brief Totals of the kept connections.
struct KeptCounts {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  /// Requests whose head was sent in two pieces.
  std::uint64_t split_heads = 0;
  std::uint64_t answered = 0;
  std::uint64_t answers_cut = 0;
  std::uint64_t gave_up = 0;
  /// Requests that crossed the end of their connection: no target got them.
  std::uint64_t crossed = 0;
  /// Requests that a target got and whose connection then ended without an
  /// answer, by what happened to the process of their daemon.
  std::map<std::string, std::uint64_t> unanswered;
};

/// @brief A request and its outcome, as its caller knows them.
struct SentRequest {
  std::string method;
  std::string path;
  std::string service;
  /// Service of the target beside the daemon that the caller used.
  std::string caller_service;
  bool idempotent = true;
  base::TimePoint sent_at{};
  base::TimePoint ended_at{};
  /// Status of the response; zero: no response.
  int status = 0;
  /// No unplanned disturbance before or during the request.
  bool undisturbed = false;
  /// For a request whose kept connection ended before the answer: what happened
  /// to the process of its daemon meanwhile, kAlive for nothing.
  std::string process_state;
};

/// @brief Unplanned disturbances of the site. Some checks apply only without
/// them.
struct DisturbanceState {
  /// End of the last unplanned disturbance; far in the future while one lasts.
  base::TimePoint undisturbed_since{};
};

/// @brief Observations and violations so far.
///
/// Invariant: an entry of `violations` is never removed.
struct Checker {
  explicit Checker(Fleet& watched) : fleet(watched) {}

  Fleet& fleet;
  DisturbanceState disturbance;
  /// By request id.
  std::map<std::string, SentRequest, std::less<>> requests;
  /// Ids of the requests that a running target got, run or refused.
  std::set<std::string, std::less<>> arrivals;
  KeptCounts kept;
  /// Number of runs, by request id.
  std::map<std::string, int, std::less<>> runs;
  struct Token {
    std::uint64_t token = 0;
    /// Instance of the target that held the key.
    std::string holder;
  };
  /// Highest fencing token of each key so far.
  std::vector<Token> tokens;
  /// Arrivals in the last second at each target that its daemon knows to be
  /// cold, by its name, and the peak of their number.
  std::map<std::string, std::deque<base::TimePoint>> cold_arrivals;
  std::size_t most_cold_arrivals = 0;
  std::uint64_t cold_arrival_count = 0;
  std::uint64_t pause_count = 0;
  /// When this program last noticed that it had not run for a while (what
  /// arrived meanwhile is seen at the same time), and when it last ran.
  base::TimePoint paused_at{};
  base::TimePoint running_at = base::BootClock::now();
  /// Since when two targets have held the same key, by their ids.
  std::map<std::string, base::TimePoint> overlaps;
  std::set<std::string> violations;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
};

/// State of a process that is required to answer what it passes on.
constexpr std::string_view kAlive = "alive";

/// @brief Records the end of a request on a kept connection to the given
/// process of a VM.
void EndKept(Checker& checker,
             const Vm& vm,
             std::uint64_t generation,
             const std::string& id,
             KeptEnd end);

/// @brief Registers the checker's callbacks with all targets of the fleet.
void AttachChecker(Checker& checker);

/// @brief Records a violation.
void AddViolation(Checker& checker, std::string_view rule, std::string detail);

/// @brief Whether the last unplanned disturbance ended longer than `time` ago.
bool IsUndisturbedFor(const Checker& checker, base::Duration time);

/// @brief Notes pauses of this program for as long as it runs.
asio::awaitable<void> WatchPauses(Checker& checker);

/// @brief Checks that no two targets hold the same key for too long.
void CheckHolds(Checker& checker);

/// @brief Checks for refused requests that ran, for lost responses and for
/// requests that were passed on but not answered, once all requests have ended.
void CheckRequests(Checker& checker);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_CHECKER_HPP
