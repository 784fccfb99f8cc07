// The kinds of faults and their drawing.
#include "faults.hpp"

#include <spdlog/fmt/fmt.h>

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

/// The platform kills a process this long after SIGTERM.
constexpr milliseconds kGrace{6000};
constexpr milliseconds kStopCheck{20};
/// A target serves on for this long after its departure was acknowledged.
constexpr milliseconds kDrainTime{2500};

std::uint64_t Draw(Faults& faults, std::uint64_t below) {
  return faults.random() % below;
}

milliseconds DrawTime(Faults& faults, int least, int most) {
  return milliseconds{
      least +
      static_cast<int>(Draw(faults, static_cast<std::uint64_t>(most - least)))};
}

Place& DrawPlace(Faults& faults) {
  auto& places = faults.checker.fleet.places;
  return *places[Draw(faults, places.size())];
}

void Note(Faults& faults, std::string text) {
  const std::chrono::duration<double> at =
      base::BootClock::now() - faults.began_at;
  faults.history.push_back(fmt::format("{:.2f} {}", at.count(), text));
}

/// Time in which something unplanned goes on.
struct Disturbance {
  explicit Disturbance(Faults& owner) : faults(owner) {
    ++this->faults.unplanned;
    this->faults.checker.calm.undisturbed_since =
        base::TimePoint::max() - base::seconds{60};
  }
  ~Disturbance() {
    if (--this->faults.unplanned == 0) {
      this->faults.checker.calm.undisturbed_since = base::BootClock::now();
    }
  }
  Disturbance(const Disturbance&) = delete;
  Disturbance& operator=(const Disturbance&) = delete;
  Faults& faults;
};

awaitable<void> Pause(Faults& faults, milliseconds time) {
  co_await http::Sleep(faults.checker.fleet.io, time);
}

awaitable<void> Kill(Faults& faults) {
  Place& place = DrawPlace(faults);
  const milliseconds down = DrawTime(faults, 200, 2500);
  if (place.ending) {
    co_return;
  }
  const Disturbance disturbance(faults);
  Note(faults, fmt::format("kill {} for {} ms", place.name, down.count()));
  place.ending = true;
  bench::Signal(place.process, SIGCONT);
  bench::Stop(place.process, SIGKILL);
  co_await Pause(faults, down);
  StartDaemon(faults.checker.fleet, place);
}

awaitable<void> Freeze(Faults& faults) {
  Place& place = DrawPlace(faults);
  const milliseconds time = DrawTime(faults, 300, 7000);
  const Disturbance disturbance(faults);
  const std::uint64_t life = place.life;
  Note(faults, fmt::format("freeze {} for {} ms", place.name, time.count()));
  bench::Signal(place.process, SIGSTOP);
  co_await Pause(faults, time);
  if (life == place.life) {
    bench::Signal(place.process, SIGCONT);
  }
}

/// Planned stop; the process must end by itself before the kill.
awaitable<void> Terminate(Faults& faults) {
  Place& place = DrawPlace(faults);
  if (place.ending) {
    co_return;
  }
  Note(faults, "stop " + place.name);
  place.ending = true;
  bench::Signal(place.process, SIGTERM);
  const auto latest = base::BootClock::now() + kGrace;
  while (bench::IsRunning(place.process) && base::BootClock::now() < latest) {
    co_await Pause(faults, kStopCheck);
  }
  bench::Stop(place.process, SIGKILL);
  StartDaemon(faults.checker.fleet, place);
}

awaitable<void> Reload(Faults& faults) {
  const Place& place = DrawPlace(faults);
  Note(faults, "reload " + place.name);
  if (!place.ending) {
    bench::Signal(place.process, SIGHUP);
  }
  co_return;
}

awaitable<void> SpoilLink(Faults& faults) {
  Place& place = DrawPlace(faults);
  const std::array<std::pair<std::string_view, Link*>, 3> links = {
      {{"store", &place.to_store},
       {"target", &place.to_target},
       {"daemons", &place.to_daemon}}};
  const auto& [name, link] = links[Draw(faults, links.size())];
  const milliseconds time = DrawTime(faults, 300, 8000);
  const Disturbance disturbance(faults);
  const auto kind = Draw(faults, 5);
  Note(faults, fmt::format("link of {} to {}: fault {} for {} ms", place.name,
                           name, kind, time.count()));
  if (kind == 0) {
    ResetAll(*link);
    co_return;
  }
  SetFault(*link, static_cast<LinkFault>(kind), DrawTime(faults, 20, 400));
  co_await Pause(faults, time);
  SetFault(*link, LinkFault::kNone);
}

awaitable<void> SpoilStore(Faults& faults) {
  standins::RowStandin& store = faults.checker.fleet.store;
  const milliseconds time = DrawTime(faults, 300, 7000);
  const Disturbance disturbance(faults);
  const auto kind = Draw(faults, 6);
  Note(faults, fmt::format("store: fault {} for {} ms", kind, time.count()));
  if (kind == 0) {
    DropHistory(store);
    co_return;
  }
  if (kind == 5) {
    store.delay = DrawTime(faults, 50, 500);
  } else {
    store.fault = static_cast<StoreFault>(kind);
  }
  co_await Pause(faults, time);
  store.delay = milliseconds{0};
  store.fault = StoreFault::kNone;
}

