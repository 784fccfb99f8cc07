// An immutable snapshot of the fleet for request workers, published by the
// control thread.
//
// Group rows are stored in chunks that successive views share, so a changed row
// copies one chunk instead of the whole map: at 60,000 groups, a copy of the
// whole map for each change would exceed the CPU budget of the control thread.
#ifndef EELGRASSBRIDGE_DAEMON_ROUTING_VIEW_HPP
#define EELGRASSBRIDGE_DAEMON_ROUTING_VIEW_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/daemon/group_gate.hpp"
#include "eelgrassbridge/daemon/residency_settling.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// @brief The attributes of a fleet member that routing needs.
struct PeerView {
  base::DaemonId id;
  std::string name;
  settings::Address http;
  std::string data_centre;
  std::string region;
  std::string service;
  /// The member is serving, and neither it nor its data centre has been taken
  /// out of service in the catalogue.
  bool accepts_requests = false;
};

/// @brief Last known owner of a group. May be stale: a daemon that is not the
/// owner refuses the request.
struct GroupOwner {
  base::DaemonId owner;
  std::uint64_t epoch = 0;
};

/// @brief Owners of the groups of one service and residency: ordinary groups in
/// chunks by index, hot keys in a map by key hash.
struct GroupMap {
  static constexpr std::uint32_t kChunkSize = 256;
  using Chunk = std::vector<GroupOwner>;
  std::vector<std::shared_ptr<const Chunk>> chunks;
  std::shared_ptr<const std::unordered_map<std::uint64_t, GroupOwner>> hot_keys;
};

struct RoutingView {
  base::DaemonId self;
  bool ready = false;
  bool draining = false;
  std::shared_ptr<const catalogue::Catalogue> catalogue;
  std::vector<ReplacedCatalogue> replaced_catalogues;
  /// Key: "service/residency".
  std::map<std::string, GroupMap, std::less<>> groups;
  std::shared_ptr<const std::unordered_map<base::DaemonId, PeerView>> peers;
  /// Gates of the groups that this daemon owns.
  std::unordered_map<base::GroupId, std::shared_ptr<GroupGate>> owned;
};

/// @brief The current view; one writer, many readers.
struct RoutingViewSlot {
  std::atomic<std::shared_ptr<const RoutingView>> view;
};

/// @brief Returns the last known owner of a group, or a default GroupOwner if
/// it is unknown.
GroupOwner FindOwner(const RoutingView& view, const base::GroupId& group);

/// @brief Returns the group that a key belongs to: its hot-key group if it has
/// one, otherwise the ordinary group.
base::GroupId GroupForKey(const RoutingView& view,
                          const catalogue::Service& service,
                          std::string_view residency,
                          std::string_view key);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ROUTING_VIEW_HPP
