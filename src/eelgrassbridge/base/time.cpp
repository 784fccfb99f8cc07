// Readings of the system clocks.
#include "eelgrassbridge/base/time.hpp"

#include <ctime>

namespace eelgrassbridge::base {

BootClock::time_point BootClock::now() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point{std::chrono::duration_cast<Duration>(
      std::chrono::seconds{reading.tv_sec} +
      std::chrono::nanoseconds{reading.tv_nsec})};
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace eelgrassbridge::base
