// Events that change the ownership state of one daemon.
//
// The control thread calls these functions with the time and the event; each
// appends the resulting actions to `actions`. None blocks or reads a clock.
#ifndef EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_COMMANDS_HPP
#define EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_COMMANDS_HPP

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/ownership/ownership_actions.hpp"
#include "eelgrassbridge/ownership/ownership_options.hpp"
#include "eelgrassbridge/ownership/ownership_state.hpp"

namespace eelgrassbridge::ownership {

/// @brief State of a daemon at its start. The id must be new
/// (base::NewDaemonId), since the rules treat a restarted daemon as another
/// daemon.
OwnershipState MakeOwnershipState(base::DaemonId self,
                                  OwnershipOptions options,
                                  base::TimePoint now);

/// @brief Handles timeouts and queued work. To be called every 50 ms.
void OnTick(OwnershipState& state, base::TimePoint now, Actions& actions);

/// @brief Rows that a read of the table returned.
struct RowsReadEvent {
  /// Time just before the read was sent.
  base::TimePoint read_sent_at;
  /// The requested groups; those that are not in `rows` have no row. Empty if
  /// whole_table.
  std::span<const base::GroupId> requested;
  /// The read covered every row under "group/".
  bool whole_table = false;
  std::span<const GroupRow> rows;
};
void OnRowsRead(OwnershipState& state,
                base::TimePoint now,
                const RowsReadEvent& event,
                Actions& actions);

/// @brief A read failed; rows still expected are requested again after 200 ms.
void OnReadFailed(OwnershipState& state, base::TimePoint now);

/// @brief Rows received from another daemon, by gossip or in a join reply. They
/// update routing and may end serving, but never extend a lease or allow a
/// promise. A deleted row is sent with a version and without an owner.
void OnPeerRows(OwnershipState& state,
                base::TimePoint now,
                std::span<const GroupRow> rows,
                Actions& actions);

/// @brief Result of a transaction. Its versions are in the order of the
/// writes.
void OnTransactionResult(OwnershipState& state,
                         base::TimePoint now,
                         std::string_view operation_id,
                         const store::TransactionResult& result,
                         Actions& actions);

void OnPromiseRequest(OwnershipState& state,
                      base::TimePoint now,
                      base::DaemonId from,
                      base::TimePoint sent_at,
                      std::span<const GroupEpoch> groups,
                      Actions& actions);
void OnPromiseReply(OwnershipState& state,
                    base::TimePoint now,
                    base::DaemonId from,
                    base::TimePoint echoed_sent_at,
                    std::span<const GroupEpoch> granted,
                    Actions& actions);

/// @brief A third-party taker asks this daemon, the deputy, to stop promising.
void OnStopPromising(OwnershipState& state,
                     base::TimePoint now,
                     base::DaemonId from,
                     const GroupEpoch& group,
                     std::uint64_t row_version,
                     Actions& actions);
void OnStoppedPromising(OwnershipState& state,
                        base::TimePoint now,
                        base::DaemonId from,
                        const GroupEpoch& group,
                        std::uint64_t row_version);

/// @brief A previous owner reports that it moved the group to this daemon.
void OnReleaseDone(OwnershipState& state,
                   base::TimePoint now,
                   const GroupEpoch& group,
                   Actions& actions);

/// @brief No request of these groups is in flight any more after BeginDrain.
/// Their rows are released together, several in one transaction.
void OnReleaseDrained(OwnershipState& state,
                      base::TimePoint now,
                      std::span<const GroupEpoch> groups,
                      Actions& actions);

/// @brief A member record is new or has changed, including this daemon's own.
void OnMember(OwnershipState& state,
              base::TimePoint now,
              const PlacementMember& member);

/// @brief A member was found lost or has left.
void OnMemberLost(OwnershipState& state,
                  base::TimePoint now,
                  base::DaemonId member);

/// @brief A catalogue; ignored unless its version is newer than the known one.
void OnCatalogue(OwnershipState& state,
                 base::TimePoint now,
                 std::shared_ptr<const catalogue::Catalogue> catalogue);

/// @brief Load of the groups of this daemon over the last second, and of the
/// busiest keys in them; input of the carve-out and the merge.
void OnDemand(OwnershipState& state,
              base::TimePoint now,
              std::span<const GroupDemand> demands);

/// @brief Total load of another daemon's groups, from gossip; used to find the
/// least loaded daemon.
void OnPeerLoad(OwnershipState& state,
                base::DaemonId owner,
                double requests_per_second);

/// @brief Begins or cancels a planned stop, which moves every group away.
void SetDraining(OwnershipState& state, base::TimePoint now, bool draining);

/// @brief Whether the local target can serve. While it cannot (it hangs or has
/// ended), the groups are moved away and no new ones are accepted.
void SetTargetUsable(OwnershipState& state, base::TimePoint now, bool usable);

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_COMMANDS_HPP
