// Random cold starts, and the faults that accompany them.
#include "cold_changes.hpp"

#include <spdlog/fmt/fmt.h>

namespace eelgrassbridge::soak {

namespace {

using asio::awaitable;
using standins::TargetStandin;
using std::chrono::milliseconds;

std::uint64_t Draw(ColdChanges& changes, std::uint64_t below) {
  return changes.random() % below;
}

milliseconds DrawDuration(ColdChanges& changes, int least, int most) {
  return milliseconds{least +
                      static_cast<int>(Draw(
                          changes, static_cast<std::uint64_t>(most - least)))};
}

Vm& DrawVm(ColdChanges& changes) {
  auto& vms = changes.faults.checker.fleet.vms;
  return *vms[Draw(changes, vms.size())];
}

void BecomeCold(ColdChanges& changes, TargetStandin& target) {
  const milliseconds time = DrawDuration(changes, 1500, 7000);
  ++changes.count;
  RecordEvent(changes.faults,
              fmt::format("{} cold for {} ms", target.id, time.count()));
  target.cold_until =
      std::max(target.cold_until, base::BootClock::now() + time);
}

/// Lets requests queue behind slow runs, and the target become cold meanwhile.
/// Then the runs are fast again.
awaitable<void> BecomeColdBehindQueue(ColdChanges& changes, Vm& vm) {
  asio::io_context& io = changes.faults.checker.fleet.io;
  const milliseconds run = DrawDuration(changes, 200, 600);
  const milliseconds cold_after = DrawDuration(changes, 0, 200);
  const milliseconds fast_after = DrawDuration(changes, 200, 600);
  RecordEvent(changes.faults, fmt::format("{} slow", vm.target.id));
  vm.target.service_time = run;
  LaunchBurst(changes.callers, 100 + Draw(changes, 200));
  co_await http::Sleep(io, cold_after);
  BecomeCold(changes, vm.target);
  co_await http::Sleep(io, fast_after);
  vm.target.service_time = standins::kServiceTime;
}

awaitable<void> FreezeRepeatedly(Faults& faults,
                                 Vm& vm,
                                 int times,
                                 milliseconds frozen,
                                 milliseconds running) {
  for (int i = 0; i < times; ++i) {
    co_await FreezeFor(faults, vm, frozen);
    co_await http::Sleep(faults.checker.fleet.io, running);
  }
}

/// Kills all daemons at the same moment and starts them within a third of a
/// second.
void KillAll(ColdChanges& changes) {
  const milliseconds down = DrawDuration(changes, 100, 1200);
  for (const auto& vm : changes.faults.checker.fleet.vms) {
    LaunchFault(changes.faults, KillFor(changes.faults, *vm,
                                        down + DrawDuration(changes, 0, 300)));
  }
}

void LaunchChange(ColdChanges& changes) {
  Faults& faults = changes.faults;
  Vm& vm = DrawVm(changes);
  switch (Draw(changes, 6)) {
    case 0:
    case 1:
      LaunchFault(faults, BecomeColdBehindQueue(changes, vm));
      break;
    case 2:
      LaunchBurst(changes.callers, 50 + Draw(changes, 200));
      break;
    case 3:
      LaunchFault(
          faults,
          FreezeRepeatedly(faults, vm, 1 + static_cast<int>(Draw(changes, 3)),
                           DrawDuration(changes, 300, 1500),
                           DrawDuration(changes, 50, 600)));
      break;
    case 4:
      KillAll(changes);
      break;
    default:
      BecomeCold(changes, vm.target);
      LaunchFault(faults, RestartWithoutStore(
                              faults, vm, DrawDuration(changes, 1000, 5000)));
      break;
  }
}

}  // namespace

awaitable<void> RunColdChanges(ColdChanges& changes,
                               std::chrono::seconds time) {
  Fleet& fleet = changes.faults.checker.fleet;
  const base::TimePoint end = base::BootClock::now() + time;
  while (base::BootClock::now() < end) {
    // The target becomes cold before, while or after something delays requests.
    LaunchChange(changes);
    co_await http::Sleep(fleet.io, DrawDuration(changes, 0, 900));
    if (Draw(changes, 4) == 0) {
      for (const auto& vm : fleet.vms) {
        BecomeCold(changes, vm->target);
      }
    } else {
      BecomeCold(changes, DrawVm(changes).target);
    }
    co_await http::Sleep(fleet.io, DrawDuration(changes, 0, 900));
    LaunchChange(changes);
    co_await http::Sleep(fleet.io, DrawDuration(changes, 300, 2500));
  }
}

}  // namespace eelgrassbridge::soak
