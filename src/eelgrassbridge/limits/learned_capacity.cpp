// Divides the time into periods, compares two limits and moves them.
#include "eelgrassbridge/limits/learned_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::limits {

namespace {

using base::TimePoint;

constexpr std::uint32_t kMinFloor = 2;
constexpr std::uint32_t kFloorDivisor = 4;
/// Length of a period in typical run times, so that few runs begin under one
/// limit and end under the other.
constexpr double kRunsPerPeriod = 4;
constexpr base::Duration kMinPeriod = base::milliseconds{150};
constexpr base::Duration kMaxPeriod = base::milliseconds{3000};
/// Periods vary in length by this share, so that they do not keep step with a
/// disturbance that recurs.
constexpr double kPeriodJitter = 0.25;
/// Share of the runs of a period that must begin at the limit. Otherwise the
/// limit is not what determines the number in flight.
constexpr double kMinShareAtLimit = 0.7;
constexpr double kMinSamples = 4;
/// Runs of a kind before they are compared.
constexpr std::uint64_t kMinRunsOfKind = 10;
/// A period whose samples are longer than usual by this (e to the power of it)
/// is disturbed, which does not show the effect of the limit.
constexpr double kDisturbance = 0.5;
/// The same while nothing is compared, to notice a smaller change of speed.
constexpr double kDisturbanceAtRest = 0.3;
/// A disturbance that lasts longer is a lasting change of speed.
constexpr base::Duration kMaxDisturbance = base::milliseconds{1000};
/// Periods under each limit after which a comparison ends without a decision:
/// the limits are about as good as each other, or the run times vary too much.
constexpr std::uint32_t kMaxPeriods = 8;
/// Longest pause in a comparison, for lack of demand or because of a
/// disturbance, after which it begins anew.
constexpr base::Duration kMaxSampleAge = base::seconds{5};
/// Rest after a comparison that found the best limit. It doubles each time the
/// limit is confirmed. A rest at the stated slots may be longer than others: a
/// target that can no longer serve them becomes slower, which ends the rest,
/// but one that can serve more than the limit shows it only in a comparison.
constexpr base::Duration kRest = base::seconds{2};
constexpr base::Duration kMaxRest = base::seconds{4};
constexpr base::Duration kMaxRestAtSlots = base::seconds{16};
/// Share of the runs of a period that end after their deadlines at which a rest
/// ends, and their least number.
constexpr double kLateShare = 0.1;
constexpr std::uint32_t kMinLate = 2;
/// Step of the first comparison after a rest.
constexpr std::uint32_t kWideStepPercent = 40;
/// Bounds of the step as divisors of the limit.
constexpr std::uint32_t kMaxStepDivisor = 2;
constexpr std::uint32_t kMinStepDivisor = 10;
/// Least relative change of the level that is logged, and how long it must
/// last.
constexpr std::uint32_t kReportedChangeDivisor = 4;
constexpr base::Duration kReportedChangeTime = base::seconds{2};

/// SplitMix64; returns a number from 0 to below 1.
double NextRandom(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t value = state;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  constexpr std::uint64_t kRange = std::uint64_t{1} << 53U;
  return static_cast<double>((value ^ (value >> 31U)) % kRange) /
         static_cast<double>(kRange);
}

bool Learns(const LearnedCapacity& capacity) {
  return CapacityFloor(capacity.slots) < capacity.slots;
}

/// Run time of a typical request; zero before the first.
double TypicalRunTime(const RunTimes& times) {
  double sum = 0;
  double count = 0;
  for (const RunTimeStatistics& kind : times.kinds) {
    const auto weight = static_cast<double>(kind.count);
    sum += kind.mean * weight;
    count += weight;
  }
  return count == 0 ? 0 : std::exp(sum / count);
}

base::Duration PeriodLength(LearnedCapacity& capacity) {
  const double jitter =
      1 + kPeriodJitter * (2 * NextRandom(capacity.random) - 1);
  const auto length = base::Duration{static_cast<std::int64_t>(
      kRunsPerPeriod * TypicalRunTime(capacity.run_times))};
  const auto bounded = std::clamp(length, kMinPeriod, kMaxPeriod);
  return base::Duration{
      static_cast<std::int64_t>(static_cast<double>(bounded.count()) * jitter)};
}

void ClearArm(CapacityArm& arm) {
  arm = CapacityArm{.limit = arm.limit};
}

void SetLimits(LearnedCapacity& capacity,
               std::uint32_t low,
               std::uint32_t high) {
  capacity.low = CapacityArm{.limit = low};
  capacity.high = CapacityArm{.limit = high};
  capacity.round.clear();
}

std::uint32_t MinStep(std::uint32_t limit) {
  return std::max(1U, limit / kMinStepDivisor);
}

std::uint32_t WideStep(std::uint32_t limit) {
  return std::max(1U, limit * kWideStepPercent / 100);
}

void SetLevel(LearnedCapacity& capacity, std::uint32_t level) {
  capacity.changes_total += level == capacity.level ? 0U : 1U;
  capacity.level = level;
}

/// Pauses the comparisons. The next one begins with a large step, which takes
/// few samples to decide.
void Rest(LearnedCapacity& capacity, TimePoint now) {
  capacity.step = WideStep(capacity.level);
  const bool confirmed = capacity.level == capacity.rested_level;
  const base::Duration longest =
      capacity.level == capacity.slots ? kMaxRestAtSlots : kMaxRest;
  capacity.rest = confirmed ? std::min(2 * capacity.rest, longest) : kRest;
  capacity.rested_level = capacity.level;
  capacity.rest_until = now + capacity.rest;
  capacity.comparing = false;
}

/// Moves the two limits so that the better one is at the other's place.
void Move(LearnedCapacity& capacity, bool raise, TimePoint now) {
  const std::uint32_t level = raise ? capacity.high.limit : capacity.low.limit;
  const bool reversed = capacity.last_raised && *capacity.last_raised != raise;
  const std::uint32_t floor = CapacityFloor(capacity.slots);
  const bool at_bound = level == (raise ? capacity.slots : floor);
  const bool found = at_bound || (reversed && capacity.step <= MinStep(level));
  if (reversed || at_bound) {
    capacity.step /= 2;
  } else if (capacity.last_raised == raise) {
    capacity.step = std::min(2 * capacity.step, level / kMaxStepDivisor);
  }
  capacity.step = std::max(capacity.step, MinStep(level));
  capacity.last_raised = raise;
  SetLevel(capacity, level);
  if (found) {
    Rest(capacity, now);
  }
  const bool upwards = raise != at_bound;
  SetLimits(
      capacity,
      upwards ? level : std::max(floor, level - std::min(level, capacity.step)),
      upwards ? std::min(capacity.slots, level + capacity.step) : level);
}

/// Ends a comparison that is not decided: the best limit may be between the
/// two, so a smaller distance is tried next, and at last the other side.
void Narrow(LearnedCapacity& capacity, TimePoint now) {
  bool upwards = capacity.level == capacity.low.limit;
  if (capacity.step > MinStep(capacity.level)) {
    capacity.step = std::max(capacity.step / 2, MinStep(capacity.level));
  } else {
    Rest(capacity, now);
    upwards = upwards ? capacity.level == CapacityFloor(capacity.slots)
                      : capacity.level < capacity.slots;
  }
  if (upwards) {
    SetLimits(capacity, capacity.level,
              std::min(capacity.slots, capacity.level + capacity.step));
  } else {
    SetLimits(
        capacity,
        std::max(CapacityFloor(capacity.slots), capacity.level - capacity.step),
        capacity.level);
  }
}

enum class Speed : std::uint8_t {
  kUsual,
  kDisturbed,
  kChanged,  ///< It has been different for longer than a disturbance lasts.
};

/// Compares the run times of a period with the usual ones, and updates since
/// when they have been longer.
Speed UpdateSpeed(LearnedCapacity& capacity, const CapacityPeriod& period) {
  const double limit = capacity.comparing ? kDisturbance : kDisturbanceAtRest;
  const double mean = period.sum / period.count;
  if (mean < limit) {
    capacity.slow_since.reset();
    return mean > -limit ? Speed::kUsual : Speed::kChanged;
  }
  capacity.slow_since = capacity.slow_since.value_or(period.begin);
  return period.end - *capacity.slow_since < kMaxDisturbance ? Speed::kDisturbed
                                                             : Speed::kChanged;
}

/// Takes the present speed as the usual one, and compares again.
void AcceptSpeed(LearnedCapacity& capacity, TimePoint now) {
  capacity.slow_since.reset();
  capacity.rest_until = now;
  for (RunTimeStatistics& kind : capacity.run_times.kinds) {
    kind.slow_mean = kind.mean;
  }
  ClearArm(capacity.low);
  ClearArm(capacity.high);
}

bool IsAtLimit(const CapacityPeriod& period) {
  return period.starts > 0 &&
         period.starts_at_limit >= kMinShareAtLimit * period.starts;
}

/// Takes a period whose runs have ended into the comparison.
void CountPeriod(LearnedCapacity& capacity,
                 const CapacityPeriod& period,
                 TimePoint now) {
  CapacityArm* const arm = period.limit == capacity.low.limit ? &capacity.low
                           : period.limit == capacity.high.limit
                               ? &capacity.high
                               : nullptr;
  if (!IsAtLimit(period) || period.count < kMinSamples) {
    return;
  }
  const Speed speed = UpdateSpeed(capacity, period);
  if (speed == Speed::kChanged) {
    AcceptSpeed(capacity, now);
  }
  if (speed != Speed::kUsual || !capacity.comparing || arm == nullptr) {
    return;
  }
  if (now - capacity.compared_at > kMaxSampleAge) {
    ClearArm(capacity.low);
    ClearArm(capacity.high);
  }
  capacity.compared_at = now;
  AddPeriod(*arm, period);
  if (const auto raise = IsHigherBetter(capacity.low, capacity.high)) {
    Move(capacity, *raise, now);
  } else if (std::min(capacity.low.periods, capacity.high.periods) >=
             kMaxPeriods) {
    Narrow(capacity, now);
  }
}

/// Whether two limits can be compared now. Without demand above the limit they
/// cannot, and demand that is due to a disturbance ends with it.
bool MayCompare(LearnedCapacity& capacity, TimePoint now) {
  const CapacityPeriod& ended = capacity.period;
  if (!Learns(capacity) || !IsAtLimit(ended)) {
    capacity.at_limit_since.reset();
    return false;
  }
  capacity.at_limit_since = capacity.at_limit_since.value_or(ended.begin);
  const bool runs_late =
      ended.late >= kMinLate && ended.late >= kLateShare * ended.starts;
  return capacity.comparing ||
         ((now >= capacity.rest_until || runs_late) &&
          now - *capacity.at_limit_since >= kMaxDisturbance);
}

/// Begins a period with the next limit of the comparison, or with the level if
/// none runs.
void BeginPeriod(LearnedCapacity& capacity, TimePoint now) {
  capacity.comparing = MayCompare(capacity, now);
  std::uint32_t limit = capacity.level;
  if (capacity.comparing) {
    if (capacity.round.empty()) {
      const bool outer = NextRandom(capacity.random) < 0.5;
      capacity.round = {outer, !outer, !outer, outer};
    }
    limit = capacity.round.back() ? capacity.high.limit : capacity.low.limit;
    capacity.round.pop_back();
  }
  capacity.former = capacity.period;
  const std::uint64_t number = capacity.former.number + 1;
  capacity.period = CapacityPeriod{.number = number, .limit = limit};
  capacity.period.begin = now;
  capacity.period.end = now + PeriodLength(capacity);
}

void Advance(LearnedCapacity& capacity, TimePoint now) {
  if (now < capacity.period.end) {
    return;
  }
  if (Learns(capacity)) {
    CountPeriod(capacity, capacity.former, now);
  }
  BeginPeriod(capacity, now);
}

}  // namespace

