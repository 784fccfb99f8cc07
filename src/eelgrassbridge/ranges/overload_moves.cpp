// Moves of keys that relieve overloaded owners.
//
// A move costs the share of keys that changes hands, and an entry of the map
// for each cut. So each move takes the narrowest range that has the demand
// which the donor has too much and the recipient has room for.
#include <algorithm>
#include <optional>
#include <vector>

#include "eelgrassbridge/ranges/planner.hpp"

namespace eelgrassbridge::ranges::detail {

namespace {

/// Moves of less than this fraction of a capacity are not worth their cost.
constexpr double kMinMovedFraction = 0.05;
/// Smallest part of the wanted demand for which a range is taken because it is
/// narrow; smaller ones are taken only if there is none of this size.
constexpr double kMinWantedFraction = 0.1;
/// Part of the demand of a range that is moved; its edges are left if they are
/// wide and idle.
constexpr double kTrimmedFraction = 0.7;
/// Keys that a cut costs as much as.
constexpr double kKeysPerCut = 128;

/// A range of keys that could move.
struct Window {
  KeyRange keys;
  double demand = 0;
  double score = 0;
};

/// What a range is looked for.
struct Wanted {
  /// Requests per second at most and at least.
  double most = 0;
  double least = 0;
  /// The range may have an end within an entry.
  bool may_cut_twice = false;
};

struct Totals {
  double demand = 0;
  double capacity = 0;
  /// Demand above the capacities of single owners.
  double excess = 0;
};

Totals SumUp(const Planner& planner) {
  Totals totals;
  for (const Candidate& candidate : planner.candidates) {
    totals.demand += candidate.demand;
    totals.capacity += candidate.capacity;
    totals.excess += std::max(0.0, candidate.demand - candidate.capacity);
  }
  return totals;
}

double MeanUtilization(const Planner& planner) {
  const Totals totals = SumUp(planner);
  return totals.capacity > 0 ? totals.demand / totals.capacity : 0;
}

/// Utilization up to which donors are relieved and recipients are filled.
double ReliefUtilization(const Planner& planner) {
  return std::max(planner.options.relief_utilization,
                  MeanUtilization(planner) * planner.options.relief_imbalance);
}

/// How many more moves the plan may start, pending ones counted.
std::size_t MovesLeft(const Planner& planner) {
  const Totals totals = SumUp(planner);
  const std::size_t allowed =
      totals.excess > totals.demand * planner.options.large_excess
          ? planner.options.max_relief_moves
          : planner.options.max_moves;
  const auto pending = static_cast<std::size_t>(std::ranges::count_if(
      planner.map.entries,
      [](const RangeEntry& entry) { return !entry.next_daemon.empty(); }));
  return allowed - std::min(allowed, pending);
}

/// The keys of an entry that may move to a recipient. One key stays between two
/// ranges that move to different daemons: the target then releases each of them
/// with a handover of its own.
std::optional<KeyRange> MovableKeys(const RangeMap& map,
                                    std::size_t index,
                                    const std::string& recipient) {
  const RangeEntry& entry = map.entries[index];
  const auto is_parting = [&](const RangeEntry& neighbour) {
    return neighbour.owner == entry.owner && !neighbour.next_daemon.empty() &&
           neighbour.next_daemon != recipient;
  };
  KeyRange keys = entry.keys;
  if (index > 0 && is_parting(map.entries[index - 1])) {
    ++keys.first;
  }
  if (index + 1 < map.entries.size() && is_parting(map.entries[index + 1])) {
    if (keys.last == keys.first) {
      return std::nullopt;
    }
    --keys.last;
  }
  return keys.first <= keys.last ? std::optional(keys) : std::nullopt;
}

/// The keys between which a range may be cut: its own ends and the starts of
/// the buckets in which demand is counted.
std::vector<std::uint32_t> CutsOf(const KeyRange& keys) {
  constexpr std::uint32_t kWidth = DemandProfile::kKeysPerBucket;
  std::vector<std::uint32_t> cuts{keys.first};
  for (std::uint32_t key = (keys.first / kWidth + 1) * kWidth; key <= keys.last;
       key += kWidth) {
    cuts.push_back(key);
  }
  cuts.push_back(keys.last + 1);
  return cuts;
}

/// Whether `window` should move rather than `best`.
bool IsBetter(const Window& window,
              const std::optional<Window>& best,
              double least) {
  if (!best) {
    return true;
  }
  const bool is_large = window.demand >= least;
  if (is_large != (best->demand >= least)) {
    return is_large;
  }
  return is_large ? window.score > best->score : window.demand > best->demand;
}

/// Looks for a better range than `best` among the movable keys of an entry.
void SearchEntry(const DemandProfile& profile,
                 const KeyRange& entry,
                 const KeyRange& movable,
                 const Wanted& wanted,
                 std::optional<Window>& best) {
  const std::vector<std::uint32_t> cuts = CutsOf(movable);
  std::vector<double> before;
  before.reserve(cuts.size());
  for (const std::uint32_t key : cuts) {
    before.push_back(DemandBefore(profile, key));
  }
  for (std::size_t i = 0; i + 1 < cuts.size(); ++i) {
    // The last end at which the range has at most the wanted demand.
    const auto start = before.begin() + static_cast<std::ptrdiff_t>(i);
    const auto above =
        std::upper_bound(start + 1, before.end(), *start + wanted.most);
    const double most = *(above - 1) - *start;
    if (most <= 0) {
      continue;
    }
    const auto end =
        std::lower_bound(start + 1, above, *start + most * kTrimmedFraction);
    const KeyRange keys{
        cuts[i], cuts[static_cast<std::size_t>(end - before.begin())] - 1};
    const int new_entries =
        (keys.first != entry.first ? 1 : 0) + (keys.last != entry.last ? 1 : 0);
    if (new_entries == 2 && !wanted.may_cut_twice) {
      continue;
    }
    const double demand = *end - *start;
    const Window window{keys, demand,
                        demand / (SizeOf(keys) + kKeysPerCut * new_entries)};
    if (IsBetter(window, best, wanted.least)) {
      best = window;
    }
  }
}

/// Finds the range of a donor to move to a recipient.
std::optional<Window> FindWindow(const Planner& planner,
                                 const Candidate& donor,
                                 const std::string& recipient,
                                 double most) {
  const Wanted wanted{most, most * kMinWantedFraction,
                      donor.entries < planner.options.max_entries_per_owner};
  std::optional<Window> best;
  for (std::size_t i = 0; i < planner.map.entries.size(); ++i) {
    const RangeEntry& entry = planner.map.entries[i];
    if (entry.owner != donor.owner || !MayMoveForLoad(planner, entry)) {
      continue;
    }
    if (const auto movable = MovableKeys(planner.map, i, recipient)) {
      SearchEntry(*planner.profile, entry.keys, *movable, wanted, best);
    }
  }
  if (best && best->demand < donor.capacity * kMinMovedFraction) {
    return std::nullopt;
  }
  return best;
}

/// The candidate with the most room below `goal`; null if none has enough for a
/// move.
Candidate* FindMostRoom(Planner& planner, double goal) {
  Candidate* best = nullptr;
  double best_room = 0;
  for (Candidate& candidate : planner.candidates) {
    const double room = goal * candidate.capacity - candidate.demand;
    if (room > best_room && room > kMinMovedFraction * candidate.capacity &&
        candidate.entries < planner.options.max_entries_per_owner) {
      best = &candidate;
      best_room = room;
    }
  }
  return best;
}

/// Splits the map around a range and plans its move.
void MoveWindow(Planner& planner,
                const Window& window,
                Candidate& donor,
                Candidate& recipient) {
  const std::size_t before = planner.map.entries.size();
  SplitAt(planner.map, window.keys.first);
  if (window.keys.last < kLastKey) {
    SplitAt(planner.map, window.keys.last + 1);
  }
  donor.entries +=
      static_cast<std::uint32_t>(planner.map.entries.size() - before);
  for (RangeEntry& entry : planner.map.entries) {
    if (entry.keys == window.keys) {
      entry.next_daemon = recipient.owner.daemon;
    }
  }
  --donor.entries;
  ++recipient.entries;
  donor.demand -= window.demand;
  recipient.demand += window.demand;
  planner.changed = true;
}

/// Plans the move of one range of a donor. Returns whether it found one.
bool RelieveOnce(Planner& planner, Candidate& donor, double goal) {
  // Two cuts add two entries.
  if (planner.map.entries.size() + 2 > planner.max_entries) {
    return false;
  }
  Candidate* const recipient = FindMostRoom(planner, goal);
  if (recipient == nullptr) {
    return false;
  }
  const double most = std::min(donor.demand - goal * donor.capacity,
                               goal * recipient->capacity - recipient->demand);
  const auto window = FindWindow(planner, donor, recipient->owner.daemon, most);
  if (!window) {
    return false;
  }
  MoveWindow(planner, *window, donor, *recipient);
  return true;
}

}  // namespace

double OverloadUtilization(const Planner& planner) {
  return std::max(
      planner.options.overload_utilization,
      MeanUtilization(planner) * planner.options.overload_imbalance);
}

bool RelieveOverload(Planner& planner) {
  const double goal = ReliefUtilization(planner);
  const double limit = OverloadUtilization(planner);
  std::vector<Candidate*> donors;
  for (Candidate& candidate : planner.candidates) {
    if (Utilization(candidate) > limit) {
      donors.push_back(&candidate);
    }
  }
  std::size_t moves_left = MovesLeft(planner);
  bool moved = false;
  while (moves_left > 0 && !donors.empty()) {
    const auto donor = std::ranges::max_element(
        donors, {}, [](const Candidate* each) { return Utilization(*each); });
    if (!RelieveOnce(planner, **donor, goal)) {
      donors.erase(donor);
      continue;
    }
    moved = true;
    --moves_left;
  }
  return moved;
}

}  // namespace eelgrassbridge::ranges::detail
