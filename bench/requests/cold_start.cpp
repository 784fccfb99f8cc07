// Cold starts: compares the cold-start ramp with no ramp, against a simulated
// target that can run one request at first and one more after a given number of
// rounds of successes.
#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <string>

#include "bench/requests/events.hpp"
#include "bench/requests/figure.hpp"
#include "bench/requests/scenarios.hpp"
#include "eelgrassbridge/limits/target_limiter.hpp"

namespace eelgrassbridge::bench {

namespace {

using base::Duration;

constexpr std::uint32_t kSlots = 9;
constexpr Duration kServiceTime = base::milliseconds{10};
constexpr Duration kLength = base::seconds{20};

/// A target that is overloaded when it runs more requests than its current
/// capacity. Overload first raises the latency; above twice the capacity the
/// target crashes, which makes it cold again.
struct ColdTarget {
  /// Rounds of successes until the capacity grows by one request.
  std::uint32_t rounds = 1;
  std::uint32_t capacity = 1;
  std::uint32_t successes = 0;
  std::uint32_t running = 0;
  std::uint32_t crashes = 0;
  std::uint32_t instance = 0;
  double max_load = 0;
};

struct Outcome {
  double max_load = 0;
  double seconds_to_full = 0;
  double crashes = 0;
  double answered = 0;
};

struct ColdStartSimulation {
  Events events;
  std::mt19937_64 random{20261204};
  ColdTarget target;
  limits::TargetLimiter limiter;
  bool use_ramp = true;
  base::TimePoint started_at;
  Outcome outcome;
  std::deque<limits::Ticket> waiting;
};

void Dispatch(ColdStartSimulation& simulation);

void Succeed(ColdTarget& target) {
  if (target.capacity < kSlots &&
      ++target.successes >= target.rounds * target.capacity) {
    ++target.capacity;
    target.successes = 0;
  }
}

void Crash(ColdTarget& target) {
  ++target.crashes;
  ++target.instance;
  target.capacity = 1;
  target.successes = 0;
  target.running = 0;
}

void Start(ColdStartSimulation& simulation, std::uint64_t generation) {
  ColdTarget& target = simulation.target;
  ++target.running;
  const double load = static_cast<double>(target.running) / target.capacity;
  target.max_load = std::max(target.max_load, load);
  if (load > 2) {
    Crash(target);
    limits::Finish(simulation.limiter, limits::RunEnd::kLost, {}, generation);
    return;
  }
  std::exponential_distribution<double> tail(1.0);
  const Duration time{static_cast<std::int64_t>(
      static_cast<double>(kServiceTime.count()) * std::max(1.0, load) *
      (0.5 + 0.5 * tail(simulation.random)))};
  const std::uint32_t instance = target.instance;
  After(simulation.events, time, [&simulation, time, generation, instance] {
    const bool lost = instance != simulation.target.instance;
    if (!lost) {
      --simulation.target.running;
      Succeed(simulation.target);
      ++simulation.outcome.answered;
    }
    limits::Finish(simulation.limiter,
                   lost ? limits::RunEnd::kLost : limits::RunEnd::kAnswered,
                   time, generation);
    Dispatch(simulation);
  });
}

void Dispatch(ColdStartSimulation& simulation) {
  if (!simulation.use_ramp) {
    simulation.limiter.ramp.level = kSlots;
  }
  while (const auto next =
             limits::NextDispatch(simulation.limiter, simulation.events.now)) {
    if (!next->refusal) {
      Start(simulation, next->generation);
    }
  }
  if (simulation.outcome.seconds_to_full == 0 &&
      simulation.limiter.in_flight == kSlots &&
      simulation.target.capacity == kSlots) {
    simulation.outcome.seconds_to_full =
        std::chrono::duration<double>(simulation.events.now -
                                      simulation.started_at)
            .count();
  }
}

void OfferRequest(ColdStartSimulation& simulation) {
  const limits::Admission admission =
      limits::Admit(simulation.limiter,
                    {catalogue::PriorityClass::kNormal, "account",
                     simulation.events.now + base::milliseconds{200}},
                    simulation.events.now);
  if (admission.state == limits::Admission::State::kRun) {
    Start(simulation, admission.generation);
  }
  Dispatch(simulation);
  After(simulation.events, Duration{900}, [&simulation] {
    if (simulation.events.now - simulation.started_at < kLength) {
      OfferRequest(simulation);
    }
  });
}

Outcome RunCold(std::uint32_t rounds, bool use_ramp) {
  ColdStartSimulation simulation;
  simulation.target.rounds = rounds;
  simulation.use_ramp = use_ramp;
  simulation.limiter = limits::MakeTargetLimiter({kSlots, 100, 64, {}});
  limits::NoteInstance(simulation.limiter, "fresh");
  simulation.limiter.ramp.level = use_ramp ? 1 : kSlots;
  simulation.started_at = simulation.events.now;
  OfferRequest(simulation);
  RunUntil(simulation.events, simulation.started_at + kLength);
  simulation.outcome.max_load = simulation.target.max_load;
  simulation.outcome.crashes = simulation.target.crashes;
  if (simulation.outcome.seconds_to_full == 0) {
    simulation.outcome.seconds_to_full =
        std::chrono::duration<double>(kLength).count();
  }
  return simulation.outcome;
}

}  // namespace

void RunColdStart() {
  for (const std::uint32_t rounds : {1U, 2U, 4U, 16U}) {
    const Outcome with_ramp = RunCold(rounds, true);
    const Outcome without_ramp = RunCold(rounds, false);
    const std::string suffix = "_warming_in_" + std::to_string(rounds);
    // The ramp cannot know in advance how many rounds a target needs for each
    // slot.
    Print({"cold_start", "largest_load_over_borne" + suffix, "ratio",
           with_ramp.max_load, without_ramp.max_load, 1.0, Better::kLower});
    Print({"cold_start", "falls" + suffix, "count", with_ramp.crashes,
           without_ramp.crashes, 0, Better::kLower});
    Print({"cold_start",
           "time_to_full_load" + suffix,
           "s",
           with_ramp.seconds_to_full,
           without_ramp.seconds_to_full,
           {},
           Better::kLower});
    Print({"cold_start",
           "answered" + suffix,
           "count",
           with_ramp.answered,
           without_ramp.answered,
           {},
           Better::kHigher});
  }
}

}  // namespace eelgrassbridge::bench
