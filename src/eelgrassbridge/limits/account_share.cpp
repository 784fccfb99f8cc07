// Windows of demand, and the shares that follow from them.
#include "eelgrassbridge/limits/account_share.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::limits {

double ShareOf(const ShareInput& input) {
  const double even = 1.0 / std::max(1U, input.daemons);
  if (input.total_demand <= 0 || input.limit <= 0) {
    return even;
  }
  const double by_demand =
      input.total_demand > input.limit
          ? input.own_demand / input.total_demand
          : (input.own_demand + (input.limit - input.total_demand) * even) /
                input.limit;
  return input.floor_part * even + (1 - input.floor_part) * by_demand;
}

namespace detail {

namespace {

constexpr double kMillion = 1e6;

double Least(const OwnDemand& own) {
  return static_cast<double>(std::min(own.least_now, own.least_before));
}

Millionths Most(const PeerDemand& peer) {
  return std::max(peer.most_now, peer.most_before);
}

/// Whole part of `amount` that falls to [from, to) of 1. Parts that cover 1
/// without overlap add up to exactly `amount`.
double WholePart(double amount, double from, double to) {
  constexpr double kRounding = 1e-9;
  return std::floor(amount * to + kRounding) -
         std::floor(amount * from + kRounding);
}

}  // namespace

Millionths ToMillionths(double demand) {
  // A peer's figure is not trusted to fit or to be a number.
  constexpr double kMostDemand = 1e9;
  return demand > 0 ? std::llround(std::min(demand, kMostDemand) * kMillion)
                    : 0;
}

void SetOwn(LimitShare& share, Millionths demand, base::TimePoint now) {
  share.own.latest = demand;
  share.own.least_now = std::min(share.own.least_now, demand);
  share.settled = false;
  share.changed_at = now;
}

void SetPeer(LimitShare& share,
             const Fleet& fleet,
             base::DaemonId peer,
             Millionths demand,
             base::TimePoint now) {
  if (demand == 0 && !share.peers.contains(peer)) {
    return;
  }
  PeerDemand& known = share.peers[peer];
  const Millionths before = Most(known);
  known.latest = demand;
  known.most_now = std::max(known.most_now, demand);
  const Millionths change = Most(known) - before;
  share.peers_total += change;
  share.peers_before += peer < fleet.self ? change : 0;
  share.settled = false;
  share.changed_at = now;
}

void Advance(LimitShare& share, const Fleet& fleet, base::TimePoint now) {
  if (now - share.half_began < fleet.spread_delay) {
    return;
  }
  share.half_began = now;
  share.own.least_before = share.own.least_now;
  share.own.least_now = share.own.latest;
  for (auto& [id, peer] : share.peers) {
    peer.most_before = peer.most_now;
    peer.most_now = peer.latest;
  }
  std::erase_if(share.peers,
                [](const auto& item) { return Most(item.second) == 0; });
  SumPeers(share, fleet.self);
}

void SumPeers(LimitShare& share, base::DaemonId self) {
  share.peers_total = 0;
  share.peers_before = 0;
  share.settled = share.own.latest == share.own.least_now &&
                  share.own.latest == share.own.least_before;
  for (const auto& [id, peer] : share.peers) {
    share.peers_total += Most(peer);
    share.peers_before += id < self ? Most(peer) : 0;
    share.settled = share.settled && Most(peer) == peer.latest;
  }
}

double RatePart(const LimitShare& share,
                const Fleet& fleet,
                std::uint32_t limit) {
  const double own = Least(share.own);
  return ShareOf({own, own + static_cast<double>(share.peers_total),
                  fleet.daemons, static_cast<double>(limit) * kMillion,
                  fleet.floor_part});
}

double InFlightPart(const LimitShare& share,
                    const Fleet& fleet,
                    std::uint32_t limit,
                    std::uint64_t shift,
                    base::TimePoint now) {
  const double own = Least(share.own);
  const double total = own + static_cast<double>(share.peers_total);
  const double even = total > 0 ? std::floor(limit * fleet.floor_part)
                                : static_cast<double>(limit);
  const double place =
      static_cast<double>((fleet.position + shift) % fleet.daemons);
  const double part =
      WholePart(even, place / fleet.daemons, (place + 1) / fleet.daemons);
  if (total == 0) {
    return part;
  }
  const double by_demand = limit - even;
  if (!share.settled || now - share.changed_at < fleet.spread_delay) {
    // Others may compute with other demands, so only whole shares are safe.
    return part + std::floor(by_demand * own / total);
  }
  // All daemons that have heard of no change for this long know the same
  // demands, so the remainders can be given to those whose part crosses a
  // whole number. For the daemons of the branch above this part is an upper
  // bound.
  const auto before = static_cast<double>(share.peers_before);
  return part + WholePart(by_demand, before / total, (before + own) / total);
}

}  // namespace detail

}  // namespace eelgrassbridge::limits
