// Random limits, series of changes, and the operations that they accompany.
#include "limit_changes.hpp"

#include <spdlog/fmt/fmt.h>

namespace eelgrassbridge::soak {

namespace {

using asio::awaitable;
using std::chrono::milliseconds;

std::uint64_t Draw(LimitChanges& changes, std::uint64_t below) {
  return changes.random() % below;
}

milliseconds DrawDuration(LimitChanges& changes, int least, int most) {
  return milliseconds{least +
                      static_cast<int>(Draw(
                          changes, static_cast<std::uint64_t>(most - least)))};
}

void ChangeLimits(LimitChanges& changes) {
  ConnectionLimits limits;
  limits.head_timeout = DrawDuration(changes, 60, 300);
  limits.idle_timeout = DrawDuration(changes, 100, 500);
  ++changes.count;
  RecordEvent(changes.faults, fmt::format("limits: head {} ms, idle {} ms",
                                          limits.head_timeout.count(),
                                          limits.idle_timeout.count()));
  WriteLimits(changes.faults.checker.fleet, limits);
}

/// In half of the cases a planned stop or a reload of the settings, while the
/// series of changes goes on.
void LaunchOperation(LimitChanges& changes) {
  auto& vms = changes.faults.checker.fleet.vms;
  Vm& vm = *vms[Draw(changes, vms.size())];
  const std::uint64_t kind = Draw(changes, 4);
  if (kind == 0) {
    LaunchStop(changes.faults, vm);
  } else if (kind == 1) {
    ReloadSettings(changes.faults, vm);
  }
}

}  // namespace

awaitable<void> RunLimitChanges(LimitChanges& changes,
                                std::chrono::seconds time) {
  asio::io_context& io = changes.faults.checker.fleet.io;
  const base::TimePoint end = base::BootClock::now() + time;
  while (base::BootClock::now() < end) {
    LaunchOperation(changes);
    const std::uint64_t length = 1 + Draw(changes, 4);
    for (std::uint64_t i = 0; i < length; ++i) {
      ChangeLimits(changes);
      co_await http::Sleep(io, DrawDuration(changes, 20, 700));
    }
    co_await http::Sleep(io, DrawDuration(changes, 300, 2500));
  }
}

}  // namespace eelgrassbridge::soak
