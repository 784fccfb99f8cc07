// Reads the system clocks.
#include "eelgrassbridge/base/time.hpp"

#include <ctime>

namespace eelgrassbridge::base {

BootClock::time_point BootClock::now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point{std::chrono::duration_cast<Duration>(
      std::chrono::seconds{time.tv_sec} +
      std::chrono::nanoseconds{time.tv_nsec})};
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace eelgrassbridge::base