std::uint32_t CapacityFloor(std::uint32_t slots) {
  return std::min(slots, std::max(kMinFloor, slots / kFloorDivisor));
}

void Restart(LearnedCapacity& capacity,
             std::uint32_t slots,
             std::uint64_t seed,
             TimePoint now) {
  const std::uint64_t next_period = capacity.period.number + 1;
  const std::uint64_t changes = capacity.changes_total;
  capacity = LearnedCapacity{};
  capacity.slots = slots;
  capacity.level = slots;
  capacity.reported_level = slots;
  capacity.random = seed;
  capacity.changes_total = changes;
  capacity.step = std::max(1U, slots / kMaxStepDivisor);
  SetLimits(
      capacity,
      std::max(CapacityFloor(slots), slots - std::min(slots, capacity.step)),
      slots);
  // Runs that began before the restart belong to no period.
  capacity.former.number = next_period;
  capacity.period = CapacityPeriod{.number = next_period + 1, .limit = slots};
  capacity.period.begin = now;
  capacity.period.end = now + kMinPeriod;
}

std::uint32_t CapacityOf(const LearnedCapacity& capacity) {
  return capacity.period.limit;
}

RunStart RecordStart(LearnedCapacity& capacity,
                     std::uint32_t in_flight,
                     TimePoint now) {
  Advance(capacity, now);
  CapacityPeriod& period = capacity.period;
  const bool at_limit = in_flight >= period.limit;
  ++period.starts;
  period.starts_at_limit += at_limit ? 1U : 0U;
  return {period.number, at_limit};
}

