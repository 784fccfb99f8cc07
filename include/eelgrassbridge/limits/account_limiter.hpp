// Rate and concurrency limits for client accounts, services and request kinds,
// enforced by all daemons without a central counter: each daemon admits a share
// of each limit that follows its part of the demand, as known from gossip.
#ifndef EELGRASSBRIDGE_LIMITS_ACCOUNT_LIMITER_HPP
#define EELGRASSBRIDGE_LIMITS_ACCOUNT_LIMITER_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/limits/account_share.hpp"

namespace eelgrassbridge::limits {

struct AccountLimiterOptions {
  /// Fraction of a limit that is divided evenly, so that a daemon whose demand
  /// the others don't know yet can admit some requests.
  double floor_fraction = 0.2;
  /// Token bucket size, as time at the admitted rate.
  base::Duration burst{base::milliseconds{1000}};
  /// Longest time until a change of demand reaches all other daemons. A share
  /// decreases at once but increases only after one or two of these periods.
  base::Duration propagation_delay{base::milliseconds{5000}};
  /// Time constant of the demand estimate.
  base::Duration demand_window{base::milliseconds{5000}};
  /// Maximum number of limits with state. Names come from the catalogue, so
  /// this only bounds the memory that a faulty peer can take up. Requests under
  /// further names are rejected.
  std::size_t max_entries = 10'000;
};

/// @brief One limit that a request is subject to; zero means unlimited. Names
/// come from AccountLimitName, ServiceLimitName or KindLimitName, so different
/// kinds of limits never collide.
struct LimitRef {
  std::string_view name;
  std::uint32_t requests_per_second = 0;
  std::uint32_t in_flight = 0;
};

/// @brief Demand of one daemon for one limit, as exchanged by gossip.
struct Demand {
  std::string name;
  double requests_per_second = 0;
};

namespace detail {

/// Transparent hash: lookup by string_view without constructing a string.
struct NameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view name) const {
    return std::hash<std::string_view>{}(name);
  }
};

struct LimitState {
  double tokens = 0;
  base::TimePoint refilled_at{};
  std::uint32_t in_flight = 0;
  /// EWMA of the offered requests per second, rejected ones included, as of
  /// `offered_at`.
  double offered_rate = 0;
  base::TimePoint offered_at{};
  LimitShare share;
  /// Whether a request was subject to the limit here; false while it is only
  /// known from peers.
  bool in_use = false;
  /// The limits that the shares below were computed from.
  std::uint32_t rate_limit = 0;
  std::uint32_t in_flight_limit = 0;
  /// What this daemon admits: fraction of the rate limit, and number of
  /// requests in flight.
  double rate_share = 0;
  double in_flight_share = 0;
};

}  // namespace detail

/// @brief Shares and token buckets of one daemon.
///
/// Invariant: as long as changes of demand arrive in order and within
/// propagation_delay and the member list doesn't change, the daemons' shares
/// of one limit add up to at most the limit, for the rate and for the number
/// in flight.
struct AccountLimiter {
  explicit AccountLimiter(const AccountLimiterOptions& limiter_options = {});

  AccountLimiterOptions options;
  detail::Fleet fleet;
  std::unordered_map<std::string,
                     detail::LimitState,
                     detail::NameHash,
                     std::equal_to<>>
      limits;
};

/// @brief Returns the unique name of a limit, for LimitRef and Demand.
std::string AccountLimitName(std::string_view account);
std::string ServiceLimitName(std::string_view service);
std::string KindLimitName(std::string_view service, std::string_view kind);

/// @brief Admits one request under all limits and returns nothing, or admits
/// it under none and returns kAccountLimit. On success, the caller must call
/// Release once with the same limits.
std::optional<base::ErrorKind> AcquireAll(AccountLimiter& limiter,
                                          std::span<const LimitRef> limits,
                                          base::TimePoint now);

/// @brief Ends a request that AcquireAll admitted.
void Release(AccountLimiter& limiter, std::span<const LimitRef> limits);

/// @brief Returns this daemon's demands that changed by more than a tenth, for
/// the next gossip message, and marks them as published. Must be called about
/// once per second, because it also lets shares increase.
std::vector<Demand> PublishDemand(AccountLimiter& limiter, base::TimePoint now);

/// @brief Applies demand received from another daemon; names left out keep
/// their value. The caller must drop messages that arrive after a newer one.
/// The shares add up to at most the limit only if messages arrive within the
/// propagation delay.
void MergeDemand(AccountLimiter& limiter,
                 base::DaemonId peer,
                 std::span<const Demand> demands,
                 base::TimePoint now);

/// @brief Removes the demand of a daemon that was lost or has left.
void RemovePeer(AccountLimiter& limiter,
                base::DaemonId peer,
                base::TimePoint now);

/// @brief Applies a changed member list: this daemon's id, its position in the
/// order of ids, and the number of daemons that may admit requests, this one
/// included.
void SetFleet(AccountLimiter& limiter,
              base::DaemonId self,
              std::uint32_t position,
              std::uint32_t daemons,
              base::TimePoint now);

/// @brief Returns the fraction of a rate limit that this daemon admits now;
/// zero as long as no request was subject to it here.
double RateShareOf(const AccountLimiter& limiter, std::string_view name);

/// @brief Returns the time until the rate limits would admit one more request,
/// for Retry-After.
base::Duration RetryAfter(const AccountLimiter& limiter,
                          std::span<const LimitRef> limits);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_ACCOUNT_LIMITER_HPP
