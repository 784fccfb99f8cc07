// Operations on range maps and their JSON encoding.
#include "eelgrassbridge/ranges/range_map.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::ranges {

namespace {

using nlohmann::json;

bool SatisfiesInvariants(const RangeMap& map) {
  std::uint32_t expected = 0;
  for (const RangeEntry& entry : map.entries) {
    if (entry.keys.first != expected || entry.keys.last < entry.keys.first ||
        entry.keys.last > kLastKey || entry.fencing_token >= map.next_token) {
      return false;
    }
    expected = entry.keys.last + 1;
  }
  return map.entries.empty() || expected == kLastKey + 1;
}

RangeEntry DecodeEntry(const json& value) {
  RangeEntry entry;
  entry.keys = {value.at("first").get<std::uint32_t>(),
                value.at("last").get<std::uint32_t>()};
  entry.fencing_token = value.at("token").get<std::uint64_t>();
  entry.owner = {value.at("daemon").get<std::string>(),
                 value.at("target").get<std::string>(),
                 value.at("born").get<std::int64_t>()};
  entry.handover = value.value("handover", std::string{});
  entry.next_daemon = value.value("next", std::string{});
  return entry;
}

json EncodeEntry(const RangeEntry& entry) {
  json value = {{"first", entry.keys.first},    {"last", entry.keys.last},
                {"token", entry.fencing_token}, {"daemon", entry.owner.daemon},
                {"target", entry.owner.target}, {"born", entry.owner.born}};
  if (!entry.handover.empty()) {
    value["handover"] = entry.handover;
  }
  if (!entry.next_daemon.empty()) {
    value["next"] = entry.next_daemon;
  }
  return value;
}

bool CanMerge(const RangeEntry& left, const RangeEntry& right) {
  return left.fencing_token == right.fencing_token &&
         left.owner == right.owner && left.handover == right.handover &&
         left.next_daemon == right.next_daemon;
}

}  // namespace

const RangeEntry* FindEntry(const RangeMap& map, std::uint32_t key) {
  const auto found = std::ranges::lower_bound(
      map.entries, key, {},
      [](const RangeEntry& entry) { return entry.keys.last; });
  return found == map.entries.end() ? nullptr : &*found;
}

void DivideEvenly(RangeMap& map, std::span<const OwnerId> owners) {
  const auto count = static_cast<std::uint32_t>(owners.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    RangeEntry entry;
    entry.keys = {(kLastKey + 1) * i / count,
                  (kLastKey + 1) * (i + 1) / count - 1};
    entry.fencing_token = map.next_token++;
    entry.owner = owners[i];
    map.entries.push_back(std::move(entry));
  }
}

void SplitAt(RangeMap& map, std::uint32_t key) {
  const auto found = std::ranges::find_if(
      map.entries,
      [key](const RangeEntry& entry) { return Contains(entry.keys, key); });
  if (found == map.entries.end() || found->keys.first == key) {
    return;
  }
  RangeEntry upper = *found;
  upper.keys.first = key;
  found->keys.last = key - 1;
  map.entries.insert(std::next(found), std::move(upper));
}

void MergeAdjacent(RangeMap& map) {
  std::vector<RangeEntry> merged;
  for (RangeEntry& entry : map.entries) {
    if (!merged.empty() && CanMerge(merged.back(), entry)) {
      merged.back().keys.last = entry.keys.last;
    } else {
      merged.push_back(std::move(entry));
    }
  }
  map.entries = std::move(merged);
}

void Reassign(RangeMap& map,
              RangeEntry& entry,
              const OwnerId& owner,
              std::string handover) {
  entry.fencing_token = map.next_token++;
  entry.owner = owner;
  entry.handover = std::move(handover);
  entry.next_daemon.clear();
}

bool ReassignAfterRestart(RangeMap& map, const OwnerId& owner) {
  bool changed = false;
  for (RangeEntry& entry : map.entries) {
    if (entry.owner.daemon == owner.daemon && entry.owner != owner) {
      const std::string next = entry.next_daemon;
      Reassign(map, entry, owner, {});
      entry.next_daemon = next;
      changed = true;
    }
  }
  return changed;
}

std::string EncodeMap(const RangeMap& map) {
  json entries = json::array();
  for (const RangeEntry& entry : map.entries) {
    entries.push_back(EncodeEntry(entry));
  }
  return json{{"next_token", map.next_token}, {"entries", std::move(entries)}}
      .dump();
}

base::Result<RangeMap> DecodeMap(std::string_view text) {
  RangeMap map;
  try {
    const json value = json::parse(text);
    map.next_token = value.at("next_token").get<std::uint64_t>();
    for (const json& entry : value.at("entries")) {
      map.entries.push_back(DecodeEntry(entry));
    }
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  }
  if (!SatisfiesInvariants(map)) {
    return base::Fail(
        base::ErrorKind::kFrameInvalid,
        "range map entries do not cover each key exactly once, or "
        "a fencing token is not below next_token");
  }
  return map;
}

}  // namespace eelgrassbridge::ranges