void RecordRun(LearnedCapacity& capacity,
               const RunSample& sample,
               TimePoint now) {
  const RunTimeStatistics& kind =
      RecordRunTime(capacity.run_times, sample.kind, sample.run_time, now);
  const std::uint64_t number = sample.start.period;
  capacity.period.late += sample.late ? 1U : 0U;
  if (sample.start.at_limit && kind.count >= kMinRunsOfKind) {
    if (number == capacity.period.number) {
      AddSample(capacity.period, sample, kind.slow_mean);
    } else if (number == capacity.former.number) {
      AddSample(capacity.former, sample, kind.slow_mean);
    }
  }
  Advance(capacity, now);
}

std::optional<CapacityChange> TakeChange(LearnedCapacity& capacity,
                                         TimePoint now) {
  const std::uint32_t before = capacity.reported_level;
  const std::uint32_t after = capacity.level;
  const std::uint32_t difference =
      after > before ? after - before : before - after;
  if (difference * kReportedChangeDivisor < std::max(1U, before)) {
    capacity.differs_since.reset();
    return std::nullopt;
  }
  capacity.differs_since = capacity.differs_since.value_or(now);
  if (now - *capacity.differs_since < kReportedChangeTime) {
    return std::nullopt;
  }
  capacity.differs_since.reset();
  capacity.reported_level = after;
  return CapacityChange{before, after};
}

}  // namespace eelgrassbridge::limits
