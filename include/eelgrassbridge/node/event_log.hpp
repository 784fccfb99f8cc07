// Structured log of a node: the closed list of its events, one JSON line each
// on standard output.
//
// Lines are written without blocking: what the reader does not take, and what
// exceeds the budget of an event, is counted and told in a later line.
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
  kSettingsReloaded,
  kSettingsRejected,
  kStoreLost,
  kStoreRegained,
  kRoutesInForce,
  kRoutesRejected,
  kRowRejected,
  kDataCentreOut,
  kDataCentreBack,
  kMemberChanged,
  kMemberRemoved,
  kTargetStarted,
  kTargetLeaving,
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
  /// Lines a second of one event; a burst of twice as many is let through.
  double lines_per_second = 100;
  /// Formatted and not yet written.
  std::size_t buffer_bytes = std::size_t{64} * 1024;
  int descriptor = 1;
};

/// @brief State of the log. Invariant: the buffer ends with a whole line.
struct EventLog {
  EventLogOptions options;
  std::string name;
  /// Start of the process; the ages of what a line tells are worked out from
  /// the time since then, because the time of day may jump.
  base::TimePoint started_at = base::BootClock::now();
  std::string buffer;
  struct Budget {
    double lines = 0;
    base::TimePoint updated_at{};
    std::uint64_t dropped = 0;
  };
  std::array<Budget, kEventKindCount> budgets{};
  std::uint64_t dropped_total = 0;
};

/// @brief Adds a line, or counts it as dropped.
void Log(EventLog& log,
         EventKind kind,
         std::initializer_list<EventField> fields);

/// @brief Writes what the reader takes now; never waits.
void Flush(EventLog& log);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_EVENT_LOG_HPP
