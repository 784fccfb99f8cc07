// Matches surplus groups to receivers; all owners compute the same matching.
#include <algorithm>
#include <string_view>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/ownership/placement.hpp"

namespace eelgrassbridge::ownership {

namespace {

constexpr std::string_view kBalanceItem = "balance";

/// Members sorted by rendezvous score, an order that is the same for all owners
/// and independent of the counts.
std::vector<base::DaemonId> SortedByScore(std::vector<base::DaemonId> ids) {
  std::ranges::sort(ids, {}, [](base::DaemonId id) {
    return base::RendezvousScore(kBalanceItem, id);
  });
  return ids;
}

struct Slots {
  /// Each receiver below the average once for each group it lacks; those with
  /// the fewest groups first.
  std::vector<base::DaemonId> urgent;
  /// Receivers at the average that can take one group of a larger surplus.
  std::vector<base::DaemonId> spare;
};

Slots FindSlots(std::span<const MemberLoad> loads, std::uint32_t average) {
  Slots slots;
  std::vector<MemberLoad> below;
  std::vector<base::DaemonId> at_average;
  for (const MemberLoad& load : loads) {
    if (load.groups < average) {
      below.push_back(load);
    } else if (load.groups == average) {
      at_average.push_back(load.id);
    }
  }
  std::ranges::sort(below, [](const MemberLoad& a, const MemberLoad& b) {
    return std::pair(a.groups, a.id) < std::pair(b.groups, b.id);
  });
  // One group for each receiver in turn, so that a new target, whose caches are
  // still cold, does not get all its groups in the first round.
  std::uint32_t lowest = below.empty() ? average : below.front().groups;
  for (; lowest < average; ++lowest) {
    for (const MemberLoad& load : below) {
      if (load.groups <= lowest) {
        slots.urgent.push_back(load.id);
      }
    }
  }
  slots.spare = SortedByScore(std::move(at_average));
  return slots;
}

}  // namespace

std::optional<base::DaemonId> BalanceReceiver(std::span<const MemberLoad> loads,
                                              base::DaemonId self,
                                              std::uint32_t min_difference) {
  const auto own = std::ranges::find(loads, self, &MemberLoad::id);
  if (own == loads.end()) {
    return std::nullopt;
  }
  std::uint64_t total = 0;
  for (const MemberLoad& load : loads) {
    total += load.groups;
  }
  const auto average = static_cast<std::uint32_t>(total / loads.size());
  if (own->groups <= average) {
    return std::nullopt;
  }
  // Donors with a surplus of two or more must give groups away in any case, so
  // the slots that they can fill in the coming rounds are reserved for them.
  // Donors with a surplus of one fill only the remaining slots of receivers
  // below the average.
  std::vector<base::DaemonId> large;
  std::vector<base::DaemonId> small;
  std::size_t reserved = 0;
  for (const MemberLoad& load : loads) {
    if (load.groups > average + 1) {
      large.push_back(load.id);
      reserved += load.groups - average - 1;
    } else if (load.groups == average + 1) {
      small.push_back(load.id);
    }
  }
  const Slots slots = FindSlots(loads, average);
  const bool is_large = own->groups > average + 1;
  const std::vector<base::DaemonId> donors =
      SortedByScore(std::move(is_large ? large : small));
  const auto rank = static_cast<std::size_t>(std::ranges::find(donors, self) -
                                             donors.begin());
  const std::size_t position = is_large ? rank : reserved + rank;
  std::optional<base::DaemonId> receiver;
  if (position < slots.urgent.size()) {
    receiver = slots.urgent[position];
  } else if (is_large && position - slots.urgent.size() < slots.spare.size()) {
    receiver = slots.spare[position - slots.urgent.size()];
  }
  if (!receiver) {
    return std::nullopt;
  }
  const auto other = std::ranges::find(loads, *receiver, &MemberLoad::id);
  if (own->groups < other->groups + min_difference) {
    return std::nullopt;
  }
  return receiver;
}

}  // namespace eelgrassbridge::ownership
