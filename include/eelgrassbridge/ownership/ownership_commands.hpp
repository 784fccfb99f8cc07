// Events that change the ownership state of one daemon.
//
// The control thread calls these with the time and what happened; each appends
// what is to be done to `actions`. No call blocks or reads a clock.
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

/// @brief State of a daemon at its start. The id must be fresh
/// (base::NewDaemonId), since the rules rely on a restart being a new daemon.
OwnershipState MakeOwnershipState(base::DaemonId self,
                                  OwnershipOptions options,
                                  base::TimePoint now);

/// @brief To be called every 50 ms.
void OnTick(OwnershipState& state, base::TimePoint now, Actions& actions);

/// @brief Rows as the table itself returned them.
struct RowsReadEvent {
  /// Time right before the read was sent.
  base::TimePoint read_sent_at;
  /// The groups that were asked for; those without a row are absent. Empty with
  /// whole_table.
  std::span<const base::GroupId> asked;
  /// The read covered every row under "group/".
  bool whole_table = false;
  std::span<const GroupRow> rows;
};
void OnRowsRead(OwnershipState& state,
                base::TimePoint now,
                const RowsReadEvent& event,
                Actions& actions);

/// @brief A read failed: it may be asked for again at once.
void OnReadFailed(OwnershipState& state, base::TimePoint now);

/// @brief Rows heard from another daemon, by gossip or with a join. They inform
/// routing and may end serving; they never extend a lease or allow a promise.
/// A deletion is told as a row with owner none and a version.
void OnRowsHeard(OwnershipState& state,
                 base::TimePoint now,
                 std::span<const GroupRow> rows,
                 Actions& actions);

/// @brief End of a transaction. Versions in the result are in the order of the
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

/// @brief A previous owner says that it moved the group here.
void OnReleaseDone(OwnershipState& state,
                   base::TimePoint now,
                   const GroupEpoch& group,
                   Actions& actions);

/// @brief No request of these groups is in flight any more after BeginDrain.
/// Their rows are released in common transactions.
void OnReleaseDrained(OwnershipState& state,
                      base::TimePoint now,
                      std::span<const GroupEpoch> groups,
                      Actions& actions);

/// @brief A member record is new or changed, this daemon's own included.
void OnMember(OwnershipState& state,
              base::TimePoint now,
              const PlacementMember& member);

/// @brief A member was found lost or left.
void OnMemberLost(OwnershipState& state,
                  base::TimePoint now,
                  base::DaemonId member);

/// @brief A catalogue of a newer version; older ones change nothing.
void OnCatalogue(OwnershipState& state,
                 base::TimePoint now,
                 std::shared_ptr<const catalogue::Catalogue> catalogue);

/// @brief Load of the groups of this daemon over the last second, and of the
/// busiest keys in them; input of the carve-out and the merge.
void OnDemand(OwnershipState& state,
              base::TimePoint now,
              std::span<const GroupDemand> demands);

/// @brief Load of all groups of another daemon, from gossip; tells the least
/// loaded daemon.
void OnLoadHeard(OwnershipState& state,
                 base::DaemonId owner,
                 double requests_per_second);

/// @brief Stop or resume serving: a planned stop moves every group away.
void SetDraining(OwnershipState& state, base::TimePoint now, bool draining);

/// @brief The local target cannot serve (frozen or gone): move the groups away
/// and take no new ones.
void SetTargetUsable(OwnershipState& state, base::TimePoint now, bool usable);

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_COMMANDS_HPP
