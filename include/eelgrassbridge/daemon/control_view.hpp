// Builds and publishes routing views on the control thread.
//
// Views are copy-on-write: a change copies only the chunk of 256 rows that it
// affects, or the lists of shared pointers. Changes are collected and published
// at most once per round of the control thread.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_VIEW_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_VIEW_HPP

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "eelgrassbridge/daemon/control_gates.hpp"
#include "eelgrassbridge/daemon/routing_view.hpp"
#include "eelgrassbridge/membership/member.hpp"
#include "eelgrassbridge/ownership/group_row.hpp"

namespace eelgrassbridge::daemon {

/// @brief The next routing view under construction.
///
/// Invariants: `next` shares its chunks and maps with the published view, so
/// they are replaced and never modified. A key in the carved_out list of a
/// parent row is in hot_keys even without a row of its own, so that it is never
/// served through the parent.
struct ViewBuilder {
  /// Minimum time between two publications of `peers`. Copying 15,000 members
  /// takes some milliseconds, so the changes after the loss of many members are
  /// published together.
  static constexpr base::Duration kPeersInterval = base::milliseconds{250};

  RoutingView next;
  std::unordered_map<base::DaemonId, PeerView> peers;
  /// Carved-out keys by parent group; only lists that are not empty.
  std::unordered_map<base::GroupId, std::vector<std::uint64_t>> carved_out;
  /// Members in state kServing. Whether they get work also depends on the
  /// catalogue.
  std::unordered_set<base::DaemonId> serving;
  bool is_changed = false;
  bool peers_changed = false;
  base::TimePoint peers_published_at{};
};

/// @brief Applies a changed row. A row without an owner or of version 0 is a
/// deletion.
void ApplyRow(ViewBuilder& builder, const ownership::GroupRow& row);

/// @brief Applies a changed member record.
void ApplyMember(ViewBuilder& builder, const membership::Member& member);

/// @brief Applies a newer catalogue, and updates which members may get work.
void ApplyCatalogue(ViewBuilder& builder,
                    std::shared_ptr<const catalogue::Catalogue> catalogue);

/// @brief Applies the set of open gates after it changed.
void ApplyGates(ViewBuilder& builder, const ControlGates& gates);

void ApplyState(ViewBuilder& builder, bool ready, bool draining);

/// @brief Publishes the view if it changed. Returns whether it was published.
bool PublishView(ViewBuilder& builder,
                 RoutingViewSlot& slot,
                 base::TimePoint now);

/// @brief Parses "ip:port" or "[ipv6]:port". The port is 0 if the text is not
/// an address.
settings::Address ParseAddress(std::string_view text);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_VIEW_HPP
