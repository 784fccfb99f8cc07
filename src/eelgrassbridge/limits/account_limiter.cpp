// Shares and token buckets.
#include "eelgrassbridge/limits/account_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::limits {

namespace {

using base::TimePoint;
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

void Recompute(const AccountLimiter& limiter,
               std::string_view name,
               LimitState& state,
               TimePoint now) {
  detail::Advance(state.share, limiter.fleet, now);
  state.rate_part =
      detail::RatePart(state.share, limiter.fleet, state.rate_limit);
  state.in_flight_part =
      detail::InFlightPart(state.share, limiter.fleet, state.in_flight_limit,
                           base::Hash64(name) % limiter.fleet.daemons, now);
}

double RateOf(const LimitState& state) {
  return state.rate_limit * state.rate_part;
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
  const bool is_new = !state.in_use;
  if (is_new || state.rate_limit != ref.requests_per_second ||
      state.in_flight_limit != ref.in_flight) {
    state.in_use = true;
    state.rate_limit = ref.requests_per_second;
    state.in_flight_limit = ref.in_flight;
    Recompute(limiter, ref.name, state, now);
  }
  if (is_new) {
    state.refilled_at = now;
    state.tokens = BucketSize(state, limiter.options);
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
         (state.in_flight_limit == 0 || state.in_flight < state.in_flight_part);
}

}  // namespace

AccountLimiter::AccountLimiter(const AccountLimiterOptions& limiter_options)
    : options(limiter_options) {
  this->fleet.floor_part = this->options.floor_part;
  this->fleet.spread_delay = this->options.spread_delay;
}

std::string AccountLimitName(std::string_view account) {
  return "account/" + std::string(account);
}

std::string ServiceLimitName(std::string_view service) {
  return "service/" + std::string(service);
}

std::string KindLimitName(std::string_view service, std::string_view kind) {
  return "kind/" + std::string(service) + '/' + std::string(kind);
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
    if (state.in_use) {
      double offered = OfferedAt(state, limiter.options, now);
      offered = offered < kLeastDemand ? 0 : offered;
      const detail::Millionths demand = detail::ToMillionths(offered);
      const detail::Millionths known = state.share.own.latest;
      if (static_cast<double>(std::abs(demand - known)) >
          kPublishedChange * static_cast<double>(known)) {
        detail::SetOwn(state.share, demand, now);
        changed.push_back({name, offered});
      }
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
    detail::SetPeer(state.share, limiter.fleet, peer,
                    detail::ToMillionths(demand.requests_per_second), now);
    Recompute(limiter, demand.name, state, now);
  }
}

void ForgetPeer(AccountLimiter& limiter, base::DaemonId peer, TimePoint now) {
  for (auto& [name, state] : limiter.limits) {
    detail::SetPeer(state.share, limiter.fleet, peer, 0, now);
    Recompute(limiter, name, state, now);
  }
}

void SetFleet(AccountLimiter& limiter,
              base::DaemonId self,
              std::uint32_t position,
              std::uint32_t daemons,
              TimePoint now) {
  limiter.fleet.self = self;
  limiter.fleet.daemons = std::max(1U, daemons);
  limiter.fleet.position = position % limiter.fleet.daemons;
  for (auto& [name, state] : limiter.limits) {
    detail::SumPeers(state.share, self);
    Recompute(limiter, name, state, now);
  }
}

double RateShareOf(const AccountLimiter& limiter, std::string_view name) {
  const auto found = limiter.limits.find(name);
  return found == limiter.limits.end() || !found->second.in_use
             ? 0
             : found->second.rate_part;
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
