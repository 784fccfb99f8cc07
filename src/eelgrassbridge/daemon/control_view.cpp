// Applies changes to the routing view and publishes it.
#include "eelgrassbridge/daemon/control_view.hpp"

#include <algorithm>
#include <charconv>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

using HotKeys = std::unordered_map<std::uint64_t, GroupOwner>;

HotKeys CopyHotKeys(const GroupMap& map) {
  return map.hot_keys == nullptr ? HotKeys{} : *map.hot_keys;
}

bool IsCarvedOut(const ViewBuilder& builder, const base::GroupId& hot_group) {
  base::GroupId parent = hot_group;
  parent.hot_key.reset();
  const auto found = builder.carved_out.find(parent);
  return found != builder.carved_out.end() &&
         std::ranges::find(found->second, *hot_group.hot_key) !=
             found->second.end();
}

void ApplyHotRow(const ViewBuilder& builder,
                 GroupMap& map,
                 const ownership::GroupRow& row) {
  HotKeys hot_keys = CopyHotKeys(map);
  if (row.owner && row.version != 0) {
    hot_keys[*row.group.hot_key] = {row.owner, row.epoch};
  } else if (IsCarvedOut(builder, row.group)) {
    hot_keys[*row.group.hot_key] = {};
  } else {
    hot_keys.erase(*row.group.hot_key);
  }
  map.hot_keys = std::make_shared<const HotKeys>(std::move(hot_keys));
}

void ApplyOrdinaryRow(GroupMap& map, const ownership::GroupRow& row) {
  const std::uint32_t at = row.group.index / GroupMap::kChunkSize;
  if (map.chunks.size() <= at) {
    map.chunks.resize(at + 1);
  }
  auto chunk = map.chunks[at] == nullptr ? GroupMap::Chunk(GroupMap::kChunkSize)
                                         : GroupMap::Chunk(*map.chunks[at]);
  chunk[row.group.index % GroupMap::kChunkSize] =
      row.version == 0 ? GroupOwner{} : GroupOwner{row.owner, row.epoch};
  map.chunks[at] = std::make_shared<const GroupMap::Chunk>(std::move(chunk));
}

/// Applies the carved-out keys of a parent row. Added keys get an entry in
/// hot_keys even before their own rows are known; removed keys are served by
/// the parent again.
void ApplyCarvedOut(ViewBuilder& builder,
                    GroupMap& map,
                    const ownership::GroupRow& row) {
  const auto known = builder.carved_out.find(row.group);
  const std::vector<std::uint64_t> before = known == builder.carved_out.end()
                                                ? std::vector<std::uint64_t>{}
                                                : known->second;
  if (before == row.carved_out) {
    return;
  }
  HotKeys hot_keys = CopyHotKeys(map);
  for (const std::uint64_t key : before) {
    if (std::ranges::find(row.carved_out, key) == row.carved_out.end()) {
      hot_keys.erase(key);
    }
  }
  for (const std::uint64_t key : row.carved_out) {
    hot_keys.try_emplace(key);
  }
  map.hot_keys = std::make_shared<const HotKeys>(std::move(hot_keys));
  if (row.carved_out.empty()) {
    builder.carved_out.erase(row.group);
  } else {
    builder.carved_out[row.group] = row.carved_out;
  }
}

bool AcceptsRequests(const ViewBuilder& builder, const PeerView& peer) {
  const auto& catalogue = builder.next.catalogue;
  return builder.serving.contains(peer.id) &&
         (catalogue == nullptr ||
          (!catalogue::IsDataCentreOut(*catalogue, peer.data_centre) &&
           !catalogue::IsTargetOut(*catalogue, peer.name)));
}

}  // namespace

void ApplyRow(ViewBuilder& builder, const ownership::GroupRow& row) {
  GroupMap& map =
      builder.next.groups[row.group.service + "/" + row.group.residency];
  if (row.group.hot_key) {
    ApplyHotRow(builder, map, row);
  } else {
    ApplyOrdinaryRow(map, row);
    ApplyCarvedOut(builder, map, row);
  }
  builder.is_changed = true;
}

void ApplyMember(ViewBuilder& builder, const membership::Member& member) {
  builder.peers_changed = true;
  builder.serving.erase(member.id);
  if (!membership::IsAlive(member)) {
    builder.peers.erase(member.id);
    return;
  }
  if (member.state == membership::MemberState::kServing) {
    builder.serving.insert(member.id);
  }
  PeerView& peer = builder.peers[member.id];
  peer = {member.id,
          member.name,
          ParseAddress(member.http_address),
          member.data_centre,
          member.region,
          member.service,
          false};
  peer.accepts_requests = AcceptsRequests(builder, peer);
}

void ApplyCatalogue(ViewBuilder& builder,
                    std::shared_ptr<const catalogue::Catalogue> catalogue) {
  builder.next.catalogue = std::move(catalogue);
  builder.is_changed = true;
  builder.peers_changed = true;
  for (auto& [id, peer] : builder.peers) {
    peer.accepts_requests = AcceptsRequests(builder, peer);
  }
}

void ApplyGates(ViewBuilder& builder, const ControlGates& gates) {
  builder.next.owned = gates.open;
  builder.is_changed = true;
}

void ApplyState(ViewBuilder& builder, bool ready, bool draining) {
  if (builder.next.ready != ready || builder.next.draining != draining) {
    builder.next.ready = ready;
    builder.next.draining = draining;
    builder.is_changed = true;
  }
}

bool PublishView(ViewBuilder& builder,
                 RoutingViewSlot& slot,
                 base::TimePoint now) {
  if (builder.peers_changed &&
      now - builder.peers_published_at >= ViewBuilder::kPeersInterval) {
    builder.next.peers =
        std::make_shared<const std::unordered_map<base::DaemonId, PeerView>>(
            builder.peers);
    builder.peers_changed = false;
    builder.peers_published_at = now;
    builder.is_changed = true;
  }
  if (!builder.is_changed) {
    return false;
  }
  slot.view.store(std::make_shared<const RoutingView>(builder.next));
  builder.is_changed = false;
  return true;
}

settings::Address ParseAddress(std::string_view text) {
  settings::Address address;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return address;
  }
  const std::string_view port = text.substr(colon + 1);
  std::from_chars(port.data(), port.data() + port.size(), address.port);
  std::string_view ip = text.substr(0, colon);
  if (ip.starts_with('[') && ip.ends_with(']')) {
    ip = ip.substr(1, ip.size() - 2);
  }
  address.ip = ip;
  return address;
}

}  // namespace eelgrassbridge::daemon
