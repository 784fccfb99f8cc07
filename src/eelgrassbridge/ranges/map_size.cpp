// Limits the encoded size of a range map.
#include "eelgrassbridge/ranges/map_size.hpp"

#include <algorithm>
#include <string>

namespace eelgrassbridge::ranges {

namespace {

/// Longest encoded entry without a handover, with its comma: a first key of 5
/// digits, a token of 16, an owner and a next daemon of 4 each, and the marks
/// between them. Tokens start at 2^32 times the era of the store, and 16 digits
/// are enough for a million eras.
constexpr std::size_t kMaxEntryBytes = 38;
/// Length of an encoded map beside its owners and entries.
constexpr std::size_t kFrameBytes = 80;
/// Marks around an owner, and a start time of 13 digits.
constexpr std::size_t kOwnerFrameBytes = 24;
/// The latest assignments whose handovers CompactMap keeps. A target gets a
/// handover with its next heartbeat, about a second later; plans and losses
/// assign fewer tokens than this in that time unless several owners are lost.
constexpr std::uint64_t kRecentTokens = 128;

/// Encoded length of the owner, counted once more as a next daemon.
std::size_t EncodedOwnerSize(const OwnerId& owner) {
  return kOwnerFrameBytes + owner.daemon.size() + owner.target.size();
}

void DropHandovers(RangeMap& map,
                   const std::function<bool(const RangeEntry&)>& unneeded) {
  for (RangeEntry& entry : map.entries) {
    if (unneeded(entry)) {
      entry.handover.clear();
    }
  }
}

bool Fits(const RangeMap& map, std::size_t max_size) {
  return EncodeMap(map).size() <= max_size;
}

}  // namespace

std::size_t MaxEntries(const RangeMap& map,
                       std::span<const OwnerId> joining,
                       std::size_t max_size) {
  std::vector<OwnerId> owners(joining.begin(), joining.end());
  for (const RangeEntry& entry : map.entries) {
    if (std::ranges::find(owners, entry.owner) == owners.end()) {
      owners.push_back(entry.owner);
    }
  }
  std::size_t size = kFrameBytes;
  for (const OwnerId& owner : owners) {
    size += EncodedOwnerSize(owner);
  }
  return size < max_size ? (max_size - size) / kMaxEntryBytes : 0;
}

void MergeOwnEntries(RangeMap& map,
                     const std::function<bool(const RangeEntry&)>& allowed) {
  const auto can_merge = [&allowed](const RangeEntry& entry) {
    return entry.next_daemon.empty() && entry.handover.empty() &&
           allowed(entry);
  };
  std::vector<RangeEntry> merged;
  for (RangeEntry& entry : map.entries) {
    if (!merged.empty() && merged.back().owner == entry.owner &&
        can_merge(merged.back()) && can_merge(entry)) {
      merged.back().keys.last = entry.keys.last;
      merged.back().fencing_token =
          std::max(merged.back().fencing_token, entry.fencing_token);
    } else {
      merged.push_back(std::move(entry));
    }
  }
  map.entries = std::move(merged);
}

void CompactMap(RangeMap& map,
                const std::function<bool(const RangeEntry&)>& allowed) {
  DropHandovers(map, [&map, &allowed](const RangeEntry& entry) {
    const bool unneeded = !entry.next_daemon.empty() ||
                          entry.fencing_token + kRecentTokens < map.next_token;
    return unneeded && allowed(entry);
  });
  MergeOwnEntries(map, allowed);
}

void LimitEncodedSize(RangeMap& map, std::size_t max_size) {
  MergeAdjacent(map);
  if (Fits(map, max_size)) {
    return;
  }
  CompactMap(map, AnyEntry);
  if (Fits(map, max_size)) {
    return;
  }
  DropHandovers(map, AnyEntry);
  MergeOwnEntries(map, AnyEntry);
  if (Fits(map, max_size)) {
    return;
  }
  for (RangeEntry& entry : map.entries) {
    entry.next_daemon.clear();
  }
  MergeOwnEntries(map, AnyEntry);
}

}  // namespace eelgrassbridge::ranges
