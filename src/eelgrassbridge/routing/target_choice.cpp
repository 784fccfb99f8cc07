// Two random choices and the state that they compare.
#include "eelgrassbridge/routing/target_choice.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::routing {

namespace {

using base::TimePoint;

/// A target that answered "overloaded" is left alone for this time, in which
/// one of its slots is likely to become free.
constexpr base::Duration kOverloadedPause = base::milliseconds{20};
/// A target that failed is left alone for this time, doubled with each failure
/// in a row.
constexpr base::Duration kFailedPause = base::milliseconds{100};
constexpr std::uint32_t kMostDoublings = 6;
/// Latency assumed for a target without a sample; low, so that it is tried.
constexpr double kUnknownLatencyUs = 500;
/// A report of full load makes a target look this many times slower.
constexpr double kDistrustFactor = 4;

/// SplitMix64: spreads one random number into a sequence of draws.
std::uint64_t NextDraw(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t value = state;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

double DecayOf(TimePoint from, TimePoint now, base::Duration constant) {
  const auto elapsed = std::max(base::Duration{0}, now - from);
  return std::exp(-static_cast<double>(elapsed.count()) /
                  static_cast<double>(constant.count()));
}

/// Requests that the target has, as far as this daemon knows.
double LoadOf(const TargetTable& table,
              const TargetState& state,
              TimePoint now) {
  const double heard =
      state.peer_in_flight *
      DecayOf(state.peer_heard_at, now, table.options.report_decay);
  return std::max<double>(state.own_in_flight, heard);
}

double LatencyOf(const TargetTable& table,
                 const TargetState& state,
                 TimePoint now) {
  const double latency = ScoreAt(state.latency, now, table.options.latency);
  // A target that answers nothing gives no samples; its silence is one.
  const double silence =
      state.own_in_flight > 0
          ? static_cast<double>((now - state.silent_since).count())
          : 0;
  return std::max(latency, silence);
}

double DistrustFactor(const TargetTable& table,
                      const TargetState& state,
                      TimePoint now) {
  const double distrust = state.distrust * DecayOf(state.distrust_at, now,
                                                   table.options.report_decay);
  return 1 + kDistrustFactor * distrust;
}

/// Compares targets of one tier; less is better.
double Cost(const TargetTable& table, const TargetState& state, TimePoint now) {
  const double latency =
      std::max(LatencyOf(table, state, now), kUnknownLatencyUs);
  return (LoadOf(table, state, now) + 1) * latency *
         DistrustFactor(table, state, now);
}

bool IsFull(const TargetTable& table, const TargetState& state, TimePoint now) {
  return state.member.slots > 0 &&
         LoadOf(table, state, now) >= state.member.slots;
}

/// Expected time until the answer, with the turns before a slot is free and the
/// price of the distance; compares targets of several tiers.
double ExpectedTime(const TargetTable& table,
                    const TargetState& state,
                    TimePoint now) {
  const ChoiceOptions& options = table.options;
  const auto locality = static_cast<std::size_t>(state.member.locality);
  double latency = LatencyOf(table, state, now);
  if (latency == 0) {
    latency = static_cast<double>(options.assumed_latency[locality].count());
  }
  double turns = 1;
  if (state.member.slots > 0) {
    const double slots = state.member.slots;
    turns += std::max(0.0, LoadOf(table, state, now) + 1 - slots) / slots;
  }
  return latency * turns * options.distance_factor[locality] *
         DistrustFactor(table, state, now);
}

struct Search {
  const TargetTable& table;
  std::span<const base::DaemonId> exclude;
  TimePoint now;
  bool avoid;
  std::span<const std::uint64_t> regions;

  bool MayTake(const TargetState& state) const {
    return !(this->avoid && this->now < state.avoid_until) &&
           std::find(this->exclude.begin(), this->exclude.end(),
                     state.member.id) == this->exclude.end() &&
           (this->regions.empty() ||
            std::find(this->regions.begin(), this->regions.end(),
                      state.member.region) != this->regions.end());
  }
};

/// The better of two random targets of a tier; all are searched if the draws
/// find none.
const TargetState* ChooseInTier(const Search& search,
                                const std::vector<std::uint32_t>& tier,
                                std::uint64_t random) {
  const TargetState* best = nullptr;
  double best_cost = 0;
  std::uint32_t found = 0;
  const auto consider = [&](const TargetState& state) {
    if (&state == best || !search.MayTake(state)) {
      return;
    }
    const double cost = Cost(search.table, state, search.now);
    if (best == nullptr || cost < best_cost) {
      best = &state;
      best_cost = cost;
    }
    ++found;
  };
  if (tier.empty()) {
    return nullptr;
  }
  for (std::uint32_t i = 0; i < search.table.options.draws && found < 2; ++i) {
    consider(search.table.targets[tier[NextDraw(random) % tier.size()]]);
  }
  if (best == nullptr) {
    for (const std::uint32_t position : tier) {
      consider(search.table.targets[position]);
    }
  }
  return best;
}

/// The nearest target, unless it is full and a farther one answers sooner.
const TargetState* ChooseAcrossTiers(const Search& search,
                                     std::uint64_t random,
                                     Locality farthest) {
  const TargetTable& table = search.table;
  const TargetState* best = nullptr;
  double best_time = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(farthest); ++i) {
    const TargetState* const found =
        ChooseInTier(search, table.tiers[i], random);
    if (found == nullptr) {
      continue;
    }
    const double time = ExpectedTime(table, *found, search.now);
    if (best == nullptr || time < best_time) {
      best = found;
      best_time = time;
    }
    if (!table.options.spill || !IsFull(table, *found, search.now)) {
      break;
    }
  }
  return best;
}

TargetState* Find(TargetTable& table, base::DaemonId target) {
  const auto found = table.index.find(target);
  return found == table.index.end() ? nullptr : &table.targets[found->second];
}

}  // namespace

