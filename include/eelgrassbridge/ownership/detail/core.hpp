// Internal functions shared by the sources of the ownership core.
#ifndef EELGRASSBRIDGE_OWNERSHIP_DETAIL_CORE_HPP
#define EELGRASSBRIDGE_OWNERSHIP_DETAIL_CORE_HPP

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "eelgrassbridge/ownership/ownership_actions.hpp"
#include "eelgrassbridge/ownership/ownership_state.hpp"

namespace eelgrassbridge::ownership::detail {

// --- rows (row_intake.cpp)

/// @brief Updates the state with a row. `request_sent_at` is the send time of
/// the read or write that returned the row; before that time the table held no
/// newer version. None if the row came from another daemon.
void ProcessRow(OwnershipState& state,
                base::TimePoint now,
                const GroupRow& row,
                std::optional<base::TimePoint> request_sent_at,
                Actions& actions);

/// @brief Updates the state after a read or write, sent at `request_sent_at`,
/// that found no row.
void ProcessAbsence(OwnershipState& state,
                    base::TimePoint now,
                    const base::GroupId& group,
                    base::TimePoint request_sent_at,
                    Actions& actions);

/// @brief Removes a deleted row from the state.
void RemoveRow(OwnershipState& state,
               base::TimePoint now,
               const base::GroupId& group,
               Actions& actions);

/// @brief The group that a hot key was carved out of.
base::GroupId ParentOf(const base::GroupId& group);

/// @brief Longest time that a request of the group's service may run.
base::Duration RunLimit(const OwnershipState& state,
                        const base::GroupId& group);

// --- writes (writes.cpp)

/// @brief Submits a transaction that writes rows over the versions they carry.
void Submit(OwnershipState& state,
            base::TimePoint now,
            WriteKind kind,
            std::vector<RowWrite> writes,
            Actions& actions);

bool HasOpenWrite(const OwnershipState& state, const base::GroupId& group);

/// @brief Takes a token for a deferrable write. Returns false if the bucket is
/// empty; the write is then tried again at a later tick.
bool TakeToken(OwnershipState& state, base::TimePoint now);

/// @brief Ends an open write of unknown result if the row's version is above
/// the one that the write expected.
void ResolveByVersion(OwnershipState& state, const GroupRow& row);

// --- owner (owner_rules.cpp, release_rules.cpp)

std::optional<base::TimePoint> LeaseEnd(const OwnershipState& state,
                                        const OwnedGroup& owned);
void UpdateGate(OwnershipState& state,
                base::TimePoint now,
                OwnedGroup& owned,
                Actions& actions);
/// @brief Closes the gate. A later drain does not wait for the requests that
/// are in flight now, so the group is not moved until their run limit is over.
void CloseGateOf(const OwnershipState& state,
                 base::TimePoint now,
                 OwnedGroup& owned,
                 Actions& actions);
void TickOwned(OwnershipState& state, base::TimePoint now, Actions& actions);
void BeginRelease(OwnedGroup& owned, base::DaemonId receiver, Actions& actions);
/// @brief Submits the release of a drained group, or submits it again.
void SubmitRelease(OwnershipState& state,
                   base::TimePoint now,
                   OwnedGroup& owned,
                   Actions& actions);
void TickReleases(OwnershipState& state, base::TimePoint now, Actions& actions);
/// @brief Submits again, one by one, the releases of a transaction that failed
/// only because of conflicts on other rows. Nothing of it took effect.
void RepeatReleasesWithoutConflict(OwnershipState& state,
                                   base::TimePoint now,
                                   const Operation& operation,
                                   std::span<const store::Row> conflicts,
                                   Actions& actions);
/// @brief Cancels a release or merge, so that the group can be served again.
void CancelRelease(const OwnershipState& state,
                   base::TimePoint now,
                   OwnedGroup& owned,
                   Actions& actions);
/// @brief Whether this daemon may own the group now.
bool IsSelfEligible(const OwnershipState& state, const base::GroupId& group);

// --- deputy (deputy_rules.cpp)

void TickDeputy(OwnershipState& state, base::TimePoint now);

// --- take-over (take_over.cpp)

/// @brief If the group's owner is lost and nobody else is taking over: queues a
/// take-over by this daemon as deputy, or records that a third party is needed.
void ConsiderTakeOver(OwnershipState& state,
                      base::TimePoint now,
                      const base::GroupId& group);
void TickTakeOvers(OwnershipState& state,
                   base::TimePoint now,
                   Actions& actions);
/// @brief Puts a take-over whose intent was not sent back into the queue. The
/// row is unchanged, so this daemon may go on promising.
void OnIntentNotSent(OwnershipState& state, const Operation& operation);
/// @brief Advances or ends a take-over after a read or write of its row.
void UpdateTakeOver(OwnershipState& state,
                    base::TimePoint now,
                    const GroupRow& row);

// --- placement (placement_rules.cpp, hot_keys.cpp)

void TickPlacement(OwnershipState& state,
                   base::TimePoint now,
                   Actions& actions);
/// @brief Schedules an early check of all lost owners after a member change.
void ScheduleEarlySweep(OwnershipState& state, base::TimePoint now);
void TickHotKeys(OwnershipState& state, base::TimePoint now, Actions& actions);
/// @brief Submits the merge of a drained hot key: deletes its row and removes
/// the key from the parent's list.
void SubmitMerge(OwnershipState& state,
                 base::TimePoint now,
                 OwnedGroup& owned,
                 Actions& actions);
std::uint32_t GroupCountOf(const OwnershipState& state, base::DaemonId owner);

/// @brief Whether an operator confirmed that the deputy's data centre or target
/// is stopped and will not come back.
bool IsConfirmedStopped(const OwnershipState& state, base::DaemonId deputy);
/// @brief Whether another daemon that is not lost has the name and the address
/// of a lost deputy. Only one process at a time can listen on the address, so
/// the old owner's requests reach the new daemon, which does not answer for the
/// lost one: the lost deputy has stopped promising. Without this check, a
/// restart of a whole site would wait for the deputy's read bound of 900 s.
bool IsReplacedAtAddress(const OwnershipState& state, base::DaemonId deputy);

}  // namespace eelgrassbridge::ownership::detail

#endif  // EELGRASSBRIDGE_OWNERSHIP_DETAIL_CORE_HPP
