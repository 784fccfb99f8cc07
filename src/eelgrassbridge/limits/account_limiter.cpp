// Shares and token buckets.
#include "eelgrassbridge/limits/account_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::limits {

namespace {

using base::TimePoint;
using detail::DelayedRise;
using detail::LimitState;

/// Demand below this many requests per second counts as none.
constexpr double kLeastDemand = 0.05;
/// Part by which demand must change to be published again.
constexpr double kPublishedChange = 0.1;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double OfferedAt(const LimitState& state,
                 const AccountLimiterOptions& options,
                 TimePoint now) {
  const double window =
      std::chrono::duration<double>(options.demand_window).count();
  return state.offered *
         std::exp(-SecondsBetween(state.offered_at, now) / window);
}

/// Takes a newly computed value: falls at once, rises after the delay.
void Update(DelayedRise& rise,
            double value,
            base::Duration delay,
            TimePoint now) {
  if (!rise.primed) {
    rise = {value, value, now, true};
    return;
  }
  if (now - rise.half_began >= delay) {
    rise.least_before = rise.least_now;
    rise.least_now = value;
    rise.half_began = now;
  }
  rise.least_now = std::min(rise.least_now, value);
}

double Admitted(const DelayedRise& rise) {
  return std::min(rise.least_now, rise.least_before);
}

/// Demand of the daemons with smaller ids, and of all.
struct DemandSums {
  double before = 0;
  double total = 0;
};

DemandSums Sums(const LimitState& state, base::DaemonId self) {
  DemandSums sums{0, state.published};
  for (const auto& [peer, demand] : state.peers) {
    sums.total += demand;
    if (peer < self) {
      sums.before += demand;
    }
  }
  return sums;
}

/// Whole part of `amount` that falls to [from, to) of 1. Parts that cover 1
/// without overlap add up to exactly `amount`.
double WholePart(double amount, double from, double to) {
  constexpr double kRounding = 1e-9;
  return std::floor(amount * to + kRounding) -
         std::floor(amount * from + kRounding);
}

/// Number in flight for this daemon: an even part by position and a part
/// proportional to the demand.
double InFlightShare(const AccountLimiter& limiter,
                     std::string_view name,
                     const LimitState& state,
                     const DemandSums& sums) {
  const double limit = state.in_flight_limit;
  const double even =
      sums.total > 0 ? std::floor(limit * limiter.options.floor_part) : limit;
  // The name shifts the order, so that the same daemons are not always the
  // ones that are left without an even part.
  const double count = limiter.daemons;
  const double place = static_cast<double>(
      (limiter.position + base::Hash64(name) % limiter.daemons) %
      limiter.daemons);
  double share = WholePart(even, place / count, (place + 1) / count);
  if (sums.total > 0) {
    share += WholePart(limit - even, sums.before / sums.total,
                       (sums.before + state.published) / sums.total);
  }
  return share;
}

void Recompute(const AccountLimiter& limiter,
               std::string_view name,
               LimitState& state,
               TimePoint now) {
  const DemandSums sums = Sums(state, limiter.self);
  const base::Duration delay = limiter.options.spread_delay;
  Update(state.rate_share,
         ShareOf(state.published, sums.total, limiter.daemons,
                 limiter.options.floor_part),
         delay, now);
  Update(state.running, InFlightShare(limiter, name, state, sums), delay, now);
}

double RateOf(const LimitState& state) {
  return state.rate_limit * Admitted(state.rate_share);
}

double BucketSize(const LimitState& state,
                  const AccountLimiterOptions& options) {
  // A bucket below one whole request would never admit anything.
  return std::max(
      1.0,
      RateOf(state) * std::chrono::duration<double>(options.burst).count());
}

void Refill(LimitState& state,
            const AccountLimiterOptions& options,
            TimePoint now) {
  state.tokens += RateOf(state) * SecondsBetween(state.refilled_at, now);
  state.tokens = std::min(state.tokens, BucketSize(state, options));
  state.refilled_at = std::max(state.refilled_at, now);
}

LimitState* StateFor(AccountLimiter& limiter,
                     const LimitRef& ref,
                     TimePoint now) {
  auto found = limiter.limits.find(ref.name);
  if (found == limiter.limits.end()) {
    if (limiter.limits.size() >= limiter.options.max_entries) {
      return nullptr;
    }
    found = limiter.limits.emplace(ref.name, LimitState{}).first;
  }
  LimitState& state = found->second;
  const bool is_new = !state.rate_share.primed;
  if (is_new || state.rate_limit != ref.requests_per_second ||
      state.in_flight_limit != ref.in_flight) {
    state.rate_limit = ref.requests_per_second;
    state.in_flight_limit = ref.in_flight;
    // A changed limit applies at all daemons, so the number in flight that
    // follows from it needs no delay.
    state.running.primed = false;
    Recompute(limiter, ref.name, state, now);
    if (is_new) {
      state.refilled_at = now;
      state.tokens = BucketSize(state, limiter.options);
    }
  }
  return &state;
}

void CountOffered(LimitState& state,
                  const AccountLimiterOptions& options,
                  TimePoint now) {
  const double window =
      std::chrono::duration<double>(options.demand_window).count();
  state.offered = OfferedAt(state, options, now) + 1 / window;
  state.offered_at = now;
}

bool MayTake(const LimitState& state) {
  return (state.rate_limit == 0 || state.tokens >= 1) &&
         (state.in_flight_limit == 0 ||
          state.in_flight < Admitted(state.running));
}

}  // namespace

