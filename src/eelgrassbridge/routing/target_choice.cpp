// Cost functions, the search within and across tiers, and the updates of the
// state per target.
#include "eelgrassbridge/routing/target_choice.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::routing {

namespace {

using base::TimePoint;

/// Time for which a target that answered "overloaded" is avoided; one of its
/// slots is likely to become free meanwhile.
constexpr base::Duration kOverloadedBackoff = base::milliseconds{20};
/// Time for which a failed target is avoided; doubled with each consecutive
/// failure.
constexpr base::Duration kFailureBackoff = base::milliseconds{100};
constexpr std::uint32_t kMaxDoublings = 6;
/// Minimum latency in the comparison within a tier, also assumed for a target
/// without samples; low, so that a new target is tried.
constexpr double kUnknownLatencyUs = 500;
/// A report of full load adds this many times the cost of the target.
constexpr double kReportPenaltyFactor = 4;

/// SplitMix64: derives a sequence of draws from one random number.
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

/// Estimated number of requests in flight at the target.
double LoadOf(const TargetTable& table,
              const TargetState& state,
              TimePoint now) {
  const double reported =
      state.peer_in_flight *
      DecayOf(state.peer_in_flight_at, now, table.options.report_decay);
  return std::max<double>(state.own_in_flight, reported);
}

/// Number of concurrent requests that the target can take: its slots, or fewer
/// if its daemon has learned so lately. Zero if unknown.
std::uint32_t LimitOf(const TargetTable& table,
                      const TargetState& state,
                      TimePoint now) {
  const std::uint32_t slots = state.member.slots;
  if (state.peer_room == 0 ||
      now - state.peer_room_at >= table.options.room_validity) {
    return slots;
  }
  return slots == 0 ? state.peer_room : std::min(slots, state.peer_room);
}

/// Factor by which a request takes up more of the target than its slots say.
double CrowdingFactor(const TargetTable& table,
                      const TargetState& state,
                      TimePoint now) {
  const std::uint32_t limit = LimitOf(table, state, now);
  return state.member.slots == 0 || limit == 0
             ? 1
             : static_cast<double>(state.member.slots) / limit;
}

double LatencyOf(const TargetTable& table,
                 const TargetState& state,
                 TimePoint now) {
  const double latency = ScoreAt(state.latency, now, table.options.latency);
  // A target that stopped answering gives no samples; the time since its last
  // answer stands in for one.
  const double silence =
      state.own_in_flight > 0
          ? static_cast<double>((now - state.unanswered_since).count())
          : 0;
  return std::max(latency, silence);
}

double ReportPenaltyFactor(const TargetTable& table,
                           const TargetState& state,
                           TimePoint now) {
  const double report_penalty =
      state.report_penalty *
      DecayOf(state.report_penalty_at, now, table.options.report_decay);
  return 1 + kReportPenaltyFactor * report_penalty;
}

/// Cost of a target for the comparison within one tier; lower is better.
double Cost(const TargetTable& table, const TargetState& state, TimePoint now) {
  const double latency =
      std::max(LatencyOf(table, state, now), kUnknownLatencyUs);
  return (LoadOf(table, state, now) + 1) * CrowdingFactor(table, state, now) *
         latency * ReportPenaltyFactor(table, state, now);
}

bool IsFull(const TargetTable& table, const TargetState& state, TimePoint now) {
  const std::uint32_t limit = LimitOf(table, state, now);
  return limit > 0 && LoadOf(table, state, now) >= limit;
}

/// Expected time until the answer in microseconds for the comparison across
/// tiers: includes the wait for a free slot, weighted by distance and penalty.
double ExpectedResponseTime(const TargetTable& table,
                            const TargetState& state,
                            TimePoint now) {
  const ChoiceOptions& options = table.options;
  const auto locality = static_cast<std::size_t>(state.member.locality);
  double latency = LatencyOf(table, state, now);
  if (latency == 0) {
    latency = static_cast<double>(options.assumed_latency[locality].count());
  }
  double rounds = 1;
  if (const double limit = LimitOf(table, state, now); limit > 0) {
    rounds += std::max(0.0, LoadOf(table, state, now) + 1 - limit) / limit;
  }
  return latency * rounds * options.distance_factor[locality] *
         ReportPenaltyFactor(table, state, now);
}

/// Expected time in microseconds until the target's link has sent the downloads
/// before a new one. A report decays as slowly as that of the load, because
/// other daemons go on sending downloads.
double LinkWait(const TargetTable& table,
                const TargetState& state,
                TimePoint now) {
  return static_cast<double>(state.link_backlog.count()) *
         DecayOf(state.link_backlog_at, now, table.options.report_decay);
}

struct Search {
  const TargetTable& table;
  std::span<const base::DaemonId> exclude;
  TimePoint now;
  bool skip_avoided;
  std::span<const std::uint64_t> regions;
  std::optional<base::Duration> max_link_wait;

