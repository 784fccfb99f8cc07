// Quarantine of poison requests, i.e. requests that crash the target that runs
// them. After one death a request runs on one target at a time; after two it is
// refused. Daemons exchange their suspects by gossip.
#ifndef EELGRASSBRIDGE_ROUTING_POISON_QUARANTINE_HPP
#define EELGRASSBRIDGE_ROUTING_POISON_QUARANTINE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::routing {

using Fingerprint = base::Hash128Value;

/// @brief Returns the XXH3-128 hash of service, kind, path, key and body. The
/// length of each part is hashed too, so that moving a character from one part
/// to the next changes the fingerprint.
Fingerprint RequestFingerprint(std::string_view service,
                               std::string_view kind,
                               std::string_view path,
                               std::string_view key,
                               std::string_view body);

struct PoisonOptions {
  /// How long a fingerprint stays suspected or quarantined after the last death
  /// that it caused.
  base::Duration hold{base::seconds{600}};
  /// Maximum number of tracked fingerprints. When full, the oldest suspect is
  /// evicted first, and a quarantined one only if there are no suspects.
  std::size_t capacity = 4096;
  /// Maximum number of deaths recorded for one fingerprint; two uncleared ones
  /// quarantine it.
  std::size_t max_deaths = 8;
};

enum class PoisonVerdict : std::uint8_t {
  kNormal,
  /// One death: runs on only one target at a time in the whole fleet.
  kSingleRun,
  /// Two deaths: refused as quarantined.
  kQuarantined,
};

/// @brief The death of one incarnation of a target.
struct TargetDeath {
  /// TargetRunIdentity, so that a death reported twice counts once.
  std::uint64_t target_run = 0;
  /// A later single run was answered, so another request was the cause.
  bool cleared = false;

  bool operator==(const TargetDeath&) const = default;
};

/// @brief A suspect as sent by gossip (SuspectRequest).
struct SuspectRecord {
  Fingerprint fingerprint;
  std::vector<TargetDeath> deaths;
  /// Time since the last death. An age is sent instead of a time stamp because
  /// the clocks of different VMs are not comparable.
  base::Duration age{};

  bool operator==(const SuspectRecord&) const = default;
};

namespace detail {
struct SuspectState {
  std::vector<TargetDeath> deaths;
  base::TimePoint last_death{};
  /// A single run is in progress here. Its answer clears the first
  /// `deaths_at_start` deaths, those that were known when it started.
  bool running = false;
  std::size_t deaths_at_start = 0;
  bool gossip_pending = false;
};
}  // namespace detail

/// @brief Suspects known to one daemon.
///
/// Invariants: deaths are only added or cleared, never removed before the hold
/// ends, so that merging in any order gives the same result; a quarantined
/// fingerprint never runs, so it is never cleared.
struct PoisonQuarantine {
  PoisonOptions options;
  std::map<Fingerprint, detail::SuspectState> suspects;
};

/// @brief Returns the identity of one incarnation of a target, used to
/// deduplicate reported deaths.
std::uint64_t TargetRunIdentity(base::DaemonId daemon,
                                std::string_view instance_id);

/// @brief Returns how a request with this fingerprint is treated at `now`.
PoisonVerdict VerdictOf(const PoisonQuarantine& quarantine,
                        const Fingerprint& fingerprint,
                        base::TimePoint now);

/// @brief Returns the daemon that admits a suspect: the candidate with the
/// highest rendezvous score, or nullopt without candidates. The candidates are
/// the daemons whose targets may take requests.
std::optional<base::DaemonId> DaemonForSuspect(
    const Fingerprint& fingerprint,
    std::span<const base::DaemonId> candidates);

/// @brief Starts the single run of a suspect at this daemon. Returns false if
/// one is already in progress or the fingerprint is quarantined.
bool TryStartSingleRun(PoisonQuarantine& quarantine,
                       const Fingerprint& fingerprint,
                       base::TimePoint now);
/// @brief Ends the single run. `answered` means that a complete answer arrived;
/// it clears the deaths that were known when the run started.
void EndSingleRun(PoisonQuarantine& quarantine,
                  const Fingerprint& fingerprint,
                  bool answered);

/// @brief Records that a target died while the request was in flight on it.
void RecordTargetDeath(PoisonQuarantine& quarantine,
                       const Fingerprint& fingerprint,
                       std::uint64_t target_run,
                       base::TimePoint now);

/// @brief Merges a suspect received from another daemon. Returns whether it
/// changed the local state; a change is then gossiped further.
bool MergeSuspect(PoisonQuarantine& quarantine,
                  const SuspectRecord& record,
                  base::TimePoint now);

/// @brief Returns records changed since the last call, at most `max_count`; the
/// rest is returned by later calls.
std::vector<SuspectRecord> TakeChangedSuspects(PoisonQuarantine& quarantine,
                                               std::size_t max_count,
                                               base::TimePoint now);

/// @brief Drops records whose hold has ended, except those with a run in
/// progress.
void DropExpired(PoisonQuarantine& quarantine, base::TimePoint now);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_POISON_QUARANTINE_HPP