std::string AccountLimitName(std::string_view account) {
  return "account/" + std::string(account);
}

std::string ServiceLimitName(std::string_view service) {
  return "service/" + std::string(service);
}

std::string KindLimitName(std::string_view service, std::string_view kind) {
  return "kind/" + std::string(service) + '/' + std::string(kind);
}

double ShareOf(double own_demand,
               double total_demand,
               std::uint32_t daemons,
               double floor_part) {
  const double even = 1.0 / std::max(1U, daemons);
  if (total_demand <= 0) {
    return even;
  }
  return floor_part * even + (1 - floor_part) * own_demand / total_demand;
}

std::optional<base::ErrorKind> TakeAll(AccountLimiter& limiter,
                                       std::span<const LimitRef> limits,
                                       TimePoint now) {
  bool may_take = true;
  for (const LimitRef& ref : limits) {
    LimitState* const state = StateFor(limiter, ref, now);
    if (state == nullptr) {
      return base::ErrorKind::kAccountLimit;
    }
    CountOffered(*state, limiter.options, now);
    Refill(*state, limiter.options, now);
    may_take = may_take && MayTake(*state);
  }
  if (!may_take) {
    return base::ErrorKind::kAccountLimit;
  }
  for (const LimitRef& ref : limits) {
    LimitState& state = limiter.limits.find(ref.name)->second;
    state.tokens -= ref.requests_per_second == 0 ? 0 : 1;
    ++state.in_flight;
  }
  return std::nullopt;
}

void Release(AccountLimiter& limiter, std::span<const LimitRef> limits) {
  for (const LimitRef& ref : limits) {
    const auto found = limiter.limits.find(ref.name);
    if (found != limiter.limits.end()) {
      found->second.in_flight -= std::min(1U, found->second.in_flight);
    }
  }
}

std::vector<Demand> PublishDemand(AccountLimiter& limiter, TimePoint now) {
  std::vector<Demand> changed;
  for (auto& [name, state] : limiter.limits) {
    if (!state.rate_share.primed) {
      continue;
    }
    double offered = OfferedAt(state, limiter.options, now);
    offered = offered < kLeastDemand ? 0 : offered;
    if (std::abs(offered - state.published) >
            kPublishedChange * state.published ||
        (offered == 0) != (state.published == 0)) {
      state.published = offered;
      changed.push_back({name, offered});
    }
    Recompute(limiter, name, state, now);
  }
  return changed;
}

void MergeDemand(AccountLimiter& limiter,
                 base::DaemonId peer,
                 std::span<const Demand> demands,
                 TimePoint now) {
  for (const Demand& demand : demands) {
    auto found = limiter.limits.find(demand.name);
    if (found == limiter.limits.end()) {
      if (limiter.limits.size() >= limiter.options.max_entries) {
        continue;
      }
      found = limiter.limits.emplace(demand.name, LimitState{}).first;
    }
    LimitState& state = found->second;
    if (demand.requests_per_second > 0) {
      state.peers[peer] = demand.requests_per_second;
    } else {
      state.peers.erase(peer);
    }
    if (state.rate_share.primed) {
      Recompute(limiter, demand.name, state, now);
    }
  }
}

void ForgetPeer(AccountLimiter& limiter, base::DaemonId peer, TimePoint now) {
  for (auto& [name, state] : limiter.limits) {
    if (state.peers.erase(peer) > 0 && state.rate_share.primed) {
      Recompute(limiter, name, state, now);
    }
  }
}

void SetFleet(AccountLimiter& limiter,
              base::DaemonId self,
              std::uint32_t position,
              std::uint32_t daemons,
              TimePoint now) {
  limiter.self = self;
  limiter.daemons = std::max(1U, daemons);
  limiter.position = position % limiter.daemons;
  for (auto& [name, state] : limiter.limits) {
    if (state.rate_share.primed) {
      Recompute(limiter, name, state, now);
    }
  }
}

double RateShareOf(const AccountLimiter& limiter, std::string_view name) {
  const auto found = limiter.limits.find(name);
  return found == limiter.limits.end() || !found->second.rate_share.primed
             ? 0
             : Admitted(found->second.rate_share);
}

base::Duration RetryAfter(const AccountLimiter& limiter,
                          std::span<const LimitRef> limits) {
  double wait = 0;
  for (const LimitRef& ref : limits) {
    const auto found = limiter.limits.find(ref.name);
    if (found == limiter.limits.end() || ref.requests_per_second == 0) {
      continue;
    }
    const double rate = RateOf(found->second);
    if (rate > 0) {
      wait = std::max(wait, (1 - found->second.tokens) / rate);
    }
  }
  return base::Duration{static_cast<std::int64_t>(
      std::chrono::duration_cast<base::Duration>(base::seconds{1}).count() *
      std::max(0.0, wait))};
}

}  // namespace eelgrassbridge::limits
