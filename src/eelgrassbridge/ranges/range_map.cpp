// Operations on range maps and their JSON encoding.
#include "eelgrassbridge/ranges/range_map.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "eelgrassbridge/base/json_value.hpp"

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

/// Decodes an entry of the former encoding, in which each entry is an object
/// that repeats its owner.
RangeEntry DecodeObjectEntry(const json& value) {
  RangeEntry entry;
  entry.keys = {base::JsonInteger(value.at("first"), kLastKey),
                base::JsonInteger(value.at("last"), kLastKey)};
  entry.fencing_token = base::JsonInteger<std::uint64_t>(value.at("token"));
  entry.owner = {base::JsonName(value.at("daemon")),
                 base::JsonName(value.at("target")),
                 base::JsonInteger<std::int64_t>(value.at("born"))};
  entry.handover = value.value("handover", std::string{});
  entry.next_daemon = value.value("next", std::string{});
  return entry;
}

/// The owners and daemons that entries refer to by their index.
struct NameTable {
  std::vector<OwnerId> owners;
  /// Addresses of the owners' daemons, followed by those of daemons that keys
  /// move to and that own none.
  std::vector<std::string> daemons;
};

OwnerId DecodeOwner(const json& value) {
  return {base::JsonName(value.at(0)), base::JsonName(value.at(1)),
          base::JsonInteger<std::int64_t>(value.at(2))};
}

NameTable DecodeNames(const json& value) {
  NameTable names;
  for (const json& owner : value.at("owners")) {
    names.owners.push_back(DecodeOwner(owner));
    names.daemons.push_back(names.owners.back().daemon);
  }
  for (const json& daemon : value.at("others")) {
    names.daemons.push_back(base::JsonName(daemon));
  }
  return names;
}

/// Decodes an entry without its last key, which follows from the next entry.
RangeEntry DecodeArrayEntry(const json& value, const NameTable& names) {
  RangeEntry entry;
  entry.keys.first = base::JsonInteger(value.at(0), kLastKey);
  entry.fencing_token = base::JsonInteger<std::uint64_t>(value.at(1));
  entry.owner = names.owners.at(base::JsonInteger<std::size_t>(value.at(2)));
  if (value.size() > 3) {
    entry.handover = value.at(3).get<std::string>();
  }
  if (value.size() > 4) {
    entry.next_daemon =
        names.daemons.at(base::JsonInteger<std::size_t>(value.at(4)));
  }
  return entry;
}

void DecodeEntries(const json& value, RangeMap& map) {
  if (!value.contains("owners")) {
    for (const json& entry : value.at("entries")) {
      map.entries.push_back(DecodeObjectEntry(entry));
    }
    return;
  }
  const NameTable names = DecodeNames(value);
  for (const json& entry : value.at("entries")) {
    map.entries.push_back(DecodeArrayEntry(entry, names));
  }
  for (std::size_t i = 0; i < map.entries.size(); ++i) {
    const bool is_last = i + 1 == map.entries.size();
    map.entries[i].keys.last =
        is_last ? kLastKey : map.entries[i + 1].keys.first - 1;
  }
}

NameTable CollectNames(const RangeMap& map) {
  NameTable names;
  for (const RangeEntry& entry : map.entries) {
    if (std::ranges::find(names.owners, entry.owner) == names.owners.end()) {
      names.owners.push_back(entry.owner);
      names.daemons.push_back(entry.owner.daemon);
    }
  }
  for (const RangeEntry& entry : map.entries) {
    if (!entry.next_daemon.empty() &&
        std::ranges::find(names.daemons, entry.next_daemon) ==
            names.daemons.end()) {
      names.daemons.push_back(entry.next_daemon);
    }
  }
  return names;
}

template <typename T>
std::size_t IndexOf(const std::vector<T>& values, const T& value) {
  return static_cast<std::size_t>(std::ranges::find(values, value) -
                                  values.begin());
}

json EncodeEntry(const RangeEntry& entry, const NameTable& names) {
  json value = json::array({entry.keys.first, entry.fencing_token,
                            IndexOf(names.owners, entry.owner)});
  if (!entry.handover.empty() || !entry.next_daemon.empty()) {
    value.push_back(entry.handover);
  }
  if (!entry.next_daemon.empty()) {
    value.push_back(IndexOf(names.daemons, entry.next_daemon));
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
  // All entries get the same token, so that adjacent ones can be merged.
  const std::uint64_t token = map.next_token;
  for (RangeEntry& entry : map.entries) {
    if (entry.owner.daemon == owner.daemon && entry.owner != owner) {
      entry.fencing_token = token;
      entry.owner = owner;
      entry.handover.clear();
      map.next_token = token + 1;
    }
  }
  return map.next_token != token;
}

std::string EncodeMap(const RangeMap& map) {
  const NameTable names = CollectNames(map);
  json owners = json::array();
  for (const OwnerId& owner : names.owners) {
    owners.push_back(json::array({owner.daemon, owner.target, owner.born}));
  }
  json others = json::array();
  for (std::size_t i = names.owners.size(); i < names.daemons.size(); ++i) {
    others.push_back(names.daemons[i]);
  }
  json entries = json::array();
  for (const RangeEntry& entry : map.entries) {
    entries.push_back(EncodeEntry(entry, names));
  }
  return json{{"next_token", map.next_token},
              {"owners", std::move(owners)},
              {"others", std::move(others)},
              {"entries", std::move(entries)}}
      .dump();
}

base::Result<RangeMap> DecodeMap(std::string_view text) {
  RangeMap map;
  try {
    const json value = json::parse(text);
    map.next_token = base::JsonInteger(value.at("next_token"), kMaxNextToken);
    DecodeEntries(value, map);
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  } catch (const base::InvalidJsonValue& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  } catch (const std::out_of_range&) {
    return base::Fail(base::ErrorKind::kFrameInvalid,
                      "an entry names an owner or daemon that is not listed");
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
