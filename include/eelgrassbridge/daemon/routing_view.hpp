// What request workers know of the fleet: an immutable view that the control
// thread publishes.
//
// Group rows are kept in chunks that are shared between successive views, so
// one changed row copies one chunk and not the whole map: at 60,000 groups a
// copy of the whole map for each change would cost more than the control
// budget.
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

/// @brief A member of the fleet as routing needs it.
struct PeerView {
  base::DaemonId id;
  std::string name;
  settings::Address http;
  std::string data_centre;
  std::string region;
  std::string service;
  /// Serving and not taken out: may be given new work.
  bool accepts_requests = false;
};

/// @brief Who owns a group, as last heard. May be stale; the owner decides.
struct GroupOwner {
  base::DaemonId owner;
  std::uint64_t epoch = 0;
};

/// @brief Ordinary groups of one service and residency: chunks by index, and
/// hot keys with rows of their own.
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

/// @brief Holder of the current view: one writer, many readers.
struct RoutingViewSlot {
  std::atomic<std::shared_ptr<const RoutingView>> view;
};

/// @brief Owner of a group as known here; owner is none if unknown.
GroupOwner FindOwner(const RoutingView& view, const base::GroupId& group);

/// @brief The group that a key belongs to: its hot-key group if it has a row
/// of its own, otherwise the ordinary group.
base::GroupId GroupForKey(const RoutingView& view,
                          const catalogue::Service& service,
                          std::string_view residency,
                          std::string_view key);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ROUTING_VIEW_HPP
