// Load of the soak test.
#include "callers.hpp"

#include <spdlog/fmt/fmt.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "eelgrassbridge/http/endpoint.hpp"
#include "requests.hpp"

namespace eelgrassbridge::soak {

namespace {

using asio::awaitable;
using base::TimePoint;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// Bounds that the platform's site files set.
constexpr base::Duration kContactBound = base::seconds{4};
constexpr base::Duration kConfigApplyBound = base::milliseconds{2500};
constexpr base::Duration kRecoveryBound = base::seconds{15};
constexpr std::chrono::milliseconds kProbePause{300};

awaitable<Answer> Ask(http::ConnectionPool& pool,
                      const Vm& vm,
                      http::BufferedRequest request) {
  const auto endpoint = http::ParseEndpoint(vm.callers_address);
  auto response = co_await http::Call(pool, *endpoint, std::move(request));
  if (!response) {
    co_return Answer{};
  }
  co_return Answer{response.value().head.status,
                   std::move(response.value().head.headers),
                   std::move(response.value().body)};
}

void CountAnswer(Checker& checker, int status) {
  constexpr int kServiceUnavailable = 503;
  checker.answered += status == kOk ? 1 : 0;
  checker.refused += status == kServiceUnavailable ? 1 : 0;
  checker.failed += status != kOk && status != kServiceUnavailable ? 1 : 0;
}

awaitable<Answer> AskAndCheck(Callers& callers,
                              http::ConnectionPool& pool,
                              const Vm& vm,
                              const Kind& kind) {
  OpenRequest request = BeginRequest(callers, vm, kind);
  Answer answer = co_await Ask(pool, vm, std::move(request.message));
  EndRequest(callers.checker, vm, request, answer);
  co_return answer;
}

awaitable<void> RunCaller(Callers& callers, Vm& vm) {
  http::ConnectionPool pool(callers.checker.fleet.io, {});
  ++callers.active;
  while (callers.running) {
    const Kind& kind = kKinds[callers.random() % kKinds.size()];
    const Answer answer = co_await AskAndCheck(callers, pool, vm, kind);
    CountAnswer(callers.checker, answer.status);
    co_await http::Sleep(callers.checker.fleet.io, callers.options.pause);
  }
  --callers.active;
}

awaitable<void> RunBurstCaller(Callers& callers, Vm& vm) {
  static constexpr Kind kPatient{"GET", "/patient/x", "desk", true, false, 0};
  http::ConnectionPool pool(callers.checker.fleet.io, {});
  ++callers.active;
  const Answer answer = co_await AskAndCheck(callers, pool, vm, kPatient);
  CountAnswer(callers.checker, answer.status);
  --callers.active;
}

/// Requests the probe route of the newest version. It must be served once it is
/// due, and the same process must not return 404 for it afterwards.
awaitable<void> RunProbe(Callers& callers, Vm& vm) {
  Checker& checker = callers.checker;
  const Fleet& fleet = checker.fleet;
  http::ConnectionPool pool(fleet.io, {});
  std::uint64_t seen_version = 0;
  std::uint64_t seen_generation = 0;
  ++callers.active;
  while (callers.running) {
    const std::uint64_t version = fleet.routes_version;
    const TimePoint written_at = fleet.routes_written_at;
    const std::uint64_t generation = vm.generation;
    const bool due = base::BootClock::now() > written_at + kConfigApplyBound &&
                     IsUndisturbedFor(checker, kContactBound);
    const std::string path = fmt::format("/version-{}/x", version);
    const Kind kind{"GET", path, "desk", true, false, 0};
    const Answer answer = co_await AskAndCheck(callers, pool, vm, kind);
    const bool same =
        version == fleet.routes_version && generation == vm.generation;
    if (answer.status == kNotFound && same) {
      if (due) {
        AddViolation(checker, "routes",
                     fmt::format("{} did not apply version {} in time", vm.name,
                                 version));
      }
      if (seen_version == version && seen_generation == generation) {
        AddViolation(checker, "routes",
                     fmt::format("{} reverted version {}", vm.name, version));
      }
    } else if (answer.status == kOk) {
      seen_version = version;
      seen_generation = generation;
    }
    co_await http::Sleep(fleet.io, kProbePause);
  }
  --callers.active;
}

/// Whether the daemon answers requests of all kinds, for random keys.
awaitable<bool> IsServing(Callers& callers, const Vm& vm) {
  constexpr int kKeyRounds = 6;
  http::ConnectionPool pool(callers.checker.fleet.io, {});
  for (int i = 0; i < kKeyRounds; ++i) {
    for (const Kind& kind : kKinds) {
      const Answer answer = co_await AskAndCheck(callers, pool, vm, kind);
      if (answer.status != kOk) {
        co_return false;
      }
    }
  }
  co_return true;
}

}  // namespace

void Start(Callers& callers) {
  Fleet& fleet = callers.checker.fleet;
  for (const auto& vm : fleet.vms) {
    for (int i = 0; i < callers.options.callers_per_vm; ++i) {
      asio::co_spawn(fleet.io, RunCaller(callers, *vm), asio::detached);
    }
    asio::co_spawn(fleet.io, RunProbe(callers, *vm), asio::detached);
  }
}

void LaunchBurst(Callers& callers, std::uint64_t count) {
  Fleet& fleet = callers.checker.fleet;
  for (std::uint64_t i = 0; i < count; ++i) {
    asio::co_spawn(fleet.io,
                   RunBurstCaller(callers, *fleet.vms[i % fleet.vms.size()]),
                   asio::detached);
  }
}

awaitable<void> AwaitRecovery(Callers& callers) {
  Checker& checker = callers.checker;
  const TimePoint latest = base::BootClock::now() + kRecoveryBound;
  for (const auto& vm : checker.fleet.vms) {
    bool serving = co_await IsServing(callers, *vm);
    while (!serving && base::BootClock::now() < latest) {
      co_await http::Sleep(checker.fleet.io, kProbePause);
      serving = co_await IsServing(callers, *vm);
    }
    if (!serving) {
      AddViolation(checker, "recovery",
                   vm->name + " does not serve all services again");
    }
  }
}

}  // namespace eelgrassbridge::soak
