// Structured log of a node: one JSON line per event on standard output, for the
// closed list of events in EventKind.
//
// Writing never blocks. Lines that exceed the rate limit of their event, or the
// buffer because the reader is too slow, are dropped and counted; a later line
// reports their number.
#ifndef EELGRASSBRIDGE_NODE_EVENT_LOG_HPP
#define EELGRASSBRIDGE_NODE_EVENT_LOG_HPP

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::node {

enum class EventKind : std::uint8_t {
  kStarted,
  kStopping,
  kStopped,
  kProcessFailed,
  kProcessPaused,
  kSettingsReloaded,
  kSettingsRejected,
  kStoreLost,
  kStoreRegained,
  kStoreRestored,
  kStoreRefused,
  kPollAbandoned,
  kRelayFailed,
  kRelayRegained,
  kRoutesInForce,
  kRoutesRejected,
  kRowRejected,
  kDataCentreOut,
  kDataCentreBack,
  kMemberChanged,
  kMemberRemoved,
  kTargetStarted,
  kTargetLeaving,
  kTargetCold,
  kTargetWarm,
  kCapacityChanged,
  kReportRejected,
  kLeaseAcquired,
  kLeaseLost,
  kRangesChanged,
  kRangesPlanned,
  kRangesReleased,
  kRequestAnswered,
  kRequestRefused,
  kRequestFailed,
  kRequestRetried,
  kRequestRun,
  kRequestTurnedAway,
  kCallerLeft,
  kConnectionClosed,
  kQuotaCoordinatorGained,
  kQuotaCoordinatorLost,
  kLinesDropped,
};

inline constexpr std::size_t kEventKindCount =
    static_cast<std::size_t>(EventKind::kLinesDropped) + 1;

/// @brief Name of an event in the log, e.g. "request_refused".
std::string_view EventName(EventKind kind);

struct EventField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double> value;
};

struct EventLogOptions {
  /// Rate limit of each event, with a burst of twice as many lines.
  double lines_per_second = 100;
  /// Maximum size of the lines that are formatted but not written yet.
  std::size_t buffer_bytes = std::size_t{64} * 1024;
  /// File descriptor that lines are written to.
  int descriptor = 1;
};

/// @brief State of the log. Invariant: the buffer ends with a complete line.
struct EventLog {
  EventLogOptions options;
  /// Value of the field "daemon" in each line.
  std::string name;
  /// Start of the process. Each line has the time since then besides the time
  /// of day: readers compute ages from it, because the time of day may jump.
  base::TimePoint started_at = base::BootClock::now();
  std::string buffer;
  /// Token bucket that limits the rate of one event.
  struct Budget {
    /// Lines that may be written at `updated_at`.
    double lines = 0;
    base::TimePoint updated_at{};
    /// Lines dropped and not reported yet.
    std::uint64_t dropped = 0;
  };
  std::array<Budget, kEventKindCount> budgets{};
  std::uint64_t dropped_total = 0;
};

/// @brief Adds a line to the buffer, or counts it as dropped.
void Log(EventLog& log,
         EventKind kind,
         std::initializer_list<EventField> fields);

/// @brief Writes as much of the buffer as the descriptor accepts without
/// blocking.
void Flush(EventLog& log);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_EVENT_LOG_HPP
