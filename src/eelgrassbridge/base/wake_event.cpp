// Wraps eventfd.
#include "eelgrassbridge/base/wake_event.hpp"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <system_error>

namespace eelgrassbridge::base {

WakeEvent::WakeEvent() : descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (this->descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

WakeEvent::~WakeEvent() {
  close(this->descriptor);
}

void Signal(WakeEvent& event) {
  const std::uint64_t one = 1;
  // The write fails only if the counter is full; a signal is pending then.
  (void)!write(event.descriptor, &one, sizeof one);
}

void Clear(WakeEvent& event) {
  std::uint64_t count = 0;
  (void)!read(event.descriptor, &count, sizeof count);
}

void WaitFor(WakeEvent& event, Duration timeout) {
  pollfd entry{event.descriptor, POLLIN, 0};
  const auto rounded_up =
      std::chrono::ceil<milliseconds>(std::max(timeout, Duration{0}));
  poll(&entry, 1, static_cast<int>(rounded_up.count()));
  Clear(event);
}

}  // namespace eelgrassbridge::base
