// Maintains the windows of demand and computes the shares from them.
#include "eelgrassbridge/limits/account_share.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::limits {

double ComputeShare(const ShareInput& input) {
  const double even = 1.0 / std::max(1U, input.daemons);
  if (input.total_demand <= 0 || input.limit <= 0) {
    return even;
  }
  const double by_demand =
      input.total_demand > input.limit
          ? input.own_demand / input.total_demand
          : (input.own_demand + (input.limit - input.total_demand) * even) /
                input.limit;
  return input.floor_fraction * even + (1 - input.floor_fraction) * by_demand;
}

namespace detail {

namespace {

constexpr double kMillion = 1e6;

double WindowMin(const OwnDemand& own) {
  return static_cast<double>(std::min(own.min_current, own.min_previous));
}

Millionths WindowMax(const PeerDemand& peer) {
  return std::max(peer.max_current, peer.max_previous);
}

/// Integer part of `amount` that falls to the interval [from, to) of [0, 1).
/// The parts of disjoint intervals that cover [0, 1) add up to the integer part
/// of `amount`.
double IntegerPart(double amount, double from, double to) {
  constexpr double kRounding = 1e-9;
  return std::floor(amount * to + kRounding) -
         std::floor(amount * from + kRounding);
}

}  // namespace

Millionths ToMillionths(double demand) {
  // A peer's value may be NaN, negative or too large for the integer type.
  constexpr double kMaxDemand = 1e9;
  return demand > 0 ? std::llround(std::min(demand, kMaxDemand) * kMillion) : 0;
}

void SetOwnDemand(LimitShare& share, Millionths demand, base::TimePoint now) {
  share.own.latest = demand;
  share.own.min_current = std::min(share.own.min_current, demand);
  share.settled = false;
  share.changed_at = now;
}

void SetPeerDemand(LimitShare& share,
                   const Fleet& fleet,
                   base::DaemonId peer,
                   Millionths demand,
                   base::TimePoint now) {
  if (demand == 0 && !share.peers.contains(peer)) {
    return;
  }
  PeerDemand& known = share.peers[peer];
  const Millionths before = WindowMax(known);
  known.latest = demand;
  known.max_current = std::max(known.max_current, demand);
  const Millionths change = WindowMax(known) - before;
  share.peers_total += change;
  share.peers_below_self += peer < fleet.self ? change : 0;
  share.settled = false;
  share.changed_at = now;
}

void Advance(LimitShare& share, const Fleet& fleet, base::TimePoint now) {
  if (now - share.half_started_at < fleet.propagation_delay) {
    return;
  }
  share.half_started_at = now;
  share.own.min_previous = share.own.min_current;
  share.own.min_current = share.own.latest;
  for (auto& [id, peer] : share.peers) {
    peer.max_previous = peer.max_current;
    peer.max_current = peer.latest;
  }
  std::erase_if(share.peers,
                [](const auto& item) { return WindowMax(item.second) == 0; });
  SumPeers(share, fleet.self);
}

void SumPeers(LimitShare& share, base::DaemonId self) {
  share.peers_total = 0;
  share.peers_below_self = 0;
  share.settled = share.own.latest == share.own.min_current &&
                  share.own.latest == share.own.min_previous;
  for (const auto& [id, peer] : share.peers) {
    share.peers_total += WindowMax(peer);
    share.peers_below_self += id < self ? WindowMax(peer) : 0;
    share.settled = share.settled && WindowMax(peer) == peer.latest;
  }
}

double RateShare(const LimitShare& share,
                 const Fleet& fleet,
                 std::uint32_t limit) {
  const double own = WindowMin(share.own);
  return ComputeShare({own, own + static_cast<double>(share.peers_total),
                       fleet.daemons, static_cast<double>(limit) * kMillion,
                       fleet.floor_fraction});
}

double InFlightShare(const LimitShare& share,
                     const Fleet& fleet,
                     std::uint32_t limit,
                     std::uint64_t shift,
                     base::TimePoint now) {
  const double own = WindowMin(share.own);
  const double total = own + static_cast<double>(share.peers_total);
  const double even = total > 0 ? std::floor(limit * fleet.floor_fraction)
                                : static_cast<double>(limit);
  const double place =
      static_cast<double>((fleet.position + shift) % fleet.daemons);
  const double part =
      IntegerPart(even, place / fleet.daemons, (place + 1) / fleet.daemons);
  if (total == 0) {
    return part;
  }
  const double by_demand = limit - even;
  if (!share.settled || now - share.changed_at < fleet.propagation_delay) {
    // Peers may compute with different demands, so a fractional remainder could
    // be used twice; only the integer part of the share is safe.
    return part + std::floor(by_demand * own / total);
  }
  // All daemons that have received no change for this long know the same
  // demands, so each remainder goes to the daemon whose interval crosses an
  // integer. For daemons in the branch above, this part is an upper bound.
  const auto before = static_cast<double>(share.peers_below_self);
  return part + IntegerPart(by_demand, before / total, (before + own) / total);
}

}  // namespace detail

}  // namespace eelgrassbridge::limits