void SetMembers(TargetTable& table, std::span<const TargetMember> members) {
  std::vector<TargetState> targets;
  std::unordered_map<base::DaemonId, std::uint32_t> index;
  std::array<std::vector<std::uint32_t>, kLocalityCount> tiers;
  targets.reserve(members.size());
  index.reserve(members.size());
  for (const TargetMember& member : members) {
    const auto position = static_cast<std::uint32_t>(targets.size());
    if (!index.emplace(member.id, position).second) {
      continue;
    }
    const TargetState* const known = Find(table, member.id);
    targets.push_back(known == nullptr ? TargetState{} : *known);
    targets.back().member = member;
    if (member.may_get_work) {
      tiers[static_cast<std::size_t>(member.locality)].push_back(position);
    }
  }
  table.targets = std::move(targets);
  table.index = std::move(index);
  table.tiers = std::move(tiers);
}

std::optional<base::DaemonId> ChooseTarget(
    const TargetTable& table,
    std::uint64_t random,
    std::span<const base::DaemonId> exclude,
    TimePoint now,
    Locality farthest,
    std::span<const std::uint64_t> regions) {
  // The second pass takes targets that failed a moment ago; better than none.
  for (const bool avoid : {true, false}) {
    const Search search{table, exclude, now, avoid, regions};
    if (const TargetState* const best =
            ChooseAcrossTiers(search, random, farthest)) {
      return best->member.id;
    }
  }
  return std::nullopt;
}

void NoteSent(TargetTable& table, base::DaemonId target, TimePoint now) {
  TargetState* const state = Find(table, target);
  if (state == nullptr) {
    return;
  }
  if (state->own_in_flight == 0) {
    state->silent_since = now;
  }
  ++state->own_in_flight;
}

void NoteAnswer(TargetTable& table,
                base::DaemonId target,
                const AnswerReport& report,
                TimePoint now) {
  TargetState* const state = Find(table, target);
  if (state == nullptr) {
    return;
  }
  state->own_in_flight -= std::min(1U, state->own_in_flight);
  if (report.peer_in_flight) {
    state->peer_in_flight = *report.peer_in_flight;
    state->peer_heard_at = now;
  }
  switch (report.kind) {
    case AnswerReport::Kind::kAnswered:
      state->silent_since = now;
      state->failures = 0;
      NoteLatency(state->latency, report.latency, now, table.options.latency);
      break;
    case AnswerReport::Kind::kOverloaded:
      state->silent_since = now;
      state->avoid_until = std::max(state->avoid_until, now + kOverloadedPause);
      break;
    case AnswerReport::Kind::kFailed:
      // A quick failure must not look like a quick answer.
      state->avoid_until =
          now +
          kFailedPause * (1U << std::min(state->failures, kMostDoublings));
      ++state->failures;
      break;
    case AnswerReport::Kind::kCancelled:
      // The answer did not come within that time; the latency is at least it.
      if (static_cast<double>(report.latency.count()) >
          ScoreAt(state->latency, now, table.options.latency)) {
        NoteLatency(state->latency, report.latency, now, table.options.latency);
      }
      break;
  }
}

void NoteLoadReport(TargetTable& table,
                    base::DaemonId target,
                    double load,
                    TimePoint now) {
  TargetState* const state = Find(table, target);
  if (state == nullptr) {
    return;
  }
  const double before = state->distrust * DecayOf(state->distrust_at, now,
                                                  table.options.report_decay);
  state->distrust = std::max(before, std::clamp(load, 0.0, 1.0));
  state->distrust_at = now;
}

}  // namespace eelgrassbridge::routing
