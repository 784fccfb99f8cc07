// Making of routing views by the control thread.
//
// A change copies what it touches: one chunk of 256 rows, or the lists of
// shared pointers. Changes are collected and published together, at most once
// for each round of the control thread.
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

/// @brief The view being made.
///
/// Invariants: `next` shares its chunks and maps with the published view, so
/// they are replaced and never changed; a key in the carved_out list of a
/// parent row is in hot_keys even without a row of its own, so that it is
/// never served through the parent.
struct ViewBuilder {
  /// Copying 15,000 members takes some milliseconds; after a mass loss the
  /// changes of this time are published together.
  static constexpr base::Duration kPeersInterval = base::milliseconds{250};

  RoutingView next;
  std::unordered_map<base::DaemonId, PeerView> peers;
  /// Lists of carved-out keys that are not empty, by parent.
  std::unordered_map<base::GroupId, std::vector<std::uint64_t>> carved_out;
  /// Members that may get work as far as their own state goes.
  std::unordered_set<base::DaemonId> serving;
  bool is_changed = false;
  bool peers_changed = false;
  base::TimePoint peers_published_at{};
};

/// @brief Takes a changed row into the view; one without an owner or of version
/// 0 is a deletion.
void ApplyRow(ViewBuilder& builder, const ownership::GroupRow& row);

/// @brief Takes a changed member into the view.
void ApplyMember(ViewBuilder& builder, const membership::Member& member);

/// @brief Takes a newer catalogue; who may get work depends on it.
void ApplyCatalogue(ViewBuilder& builder,
                    std::shared_ptr<const catalogue::Catalogue> catalogue);

/// @brief The gates were opened or closed.
void ApplyGates(ViewBuilder& builder, const ControlGates& gates);

void ApplyState(ViewBuilder& builder, bool ready, bool draining);

/// @brief Publishes if something changed. Returns whether it did.
bool PublishView(ViewBuilder& builder,
                 RoutingViewSlot& slot,
                 base::TimePoint now);

/// @brief Address of "ip:port"; port 0 if the text is none.
settings::Address ParseAddress(std::string_view text);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_VIEW_HPP