awaitable<void> CrashTarget(Faults& faults) {
  Place& place = DrawPlace(faults);
  const milliseconds down = DrawTime(faults, 50, 4000);
  const bool same_id = Draw(faults, 2) == 0;
  if (place.target.down || place.target.leaving) {
    co_return;
  }
  const Disturbance disturbance(faults);
  Note(faults,
       fmt::format("crash {} for {} ms", place.target.id, down.count()));
  Crash(place.target);
  co_await Pause(faults, down);
  Restart(place.target, same_id ? place.target.id : place.target.id + "x");
}

/// Planned departure of a target, and a new one at its address.
awaitable<void> ReplaceTarget(Faults& faults) {
  standins::TargetStandin& target = DrawPlace(faults).target;
  if (target.down || target.leaving) {
    co_return;
  }
  Note(faults, "replace " + target.id);
  target.leaving = true;
  const auto latest = base::BootClock::now() + kGrace;
  while (target.leaving_acknowledged_at == base::TimePoint{} &&
         base::BootClock::now() < latest) {
    co_await Pause(faults, kStopCheck);
  }
  co_await Pause(faults, kDrainTime + milliseconds{500});
  if (!target.down) {
    Restart(target, target.id + "n");
  }
}

awaitable<void> SpoilTarget(Faults& faults) {
  standins::TargetStandin& target = DrawPlace(faults).target;
  const auto kind = 1 + Draw(faults, 5);
  const milliseconds time = DrawTime(faults, 300, 4000);
  const Disturbance disturbance(faults);
  Note(faults,
       fmt::format("{}: fault {} for {} ms", target.id, kind, time.count()));
  target.fault = static_cast<TargetFault>(kind);
  co_await Pause(faults, time);
  target.fault = TargetFault::kNone;
}

awaitable<void> ChangeRoutes(Faults& faults) {
  Note(faults, "routes");
  WriteRoutes(faults.checker.fleet);
  co_return;
}

awaitable<void> EvacuateDataCentre(Faults& faults) {
  Fleet& fleet = faults.checker.fleet;
  if (!fleet.data_centre_out.empty()) {
    co_return;
  }
  const std::string data_centre = Draw(faults, 2) == 0 ? "a1" : "a2";
  Note(faults, "out of service: " + data_centre);
  TakeOut(fleet, data_centre);
  co_await Pause(faults, DrawTime(faults, 1000, 9000));
  TakeBack(fleet);
}

using FaultKind = awaitable<void> (*)(Faults&);
/// Links stand twice, since each place has three of them.
constexpr std::array<FaultKind, 11> kKinds = {
    Kill,       Freeze,      Terminate,   Reload,        SpoilLink,   SpoilLink,
    SpoilStore, CrashTarget, SpoilTarget, ReplaceTarget, ChangeRoutes};

awaitable<void> RunOne(Faults& faults, FaultKind kind) {
  ++faults.active;
  co_await kind(faults);
  --faults.active;
}

void Launch(Faults& faults, FaultKind kind) {
  asio::co_spawn(faults.checker.fleet.io, RunOne(faults, kind), asio::detached);
}

/// A daemon that ended without being told to is a fault of its own.
void CheckProcesses(Faults& faults) {
  for (const auto& place : faults.checker.fleet.places) {
    if (place->ending || bench::IsRunning(place->process)) {
      continue;
    }
    const int status = bench::Stop(place->process, 0);
    Violate(faults.checker, "process",
            fmt::format("{} ended by itself with {}", place->name, status));
    StartDaemon(faults.checker.fleet, *place);
  }
}

}  // namespace

awaitable<void> RunFaults(Faults& faults, std::chrono::seconds time) {
  const base::TimePoint end = base::BootClock::now() + time;
  while (base::BootClock::now() < end) {
    // Several at once now and then, so that faults overlap.
    const std::uint64_t count = Draw(faults, 4) == 0 ? 3 : 1;
    for (std::uint64_t i = 0; i < count; ++i) {
      Launch(faults, kKinds[Draw(faults, kKinds.size())]);
    }
    if (Draw(faults, 8) == 0) {
      Launch(faults, EvacuateDataCentre);
    }
    const auto next = base::BootClock::now() + DrawTime(faults, 200, 3500);
    while (base::BootClock::now() < next) {
      co_await Pause(faults, kStopCheck);
      CheckHolds(faults.checker);
      CheckProcesses(faults);
    }
  }
  while (faults.active > 0) {
    co_await Pause(faults, kStopCheck);
    CheckHolds(faults.checker);
    CheckProcesses(faults);
  }
}

}  // namespace eelgrassbridge::soak
