// Kinds of faults and planned operations, and their random selection.
#include "faults.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <csignal>

namespace eelgrassbridge::soak {

namespace {

using asio::awaitable;
using standins::StoreFault;
using standins::TargetFault;
using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{20};
/// A target keeps serving for this long after its daemon has acknowledged that
/// it leaves.
constexpr milliseconds kDrainTime{2500};

std::uint64_t Draw(Faults& faults, std::uint64_t below) {
  return faults.random() % below;
}

milliseconds DrawDuration(Faults& faults, int least, int most) {
  return milliseconds{
      least +
      static_cast<int>(Draw(faults, static_cast<std::uint64_t>(most - least)))};
}

Vm& DrawVm(Faults& faults) {
  auto& vms = faults.checker.fleet.vms;
  return *vms[Draw(faults, vms.size())];
}

/// Scope of an unplanned disturbance.
struct Disturbance {
  explicit Disturbance(Faults& owner) : faults(owner) {
    ++this->faults.unplanned;
    this->faults.checker.disturbance.undisturbed_since =
        base::TimePoint::max() - base::seconds{60};
  }
  ~Disturbance() {
    if (--this->faults.unplanned == 0) {
      this->faults.checker.disturbance.undisturbed_since =
          base::BootClock::now();
    }
  }
  Disturbance(const Disturbance&) = delete;
  Disturbance& operator=(const Disturbance&) = delete;
  Faults& faults;
};

void ExtendTo(base::TimePoint& end, base::TimePoint time) {
  end = std::max(end, time);
}

awaitable<void> Pause(Faults& faults, milliseconds time) {
  co_await http::Sleep(faults.checker.fleet.io, time);
}

awaitable<void> Kill(Faults& faults) {
  Vm& vm = DrawVm(faults);
  const milliseconds down = DrawDuration(faults, 200, 2500);
  co_await KillFor(faults, vm, down);
}

awaitable<void> Freeze(Faults& faults) {
  Vm& vm = DrawVm(faults);
  const milliseconds time = DrawDuration(faults, 300, 7000);
  co_await FreezeFor(faults, vm, time);
}

/// Planned stop. The daemon is killed if it has not exited within the grace
/// period.
awaitable<void> StopVm(Faults& faults, Vm& vm) {
  if (vm.stopping) {
    co_return;
  }
  RecordEvent(faults, "stop " + vm.name);
  vm.stopping = true;
  vm.events.stopped_at = base::BootClock::now();
  vm.events.stopped_generation = vm.generation;
  bench::Signal(vm.process, SIGTERM);
  const auto latest = base::BootClock::now() + kTerminationGrace;
  while (bench::IsRunning(vm.process) && base::BootClock::now() < latest) {
    co_await Pause(faults, kPollInterval);
  }
  bench::Stop(vm.process, SIGKILL);
  StartDaemon(faults.checker.fleet, vm);
}

awaitable<void> StopGracefully(Faults& faults) {
  co_await StopVm(faults, DrawVm(faults));
}

awaitable<void> Reload(Faults& faults) {
  ReloadSettings(faults, DrawVm(faults));
  co_return;
}

awaitable<void> InjectLinkFault(Faults& faults) {
  Vm& vm = DrawVm(faults);
  const std::array<std::pair<std::string_view, Link*>, 3> links = {
      {{"store", &vm.store_link},
       {"target", &vm.target_link},
       {"daemons", &vm.daemon_link}}};
  const auto& [name, link] = links[Draw(faults, links.size())];
  const milliseconds time = DrawDuration(faults, 300, 8000);
  const Disturbance disturbance(faults);
  const auto kind = Draw(faults, 5);
  RecordEvent(faults, fmt::format("link of {} to {}: fault {} for {} ms",
                                  vm.name, name, kind, time.count()));
  if (kind == 0) {
    ExtendTo(vm.events.cut_until, base::BootClock::now());
    ResetAll(*link);
    co_return;
  }
  const auto fault = static_cast<LinkFault>(kind);
  SetFault(*link, fault, DrawDuration(faults, 20, 400));
  if (fault != LinkFault::kDelay) {
    ExtendTo(vm.events.cut_until, base::BootClock::now() + time);
  }
  co_await Pause(faults, time);
  SetFault(*link, LinkFault::kNone);
}

awaitable<void> InjectStoreFault(Faults& faults) {
  standins::RowStandin& store = faults.checker.fleet.store;
  const milliseconds time = DrawDuration(faults, 300, 7000);
  const Disturbance disturbance(faults);
  const auto kind = Draw(faults, 6);
  RecordEvent(faults,
              fmt::format("store: fault {} for {} ms", kind, time.count()));
  if (kind == 0) {
    DropHistory(store);
    co_return;
  }
  if (kind == 5) {
    store.delay = DrawDuration(faults, 50, 500);
  } else {
    store.fault = static_cast<StoreFault>(kind);
  }
  co_await Pause(faults, time);
  store.delay = milliseconds{0};
  store.fault = StoreFault::kNone;
}

awaitable<void> CrashTarget(Faults& faults) {
  Vm& vm = DrawVm(faults);
  const milliseconds down = DrawDuration(faults, 50, 4000);
  const bool same_id = Draw(faults, 2) == 0;
  if (vm.target.down || vm.target.leaving) {
    co_return;
  }
  const Disturbance disturbance(faults);
  RecordEvent(faults,
              fmt::format("crash {} for {} ms", vm.target.id, down.count()));
  Crash(vm.target);
  co_await Pause(faults, down);
  Restart(vm.target, same_id ? vm.target.id : vm.target.id + "x");
}

/// Planned replacement of a target by a new one at the same address.
awaitable<void> ReplaceTarget(Faults& faults) {
  standins::TargetStandin& target = DrawVm(faults).target;
  if (target.down || target.leaving) {
    co_return;
  }
  RecordEvent(faults, "replace " + target.id);
  target.leaving = true;
  const auto latest = base::BootClock::now() + kTerminationGrace;
  while (target.leaving_acknowledged_at == base::TimePoint{} &&
         base::BootClock::now() < latest) {
    co_await Pause(faults, kPollInterval);
  }
  co_await Pause(faults, kDrainTime + milliseconds{500});
  if (!target.down) {
    Restart(target, target.id + "n");
  }
}

awaitable<void> InjectTargetFault(Faults& faults) {
  standins::TargetStandin& target = DrawVm(faults).target;
  const auto kind = 1 + Draw(faults, 5);
  const milliseconds time = DrawDuration(faults, 300, 4000);
  const Disturbance disturbance(faults);
  RecordEvent(faults, fmt::format("{}: fault {} for {} ms", target.id, kind,
                                  time.count()));
  target.fault = static_cast<TargetFault>(kind);
  co_await Pause(faults, time);
  target.fault = TargetFault::kNone;
}

awaitable<void> ChangeRoutes(Faults& faults) {
  RecordEvent(faults, "new routes");
  WriteRoutes(faults.checker.fleet);
  co_return;
}

awaitable<void> EvacuateDataCentre(Faults& faults) {
  Fleet& fleet = faults.checker.fleet;
  if (!fleet.evacuated_data_centre.empty()) {
    co_return;
  }
  const std::string data_centre = Draw(faults, 2) == 0 ? "a1" : "a2";
  RecordEvent(faults, "out of service: " + data_centre);
  TakeOutOfService(fleet, data_centre);
  co_await Pause(faults, DrawDuration(faults, 1000, 9000));
  ReturnToService(fleet);
}

using FaultKind = awaitable<void> (*)(Faults&);
/// Link faults are listed twice, since each VM has three links.
constexpr std::array<FaultKind, 11> kKinds = {Kill,
                                              Freeze,
                                              StopGracefully,
                                              Reload,
                                              InjectLinkFault,
                                              InjectLinkFault,
                                              InjectStoreFault,
                                              CrashTarget,
                                              InjectTargetFault,
                                              ReplaceTarget,
                                              ChangeRoutes};

awaitable<void> RunFault(Faults& faults, awaitable<void> fault) {
  ++faults.active;
  co_await std::move(fault);
  --faults.active;
}

/// Records a violation for each daemon that exited unexpectedly, and restarts
/// it.
void CheckProcesses(Faults& faults) {
  for (const auto& vm : faults.checker.fleet.vms) {
    if (vm->stopping || bench::IsRunning(vm->process)) {
      continue;
    }
    const int status = bench::Stop(vm->process, 0);
    AddViolation(
        faults.checker, "process",
        fmt::format("{} exited unexpectedly with status {}", vm->name, status));
    StartDaemon(faults.checker.fleet, *vm);
  }
}

}  // namespace

void RecordEvent(Faults& faults, std::string text) {
  const std::chrono::duration<double> at =
      base::BootClock::now() - faults.started_at;
  faults.history.push_back(fmt::format("{:.2f} {}", at.count(), text));
}

void LaunchFault(Faults& faults, awaitable<void> fault) {
  asio::co_spawn(faults.checker.fleet.io, RunFault(faults, std::move(fault)),
                 asio::detached);
}

awaitable<void> KillFor(Faults& faults, Vm& vm, milliseconds down) {
  if (vm.stopping) {
    co_return;
  }
  const Disturbance disturbance(faults);
  RecordEvent(faults, fmt::format("kill {} for {} ms", vm.name, down.count()));
  vm.stopping = true;
  vm.events.killed_at = base::BootClock::now();
  bench::Signal(vm.process, SIGCONT);
  bench::Stop(vm.process, SIGKILL);
  co_await Pause(faults, down);
  StartDaemon(faults.checker.fleet, vm);
}

awaitable<void> RestartWithoutStore(Faults& faults, Vm& vm, milliseconds time) {
  const Disturbance disturbance(faults);
  RecordEvent(faults,
              fmt::format("no store for {} for {} ms", vm.name, time.count()));
  ExtendTo(vm.events.cut_until, base::BootClock::now() + time);
  SetFault(vm.store_link, LinkFault::kCutBoth);
  co_await KillFor(faults, vm, milliseconds{100});
  co_await Pause(faults, time);
  SetFault(vm.store_link, LinkFault::kNone);
}

awaitable<void> FreezeFor(Faults& faults, Vm& vm, milliseconds time) {
  const Disturbance disturbance(faults);
  const std::uint64_t generation = vm.generation;
  RecordEvent(faults,
              fmt::format("freeze {} for {} ms", vm.name, time.count()));
  bench::Signal(vm.process, SIGSTOP);
  ExtendTo(vm.events.frozen_until, base::BootClock::now() + time);
  co_await Pause(faults, time);
  if (generation == vm.generation) {
    bench::Signal(vm.process, SIGCONT);
    ExtendTo(vm.events.frozen_until, base::BootClock::now());
  }
}

void LaunchStop(Faults& faults, Vm& vm) {
  LaunchFault(faults, StopVm(faults, vm));
}

void ReloadSettings(Faults& faults, const Vm& vm) {
  RecordEvent(faults, "reload " + vm.name);
  if (!vm.stopping) {
    bench::Signal(vm.process, SIGHUP);
  }
}

awaitable<void> RunFaults(Faults& faults, std::chrono::seconds time) {
  const base::TimePoint end = base::BootClock::now() + time;
  while (base::BootClock::now() < end) {
    // Sometimes several at once, so that faults overlap.
    const std::uint64_t count = Draw(faults, 4) == 0 ? 3 : 1;
    for (std::uint64_t i = 0; i < count; ++i) {
      LaunchFault(faults, kKinds[Draw(faults, kKinds.size())](faults));
    }
    if (Draw(faults, 8) == 0) {
      LaunchFault(faults, EvacuateDataCentre(faults));
    }
    const auto next = base::BootClock::now() + DrawDuration(faults, 200, 3500);
    while (base::BootClock::now() < next) {
      co_await Pause(faults, kPollInterval);
      CheckHolds(faults.checker);
      CheckProcesses(faults);
    }
  }
  while (faults.active > 0) {
    co_await Pause(faults, kPollInterval);
    CheckHolds(faults.checker);
    CheckProcesses(faults);
  }
}

}  // namespace eelgrassbridge::soak
