// Computes this daemon's share of one limit from the demand of all daemons.
//
// Daemons learn each other's demand late and at different times, so they never
// agree on it exactly. A daemon therefore computes its share from the minimum
// of its own demand and the maximum demand of each peer over a window that is
// longer than the propagation delay. Let d be the actual demands at the start
// of the window. Each daemon's own minimum is at most its d, and its maximum
// for each peer is at least that peer's d, which has arrived by now. A share
// grows only with the own demand and shrinks only with that of the peers, so
// every share is at most the share under d, and those shares add up to 1.
#ifndef EELGRASSBRIDGE_LIMITS_ACCOUNT_SHARE_HPP
#define EELGRASSBRIDGE_LIMITS_ACCOUNT_SHARE_HPP

#include <cstdint>
#include <unordered_map>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

/// @brief Demands and limit that a share is computed from.
struct ShareInput {
  double own_demand = 0;
  double total_demand = 0;
  std::uint32_t daemons = 1;
  /// Requests per second; zero: unlimited.
  double limit = 0;
  /// Fraction that is divided evenly regardless of demand.
  double floor_fraction = 0;
};

/// @brief Returns the fraction of a limit for a daemon with that demand. The
/// fractions of all daemons add up to 1. While the total demand is below the
/// limit, each daemon gets its demand and an even part of the remainder, so
/// that new demand is not rejected while capacity is unused. Above the limit
/// the fractions are proportional to the demands.
double ComputeShare(const ShareInput& input);

namespace detail {

/// Demand in millionths of a request per second. Integers, so that
/// incrementally updated sums stay exact.
using Millionths = std::int64_t;

Millionths ToMillionths(double demand);

/// Published demand of this daemon, and its minimum in the current and the
/// previous half of the window.
struct OwnDemand {
  Millionths latest = 0;
  Millionths min_current = 0;
  Millionths min_previous = 0;
};

/// Last received demand of another daemon, and its maximum in the current and
/// the previous half of the window.
struct PeerDemand {
  Millionths latest = 0;
  Millionths max_current = 0;
  Millionths max_previous = 0;
};

/// Parameters that all limits of one daemon share.
struct Fleet {
  base::DaemonId self;
  /// Number of daemons that may admit requests, this one included, and this
  /// daemon's position in the order of ids.
  std::uint32_t daemons = 1;
  std::uint32_t position = 0;
  double floor_fraction = 0;
  base::Duration propagation_delay{};
};

/// Known demands for one limit, with their window.
struct LimitShare {
  OwnDemand own;
  std::unordered_map<base::DaemonId, PeerDemand> peers;
  /// Sums of the peers' maxima: of those with a smaller id than this daemon,
  /// and of all.
  Millionths peers_below_self = 0;
  Millionths peers_total = 0;
  base::TimePoint half_started_at{};
  /// Whether the window contains no demands other than the latest ones.
  bool settled = true;
  /// Time of the last change of any demand.
  base::TimePoint changed_at{};
};

void SetOwnDemand(LimitShare& share, Millionths demand, base::TimePoint now);
void SetPeerDemand(LimitShare& share,
                   const Fleet& fleet,
                   base::DaemonId peer,
                   Millionths demand,
                   base::TimePoint now);

/// Starts the next half of the window once the current one is over.
void Advance(LimitShare& share, const Fleet& fleet, base::TimePoint now);

/// Recomputes the sums and `settled`.
void SumPeers(LimitShare& share, base::DaemonId self);

/// Returns this daemon's fraction of a limit of `limit` requests per second.
double RateShare(const LimitShare& share,
                 const Fleet& fleet,
                 std::uint32_t limit);

/// Returns this daemon's part of a limit of `limit` requests in flight. `shift`
/// varies between limits, so that indivisible remainders don't always go to the
/// same daemons.
double InFlightShare(const LimitShare& share,
                     const Fleet& fleet,
                     std::uint32_t limit,
                     std::uint64_t shift,
                     base::TimePoint now);

}  // namespace detail

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_ACCOUNT_SHARE_HPP
