// Limits of client accounts, entries and request kinds, shared by all daemons
// without a central counter: each daemon admits its share of a limit,
// proportional to its part of the demand known from gossip.
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
  /// Part of a limit that is divided evenly, so that a daemon whose demand is
  /// not known elsewhere yet can admit something.
  double floor_part = 0.2;
  /// Longest burst, as time at the admitted rate.
  base::Duration burst{base::milliseconds{1000}};
  /// Longest time in which a change of demand reaches the other daemons. A
  /// share falls at once but rises only after once or twice this time.
  base::Duration spread_delay{base::milliseconds{5000}};
  /// Time constant of the demand estimate.
  base::Duration demand_window{base::milliseconds{5000}};
  /// Limits with state. Names come from the catalogue, so this only bounds
  /// the memory against a faulty peer; requests under further names are
  /// refused.
  std::size_t max_entries = 10'000;
};

/// @brief One limit that a request is subject to. Names come from
/// AccountLimitName and the like, so different kinds of limits never collide.
struct LimitRef {
  std::string_view name;
  std::uint32_t requests_per_second = 0;
  std::uint32_t in_flight = 0;
};

/// @brief Demand of one daemon for one limit, as gossip carries it.
struct Demand {
  std::string name;
  double requests_per_second = 0;
};

namespace detail {

/// Lookup by string_view without making a string.
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
  /// EWMA of offered requests per second.
  double offered = 0;
  base::TimePoint offered_at{};
  LimitShare share;
  /// The limits that the admitted values below were computed from. Not in use:
  /// only heard of from peers so far.
  bool in_use = false;
  std::uint32_t rate_limit = 0;
  std::uint32_t in_flight_limit = 0;
  /// What this daemon admits: part of the rate, and number in flight.
  double rate_part = 0;
  double in_flight_part = 0;
};

}  // namespace detail

/// @brief Shares and buckets of one daemon.
///
/// Invariant: while changes of demand spread in order and within spread_delay
/// and the member list stays, the admitted parts of one limit add up to at
/// most the limit, for the rate and for the number in flight.
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

std::string AccountLimitName(std::string_view account);
std::string ServiceLimitName(std::string_view service);
std::string KindLimitName(std::string_view service, std::string_view kind);

/// @brief Takes one request from all limits, or from none and returns
/// account_limit. On success, Release must be called once with the same span.
std::optional<base::ErrorKind> TakeAll(AccountLimiter& limiter,
                                       std::span<const LimitRef> limits,
                                       base::TimePoint now);

/// @brief Ends what TakeAll began.
void Release(AccountLimiter& limiter, std::span<const LimitRef> limits);

/// @brief Own demands that changed by more than a tenth, for the next gossip
/// message; remembers them as published. Call about once a second, also to let
/// shares rise.
std::vector<Demand> PublishDemand(AccountLimiter& limiter, base::TimePoint now);

/// @brief Demand heard from another daemon; names left out keep their value.
/// The caller drops older messages that arrive after newer ones, and messages
/// must arrive within the spread delay for the sum to stay at the limit.
void MergeDemand(AccountLimiter& limiter,
                 base::DaemonId peer,
                 std::span<const Demand> demands,
                 base::TimePoint now);

/// @brief A daemon was lost or left: its demand counts no more.
void ForgetPeer(AccountLimiter& limiter,
                base::DaemonId peer,
                base::TimePoint now);

/// @brief The member list changed: this daemon, how many may admit requests
/// (this one included), and the position of this one in the order of ids.
void SetFleet(AccountLimiter& limiter,
              base::DaemonId self,
              std::uint32_t position,
              std::uint32_t daemons,
              base::TimePoint now);

/// @brief Share of the rate of a limit that this daemon admits now; zero while
/// no request was subject to it here.
double RateShareOf(const AccountLimiter& limiter, std::string_view name);

/// @brief Time until the limits would admit one more request, for Retry-After.
base::Duration RetryAfter(const AccountLimiter& limiter,
                          std::span<const LimitRef> limits);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_ACCOUNT_LIMITER_HPP
