// Time as the decisions see it.
//
// Decisions take the time as an argument. Leases use CLOCK_BOOTTIME, which
// counts the time a VM was suspended; CLOCK_MONOTONIC stops there and would
// let a resumed VM go on serving after its lease ended.
#ifndef EELGRASSBRIDGE_BASE_TIME_HPP
#define EELGRASSBRIDGE_BASE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace eelgrassbridge::base {

using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Clock that counts the suspension of the VM.
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

/// @brief Wall clock in Unix milliseconds, for deadlines given to a target on
/// the same VM and for records read by people.
std::int64_t UnixMilliseconds();

/// @brief Microseconds since the clock's origin, for messages.
inline std::int64_t ToMicroseconds(TimePoint time) {
  return time.time_since_epoch().count();
}

inline TimePoint FromMicroseconds(std::int64_t value) {
  return TimePoint{Duration{value}};
}

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_TIME_HPP
