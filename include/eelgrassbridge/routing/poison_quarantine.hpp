// Quarantine of requests that kill targets.
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

/// @brief XXH3-128 of service, kind, path, key and body, with the length of
/// each part, so that moving a character between parts changes it.
Fingerprint RequestFingerprint(std::string_view service,
                               std::string_view kind,
                               std::string_view path,
                               std::string_view key,
                               std::string_view body);

struct PoisonOptions {
  /// How long a fingerprint stays suspected or quarantined after its last
  /// death.
  base::Duration hold{base::seconds{600}};
  /// Fingerprints with state; when full, the oldest suspect is dropped first,
  /// and a quarantined one only if there are no suspects.
  std::size_t capacity = 4096;
  /// Deaths kept of one fingerprint; two uncleared ones quarantine it.
  std::size_t most_deaths = 8;
};

enum class PoisonVerdict : std::uint8_t {
  kNormal,
  /// One death: runs only on one target at a time in the whole fleet.
  kRunAlone,
  /// Two deaths: refused as quarantined.
  kQuarantined,
};

/// @brief The death of one run of a target.
struct TargetDeath {
  /// TargetRunIdentity, so that a death heard twice counts once.
  std::uint64_t target_run = 0;
  /// A later run on its own was answered, so the cause was another request.
  bool cleared = false;

  bool operator==(const TargetDeath&) const = default;
};

/// @brief A suspect as gossip carries it (SuspectRequest).
struct SuspectRecord {
  Fingerprint fingerprint;
  std::vector<TargetDeath> deaths;
  /// Time since the last death; clocks of VMs are not comparable.
  base::Duration age{};

  bool operator==(const SuspectRecord&) const = default;
};

namespace detail {
struct SuspectState {
  std::vector<TargetDeath> deaths;
  base::TimePoint last_death{};
  /// Runs on its own now; the deaths known at its start may be cleared by it.
  bool running = false;
  std::size_t deaths_at_start = 0;
  bool to_spread = false;
};
}  // namespace detail

/// @brief Suspects of one daemon.
///
/// Invariants: deaths are only added or cleared, never removed before the hold
/// ends, so merging in any order gives the same result; a quarantined
/// fingerprint is never started, so it is never cleared.
struct PoisonQuarantine {
  PoisonOptions options;
  std::map<Fingerprint, detail::SuspectState> suspects;
};

/// @brief Identity of one run of a target, for deaths.
std::uint64_t TargetRunIdentity(base::DaemonId daemon,
                                std::string_view instance_id);

/// @brief What holds for a fingerprint now.
PoisonVerdict VerdictOf(const PoisonQuarantine& quarantine,
                        const Fingerprint& fingerprint,
                        base::TimePoint now);

/// @brief The daemon that admits a suspect: highest rendezvous score among the
/// candidates that may get work; none if there is none.
std::optional<base::DaemonId> DaemonForSuspect(
    const Fingerprint& fingerprint,
    std::span<const base::DaemonId> candidates);

/// @brief Starts the only run of a suspect here. False: one is running.
bool TryStartAlone(PoisonQuarantine& quarantine,
                   const Fingerprint& fingerprint,
                   base::TimePoint now);
/// @brief Ends it. `answered` is a whole answer, which clears the suspect.
void EndAlone(PoisonQuarantine& quarantine,
              const Fingerprint& fingerprint,
              bool answered);

/// @brief A target died with the request in flight.
void NoteDeath(PoisonQuarantine& quarantine,
               const Fingerprint& fingerprint,
               std::uint64_t target_run,
               base::TimePoint now);

/// @brief A suspect heard from another daemon. Returns whether it was news,
/// which is then spread further.
bool MergeSuspect(PoisonQuarantine& quarantine,
                  const SuspectRecord& record,
                  base::TimePoint now);

/// @brief Records changed since the last call, at most `most`.
std::vector<SuspectRecord> TakeChangedSuspects(PoisonQuarantine& quarantine,
                                               std::size_t most,
                                               base::TimePoint now);

/// @brief Drops records whose hold has ended.
void DropExpired(PoisonQuarantine& quarantine, base::TimePoint now);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_POISON_QUARANTINE_HPP
