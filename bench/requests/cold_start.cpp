// Cold starts: the real ramp against a model target that bears one request at
// first and one more after each round of successes, at different paces.
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

/// A target that is overloaded as soon as more runs than it bears. Overload
/// first shows in the latency; at twice what it bears it falls over, which
/// makes it cold again.
struct ColdTarget {
  /// Rounds of successes for one more request borne.
  std::uint32_t rounds = 1;
  std::uint32_t bears = 1;
  std::uint32_t successes = 0;
  std::uint32_t running = 0;
  std::uint32_t falls = 0;
  std::uint32_t instance = 0;
  double largest_load = 0;
};

struct Outcome {
  double largest_load = 0;
  double seconds_to_full = 0;
  double falls = 0;
  double answered = 0;
};

struct ColdWorld {
  Events events;
  std::mt19937_64 random{20261204};
  ColdTarget target;
  limits::TargetLimiter limiter;
  bool has_ramp = true;
  base::TimePoint began;
  Outcome outcome;
  std::deque<limits::Ticket> waiting;
};

void Dispatch(ColdWorld& world);

void Succeed(ColdTarget& target) {
  if (target.bears < kSlots &&
      ++target.successes >= target.rounds * target.bears) {
    ++target.bears;
    target.successes = 0;
  }
}

void Fall(ColdTarget& target) {
  ++target.falls;
  ++target.instance;
  target.bears = 1;
  target.successes = 0;
  target.running = 0;
}

void Start(ColdWorld& world, std::uint64_t generation) {
  ColdTarget& target = world.target;
  ++target.running;
  const double load = static_cast<double>(target.running) / target.bears;
  target.largest_load = std::max(target.largest_load, load);
  if (load > 2) {
    Fall(target);
    limits::Finish(world.limiter, limits::RunEnd::kLost, {}, generation);
    return;
  }
  std::exponential_distribution<double> tail(1.0);
  const Duration time{static_cast<std::int64_t>(
      static_cast<double>(kServiceTime.count()) * std::max(1.0, load) *
      (0.5 + 0.5 * tail(world.random)))};
  const std::uint32_t instance = target.instance;
  After(world.events, time, [&world, time, generation, instance] {
    const bool lost = instance != world.target.instance;
    if (!lost) {
      --world.target.running;
      Succeed(world.target);
      ++world.outcome.answered;
    }
    limits::Finish(world.limiter,
                   lost ? limits::RunEnd::kLost : limits::RunEnd::kAnswered,
                   time, generation);
    Dispatch(world);
  });
}

void Dispatch(ColdWorld& world) {
  if (!world.has_ramp) {
    world.limiter.ramp.level = kSlots;
  }
  while (const auto next =
             limits::NextDispatch(world.limiter, world.events.now)) {
    if (!next->refusal) {
      Start(world, next->generation);
    }
  }
  if (world.outcome.seconds_to_full == 0 && world.limiter.in_flight == kSlots &&
      world.target.bears == kSlots) {
    world.outcome.seconds_to_full =
        std::chrono::duration<double>(world.events.now - world.began).count();
  }
}

void Offer(ColdWorld& world) {
  const limits::Admission admission =
      limits::Admit(world.limiter,
                    {catalogue::PriorityClass::kNormal, "account",
                     world.events.now + base::milliseconds{200}},
                    world.events.now);
  if (admission.state == limits::Admission::State::kRun) {
    Start(world, admission.generation);
  }
  Dispatch(world);
  After(world.events, Duration{900}, [&world] {
    if (world.events.now - world.began < kLength) {
      Offer(world);
    }
  });
}

Outcome RunCold(std::uint32_t rounds, bool has_ramp) {
  ColdWorld world;
  world.target.rounds = rounds;
  world.has_ramp = has_ramp;
  world.limiter = limits::MakeTargetLimiter({kSlots, 100, 64, {}});
  limits::NoteInstance(world.limiter, "fresh");
  world.limiter.ramp.level = has_ramp ? 1 : kSlots;
  world.began = world.events.now;
  Offer(world);
  RunUntil(world.events, world.began + kLength);
  world.outcome.largest_load = world.target.largest_load;
  world.outcome.falls = world.target.falls;
  if (world.outcome.seconds_to_full == 0) {
    world.outcome.seconds_to_full =
        std::chrono::duration<double>(kLength).count();
  }
  return world.outcome;
}

}  // namespace

void RunColdStart() {
  for (const std::uint32_t rounds : {1U, 2U, 4U, 16U}) {
    const Outcome real = RunCold(rounds, true);
    const Outcome plain = RunCold(rounds, false);
    const std::string pace = "_warming_in_" + std::to_string(rounds);
    // A pace slower than a round for each slot cannot be known beforehand.
    Print({"cold_start", "largest_load_over_borne" + pace, "ratio",
           real.largest_load, plain.largest_load, 1.0, Better::kLower});
    Print({"cold_start", "falls" + pace, "count", real.falls, plain.falls, 0,
           Better::kLower});
    Print({"cold_start",
           "time_to_full_load" + pace,
           "s",
           real.seconds_to_full,
           plain.seconds_to_full,
           {},
           Better::kLower});
    Print({"cold_start",
           "answered" + pace,
           "count",
           real.answered,
           plain.answered,
           {},
           Better::kHigher});
  }
}

}  // namespace eelgrassbridge::bench
