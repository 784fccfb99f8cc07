// Admission by token buckets, and publication and merging of demand.
#include "eelgrassbridge/limits/account_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::limits {

namespace {

using base::TimePoint;
using detail::LimitState;

/// Demand below this many requests per second is published as zero.
constexpr double kMinDemand = 0.05;
/// Relative change from which demand is published again.
constexpr double kPublishThreshold = 0.1;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double OfferedRateAt(const LimitState& state,
                     const AccountLimiterOptions& options,
                     TimePoint now) {
  const double window =
      std::chrono::duration<double>(options.demand_window).count();
  return state.offered_rate *
         std::exp(-SecondsBetween(state.offered_at, now) / window);
}

void Recompute(const AccountLimiter& limiter,
               std::string_view name,
               LimitState& state,
               TimePoint now) {
  detail::Advance(state.share, limiter.fleet, now);
  state.rate_share =
      detail::RateShare(state.share, limiter.fleet, state.rate_limit);
  state.in_flight_share =
      detail::InFlightShare(state.share, limiter.fleet, state.in_flight_limit,
                            base::Hash64(name) % limiter.fleet.daemons, now);
}

double AdmittedRate(const LimitState& state) {
  return state.rate_limit * state.rate_share;
}

double BucketSize(const LimitState& state,
                  const AccountLimiterOptions& options) {
  // A bucket smaller than one request would never admit anything.
  return std::max(1.0,
                  AdmittedRate(state) *
                      std::chrono::duration<double>(options.burst).count());
}

void Refill(LimitState& state,
            const AccountLimiterOptions& options,
            TimePoint now) {
  state.tokens += AdmittedRate(state) * SecondsBetween(state.refilled_at, now);
  state.tokens = std::min(state.tokens, BucketSize(state, options));
  state.refilled_at = std::max(state.refilled_at, now);
}

LimitState* FindOrAddState(AccountLimiter& limiter,
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

void RecordOffered(LimitState& state,
                   const AccountLimiterOptions& options,
                   TimePoint now) {
  const double window =
      std::chrono::duration<double>(options.demand_window).count();
  state.offered_rate = OfferedRateAt(state, options, now) + 1 / window;
  state.offered_at = now;
}

bool CanAdmit(const LimitState& state) {
  return (state.rate_limit == 0 || state.tokens >= 1) &&
         (state.in_flight_limit == 0 ||
          state.in_flight < state.in_flight_share);
}

}  // namespace

AccountLimiter::AccountLimiter(const AccountLimiterOptions& limiter_options)
    : options(limiter_options) {
  this->fleet.floor_fraction = this->options.floor_fraction;
  this->fleet.propagation_delay = this->options.propagation_delay;
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

std::optional<base::ErrorKind> AcquireAll(AccountLimiter& limiter,
                                          std::span<const LimitRef> limits,
                                          TimePoint now) {
  bool can_admit = true;
  for (const LimitRef& ref : limits) {
    LimitState* const state = FindOrAddState(limiter, ref, now);
    if (state == nullptr) {
      return base::ErrorKind::kAccountLimit;
    }
    RecordOffered(*state, limiter.options, now);
    Refill(*state, limiter.options, now);
    can_admit = can_admit && CanAdmit(*state);
  }
  if (!can_admit) {
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
      double offered = OfferedRateAt(state, limiter.options, now);
      offered = offered < kMinDemand ? 0 : offered;
      const detail::Millionths demand = detail::ToMillionths(offered);
      const detail::Millionths known = state.share.own.latest;
      if (static_cast<double>(std::abs(demand - known)) >
          kPublishThreshold * static_cast<double>(known)) {
        detail::SetOwnDemand(state.share, demand, now);
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
    detail::SetPeerDemand(state.share, limiter.fleet, peer,
                          detail::ToMillionths(demand.requests_per_second),
                          now);
    Recompute(limiter, demand.name, state, now);
  }
}

void RemovePeer(AccountLimiter& limiter, base::DaemonId peer, TimePoint now) {
  for (auto& [name, state] : limiter.limits) {
    detail::SetPeerDemand(state.share, limiter.fleet, peer, 0, now);
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
             : found->second.rate_share;
}

base::Duration RetryAfter(const AccountLimiter& limiter,
                          std::span<const LimitRef> limits) {
  double wait = 0;
  for (const LimitRef& ref : limits) {
    const auto found = limiter.limits.find(ref.name);
    if (found == limiter.limits.end() || ref.requests_per_second == 0) {
      continue;
    }
    const double rate = AdmittedRate(found->second);
    if (rate > 0) {
      wait = std::max(wait, (1 - found->second.tokens) / rate);
    }
  }
  return base::Duration{static_cast<std::int64_t>(
      std::chrono::duration_cast<base::Duration>(base::seconds{1}).count() *
      std::max(0.0, wait))};
}

}  // namespace eelgrassbridge::limits
