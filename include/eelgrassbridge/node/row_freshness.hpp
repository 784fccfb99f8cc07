// How recent a daemon's knowledge of the operator's rows is, and when and from
// whom to get a more recent one. Decisions on plain data.
//
// A change of the operator has to be in force within a bound after the store
// has acknowledged it. Silence of the store or of a relay therefore counts as
// "no change" only up to the last read that reached the store: each statement
// of one daemon to another rests on such a read and carries its moment.
#ifndef EELGRASSBRIDGE_NODE_ROW_FRESHNESS_HPP
#define EELGRASSBRIDGE_NODE_ROW_FRESHNESS_HPP

#include <cstddef>
#include <cstdint>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::node {

/// @brief Time limits that follow from the bound within which a change has to
/// be in force.
struct FreshnessOptions {
  /// Interval at which a relay reads the store though there is no change.
  base::Duration confirm_interval{};
  /// Least time for a relay that is asked: a read of the store across regions.
  base::Duration relay_time{};
  /// Age of the latest statement at which the relay that is asked has failed,
  /// and of the applied rows at which a daemon reads the store itself. The rest
  /// of the bound is for the read.
  base::Duration store_limit{};
  /// Time over which the reads of daemons are spread that lose their relays at
  /// one moment.
  base::Duration read_spread{};
  /// Pause between reads of the store that fail.
  base::Duration retry_interval{base::milliseconds{1500}};
  /// Relays that are asked between two confirmations. Without a limit, each
  /// daemon would ask all others while the store is away.
  std::size_t relays_asked = 3;
};

/// @brief Limits for a bound on the time until a change is in force.
FreshnessOptions FreshnessOptionsFor(base::Duration bound);

/// @brief A statement about the operator's rows in the present era of the
/// store: the latest change at a moment.
struct Confirmation {
  std::uint64_t version = 0;
  /// Moment on the clock of the daemon that holds the statement. All changes
  /// that the store had acknowledged by then have at most this version.
  base::TimePoint as_of{};
};

/// @brief What a daemon knows of the operator's rows, and which attempts to
/// learn more have failed.
struct Freshness {
  Confirmation latest;
  /// Moment up to which this daemon has all changes; before `latest.as_of` if
  /// the latest change has not arrived yet.
  base::TimePoint applied_as_of{};
  /// The last read of the operator's rows by this daemon failed, so it cannot
  /// tell others that nothing has changed.
  bool read_failing = false;
  base::TimePoint read_failed_at{};
  /// Relays that failed to give a later statement than `latest`.
  std::size_t failed_relays = 0;
};

/// @brief Whether a statement is worth an answer to a daemon that knows
/// `known`: it tells of a change, or is later by at least half of the confirm
/// interval.
bool IsNews(const Confirmation& statement,
            const Confirmation& known,
            const FreshnessOptions& options);

/// @brief Takes a statement over. An earlier one changes nothing.
void Confirm(Freshness& freshness, const Confirmation& statement);

/// @brief Records that this daemon has all changes up to a version.
void RecordApplied(Freshness& freshness, std::uint64_t complete_version);

/// @brief Records a relay that has no later statement.
void RecordRelayWithoutNews(Freshness& freshness);

/// @brief Records the end of a read of the store by this daemon.
void RecordRead(Freshness& freshness, bool succeeded, base::TimePoint now);

/// @brief Moment on which the answer to a poll of the store rests: the store
/// holds a poll without changes for the whole wait; one with changes may have
/// been answered at once.
base::TimePoint AsOfPoll(base::TimePoint sent_at,
                         base::Duration wait,
                         bool has_changes,
                         base::TimePoint received_at);

/// @brief Wait of a relay's next poll of the store. Together with the time
/// since the last confirmation it makes up the confirm interval.
base::Duration NextPollWait(const Freshness& freshness,
                            base::TimePoint now,
                            const FreshnessOptions& options);

/// @brief Time at which a relay that was asked has failed if it has not
/// answered. Silence is no news, however long a relay may hold a request.
base::TimePoint RelayDeadline(const Freshness& freshness,
                              base::TimePoint asked_at,
                              const FreshnessOptions& options);

/// @brief Whether as many relays have failed as are asked; the next
/// confirmation comes from a read of the store by this daemon.
bool AreRelaysExhausted(const Freshness& freshness,
                        const FreshnessOptions& options);

/// @brief Time at which a daemon that is no relay reads the store itself unless
/// its rows are confirmed before.
/// @param spread Place of this daemon among those that read at the same moment,
/// from 0 to 1.
base::TimePoint StoreReadDue(const Freshness& freshness,
                             const FreshnessOptions& options,
                             double spread);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ROW_FRESHNESS_HPP
