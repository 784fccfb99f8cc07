// Lookups in a routing view.
#include "eelgrassbridge/daemon/routing_view.hpp"

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

const GroupMap* FindMap(const RoutingView& view,
                        std::string_view service,
                        std::string_view residency) {
  std::string name(service);
  name += '/';
  name += residency;
  const auto found = view.groups.find(name);
  return found == view.groups.end() ? nullptr : &found->second;
}

}  // namespace

GroupOwner FindOwner(const RoutingView& view, const base::GroupId& group) {
  const GroupMap* map = FindMap(view, group.service, group.residency);
  if (map == nullptr) {
    return {};
  }
  if (group.hot_key) {
    if (map->hot_keys == nullptr) {
      return {};
    }
    const auto found = map->hot_keys->find(*group.hot_key);
    return found == map->hot_keys->end() ? GroupOwner{} : found->second;
  }
  const std::uint32_t chunk = group.index / GroupMap::kChunkSize;
  const std::uint32_t offset = group.index % GroupMap::kChunkSize;
  if (chunk >= map->chunks.size() || map->chunks[chunk] == nullptr ||
      offset >= map->chunks[chunk]->size()) {
    return {};
  }
  return (*map->chunks[chunk])[offset];
}

base::GroupId GroupForKey(const RoutingView& view,
                          const catalogue::Service& service,
                          std::string_view residency,
                          std::string_view key) {
  base::GroupId group = catalogue::GroupOfKey(service, residency, key);
  const GroupMap* map = FindMap(view, service.name, residency);
  if (map != nullptr && map->hot_keys != nullptr) {
    const std::uint64_t key_hash = base::Hash64(key);
    if (map->hot_keys->contains(key_hash)) {
      group.hot_key = key_hash;
    }
  }
  return group;
}

}  // namespace eelgrassbridge::daemon
