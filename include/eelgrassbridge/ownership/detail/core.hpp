// Steps of the ownership core that several of its sources share. Not public.
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

/// @brief Takes in a row. `evidence` is a time before which the table cannot
/// have held anything newer, i.e. the send time of the read or write that
/// returned the row; none if another daemon told it.
void AbsorbRow(OwnershipState& state,
               base::TimePoint now,
               const GroupRow& row,
               std::optional<base::TimePoint> evidence,
               Actions& actions);

/// @brief Takes in that a read sent at `evidence` found no row.
void AbsorbAbsence(OwnershipState& state,
                   base::TimePoint now,
                   const base::GroupId& group,
                   base::TimePoint evidence,
                   Actions& actions);

/// @brief Forgets a row that was deleted.
void RemoveRow(OwnershipState& state,
               base::TimePoint now,
               const base::GroupId& group,
               Actions& actions);

/// @brief The group that a hot key was carved out of.
base::GroupId ParentOf(const base::GroupId& group);

/// @brief Longest run of a request of the group's service.
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

/// @brief Takes a token for a write that can wait; false: try later.
bool TakeToken(OwnershipState& state, base::TimePoint now);

/// @brief A version above the expected one ends the unknown state of a write.
void ResolveByVersion(OwnershipState& state, const GroupRow& row);

// --- owner (owner_rules.cpp, release_rules.cpp)

std::optional<base::TimePoint> LeaseEnd(const OwnershipState& state,
                                        const OwnedGroup& owned);
void UpdateGate(OwnershipState& state,
                base::TimePoint now,
                OwnedGroup& owned,
                Actions& actions);
/// @brief Ends the gate. Its requests in flight are out of sight of a later
/// drain, so the group does not move until they must have ended.
void CloseGateOf(const OwnershipState& state,
                 base::TimePoint now,
                 OwnedGroup& owned,
                 Actions& actions);
void TickOwned(OwnershipState& state, base::TimePoint now, Actions& actions);
void BeginRelease(OwnedGroup& owned, base::DaemonId receiver, Actions& actions);
/// @brief Writes the release of a drained group, or writes it again.
void SubmitRelease(OwnershipState& state,
                   base::TimePoint now,
                   OwnedGroup& owned,
                   Actions& actions);
void TickReleases(OwnershipState& state, base::TimePoint now, Actions& actions);
/// @brief After a conflict of a common release: nothing of it took effect, so
/// the rows that were as expected are released one by one.
void RepeatReleasesWithoutConflict(OwnershipState& state,
                                   base::TimePoint now,
                                   const Operation& operation,
                                   std::span<const store::Row> conflicts,
                                   Actions& actions);
/// @brief Takes up serving again after a release or merge came to nothing.
void CancelRelease(const OwnershipState& state,
                   base::TimePoint now,
                   OwnedGroup& owned,
                   Actions& actions);
/// @brief Whether this daemon may be given groups now.
bool IsSelfEligible(const OwnershipState& state, const base::GroupId& group);

// --- deputy (deputy_rules.cpp)

void TickDeputy(OwnershipState& state, base::TimePoint now);

// --- take-over (take_over.cpp)

/// @brief Queues a take-over if the owner is gone and it is this daemon's turn.
void ConsiderTakeOver(OwnershipState& state,
                      base::TimePoint now,
                      const base::GroupId& group);
void TickTakeOvers(OwnershipState& state,
                   base::TimePoint now,
                   Actions& actions);
/// @brief An intent that was not sent changes nothing: promising may go on.
void OnIntentNotSent(OwnershipState& state, const Operation& operation);
/// @brief Follows a row seen in the table while a take-over is under way.
void FollowTakeOver(OwnershipState& state,
                    base::TimePoint now,
                    const GroupRow& row);

// --- placement (placement_rules.cpp, hot_keys.cpp)

void TickPlacement(OwnershipState& state,
                   base::TimePoint now,
                   Actions& actions);
/// @brief Looks at all lost owners soon, after a change of members.
void HastenSweep(OwnershipState& state, base::TimePoint now);
void TickHotKeys(OwnershipState& state, base::TimePoint now, Actions& actions);
/// @brief Deletes a drained hot key's row and takes it off the parent's list.
void SubmitMerge(OwnershipState& state,
                 base::TimePoint now,
                 OwnedGroup& owned,
                 Actions& actions);
std::uint32_t GroupCountOf(const OwnershipState& state, base::DaemonId owner);

/// Whether an operator stated that the deputy's data centre or target is
/// stopped for good.
bool IsConfirmedStopped(const OwnershipState& state, base::DaemonId deputy);
/// Whether another daemon is alive under the name and at the address of a lost
/// deputy. Only one process at a time listens there, so the requests of the old
/// owner reach the successor, which does not answer for its predecessor: the
/// deputy promises no more. Without this, a restart of a whole site would wait
/// for the deputy's bound of 900 s.
bool IsReplacedAtAddress(const OwnershipState& state, base::DaemonId deputy);

}  // namespace eelgrassbridge::ownership::detail

#endif  // EELGRASSBRIDGE_OWNERSHIP_DETAIL_CORE_HPP
