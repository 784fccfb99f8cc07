// Clock and duration types.
//
// Functions that depend on time take it as an argument. Leases use
// CLOCK_BOOTTIME, which includes the time a VM was suspended; CLOCK_MONOTONIC
// doesn't, so a resumed VM would continue to serve after its lease expired.
#ifndef EELGRASSBRIDGE_BASE_TIME_HPP
#define EELGRASSBRIDGE_BASE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace eelgrassbridge::base {

using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Steady clock that includes the time the VM was suspended.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  // The name is fixed by the standard library's clock requirements.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now();
};

using TimePoint = BootClock::time_point;

/// @brief Returns the wall clock time in Unix milliseconds, for deadlines
/// passed to a target on the same VM and for timestamps shown to operators.
std::int64_t UnixMilliseconds();

/// @brief Converts to and from microseconds since the clock's epoch, as sent in
/// messages.
inline std::int64_t ToMicroseconds(TimePoint time) {
  return time.time_since_epoch().count();
}

inline TimePoint FromMicroseconds(std::int64_t value) {
  return TimePoint{Duration{value}};
}

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_TIME_HPP
