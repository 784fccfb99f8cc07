// This daemon's share of one limit, from the demand of all daemons.
//
// Daemons hear of each other's demand late and at different times, so they
// never agree on it exactly. A daemon therefore computes its share from the
// least own demand and the most demand of each other daemon over a window that
// is longer than the spreading of a change. At the time when the window began
// the real demands were some d; every daemon's own least is at most its d, and
// its most of each other daemon is at least that one's d, which it has heard
// by now. A share only grows with the own demand and only shrinks with that of
// others, so every share is at most the share under d, and those add up to 1.
#ifndef EELGRASSBRIDGE_LIMITS_ACCOUNT_SHARE_HPP
#define EELGRASSBRIDGE_LIMITS_ACCOUNT_SHARE_HPP

#include <cstdint>
#include <unordered_map>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

/// @brief Whose share of which limit.
struct ShareInput {
  double own_demand = 0;
  double total_demand = 0;
  std::uint32_t daemons = 1;
  /// Requests per second; zero: unlimited.
  double limit = 0;
  /// Part that is divided evenly whatever the demand.
  double floor_part = 0;
};

/// @brief Part of a limit for a daemon with that part of the demand. Over all
/// daemons the parts add up to 1. Below the limit each daemon gets its demand
/// and an even part of what is left, so that a new demand is not held back
/// while nobody needs the rest; above the limit the parts follow the demands.
double ShareOf(const ShareInput& input);

namespace detail {

/// Demand in millionths of a request per second; whole numbers, so that sums
/// stay exact when entries change.
using Millionths = std::int64_t;

Millionths ToMillionths(double demand);

/// Published demand of this daemon, and the least of the current and the
/// previous half of the window.
struct OwnDemand {
  Millionths latest = 0;
  Millionths least_now = 0;
  Millionths least_before = 0;
};

/// Demand of another daemon as heard, and the most of the current and the
/// previous half of the window.
struct PeerDemand {
  Millionths latest = 0;
  Millionths most_now = 0;
  Millionths most_before = 0;
};

/// What all limits of one daemon have in common.
struct Fleet {
  base::DaemonId self;
  /// Daemons that may admit requests, this one included, and the position of
  /// this one in the order of ids.
  std::uint32_t daemons = 1;
  std::uint32_t position = 0;
  double floor_part = 0;
  base::Duration spread_delay{};
};

struct LimitShare {
  OwnDemand own;
  std::unordered_map<base::DaemonId, PeerDemand> peers;
  /// Sums of the most of peers with a smaller id than this one, and of all.
  Millionths peers_before = 0;
  Millionths peers_total = 0;
  base::TimePoint half_began{};
  /// The window shows no demand but the latest ones.
  bool settled = true;
  /// Last change of any demand.
  base::TimePoint changed_at{};
};

void SetOwn(LimitShare& share, Millionths demand, base::TimePoint now);
void SetPeer(LimitShare& share,
             const Fleet& fleet,
             base::DaemonId peer,
             Millionths demand,
             base::TimePoint now);

/// Begins the next half of the window when it is time.
void Advance(LimitShare& share, const Fleet& fleet, base::TimePoint now);

/// Computes the sums and `settled` anew.
void SumPeers(LimitShare& share, base::DaemonId self);

/// Part for this daemon of a limit of `limit` requests per second.
double RatePart(const LimitShare& share,
                const Fleet& fleet,
                std::uint32_t limit);

/// Number in flight for this daemon of a limit of `limit`. `shift` varies
/// between limits, so that the same daemons are not always left without one.
double InFlightPart(const LimitShare& share,
                    const Fleet& fleet,
                    std::uint32_t limit,
                    std::uint64_t shift,
                    base::TimePoint now);

}  // namespace detail

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_ACCOUNT_SHARE_HPP