  bool IsAvoided(const TargetState& state) const {
    return this->now < state.avoid_until ||
           (this->max_link_wait &&
            LinkWait(this->table, state, this->now) >
                static_cast<double>(this->max_link_wait->count()));
  }

  double CostOf(const TargetState& state) const {
    const double link_wait =
        this->max_link_wait ? LinkWait(this->table, state, this->now) : 0;
    return Cost(this->table, state, this->now) + link_wait;
  }

  bool IsEligible(const TargetState& state) const {
    return !(this->skip_avoided && this->IsAvoided(state)) &&
           std::find(this->exclude.begin(), this->exclude.end(),
                     state.member.id) == this->exclude.end() &&
           (this->regions.empty() ||
            std::find(this->regions.begin(), this->regions.end(),
                      state.member.region) != this->regions.end());
  }
};

/// Returns the better of two random targets of a tier. If the draws find no
/// eligible target, the whole tier is searched.
const TargetState* ChooseInTier(const Search& search,
                                const std::vector<std::uint32_t>& tier,
                                std::uint64_t random) {
  const TargetState* best = nullptr;
  double best_cost = 0;
  std::uint32_t found = 0;
  const auto consider = [&](const TargetState& state) {
    if (&state == best || !search.IsEligible(state)) {
      return;
    }
    const double cost = search.CostOf(state);
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

/// Returns the nearest target, or with `spill` the nearest one that has a free
/// slot. If all are full, it is the one that is expected to answer first.
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
    if (!IsFull(table, *found, search.now)) {
      return found;
    }
    const double time = ExpectedResponseTime(table, *found, search.now);
    if (best == nullptr || time < best_time) {
      best = found;
      best_time = time;
    }
    if (!table.options.spill) {
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
    std::span<const std::uint64_t> regions,
    std::optional<base::Duration> max_link_wait) {
  // The second pass accepts targets that are being avoided after a failure or
  // an overload, which is better than having no target.
  for (const bool skip_avoided : {true, false}) {
    const Search search{table,        exclude, now,
                        skip_avoided, regions, max_link_wait};
    if (const TargetState* const best =
            ChooseAcrossTiers(search, random, farthest)) {
      return best->member.id;
    }
  }
  return std::nullopt;
}

void RecordRequestSent(TargetTable& table,
                       base::DaemonId target,
                       TimePoint now) {
  TargetState* const state = Find(table, target);
  if (state == nullptr) {
    return;
  }
  if (state->own_in_flight == 0) {
    state->unanswered_since = now;
  }
  ++state->own_in_flight;
}

void RecordAnswer(TargetTable& table,
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
    state->peer_in_flight_at = now;
  }
  if (report.link_backlog) {
    state->link_backlog = *report.link_backlog;
    state->link_backlog_at = now;
  }
  if (report.peer_room) {
    state->peer_room = *report.peer_room;
    state->peer_room_at = now;
  }
  switch (report.kind) {
    case AnswerReport::Kind::kAnswered:
      state->unanswered_since = now;
      state->failures = 0;
      AddLatencySample(state->latency, report.latency, now,
                       table.options.latency);
      break;
    case AnswerReport::Kind::kOverloaded:
      state->unanswered_since = now;
      state->avoid_until =
          std::max(state->avoid_until, now + kOverloadedBackoff);
      break;
    case AnswerReport::Kind::kFailed:
      // The latency is not recorded: a fast failure must not look like a fast
      // answer.
      state->avoid_until =
          now +
          kFailureBackoff * (1U << std::min(state->failures, kMaxDoublings));
      ++state->failures;
      break;
    case AnswerReport::Kind::kCancelled:
      // No answer arrived within this time, so it is a lower bound of the
      // latency.
      if (static_cast<double>(report.latency.count()) >
          ScoreAt(state->latency, now, table.options.latency)) {
        AddLatencySample(state->latency, report.latency, now,
                         table.options.latency);
      }
      break;
  }
}

void RecordLoadReport(TargetTable& table,
                      base::DaemonId target,
                      double load,
                      TimePoint now) {
  TargetState* const state = Find(table, target);
  if (state == nullptr) {
    return;
  }
  const double before =
      state->report_penalty *
      DecayOf(state->report_penalty_at, now, table.options.report_decay);
  state->report_penalty = std::max(before, std::clamp(load, 0.0, 1.0));
  state->report_penalty_at = now;
}

}  // namespace eelgrassbridge::routing
