// Requests that were running when a target crashed. One that may be the cause
// is not repeated, and after further crashes it is not run for some time, so
// that it cannot take down one target after the other.
//
// Two targets that crash at the same moment tell little: a request that many
// callers send runs on both. Only a run that began after an earlier crash adds
// to the evidence, and an answered run refutes what was known when it began.
#ifndef EELGRASSBRIDGE_ROUTING_CRASH_SUSPECTS_HPP
#define EELGRASSBRIDGE_ROUTING_CRASH_SUSPECTS_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/routing/poison_quarantine.hpp"

namespace eelgrassbridge::routing {

struct SuspectOptions {
  /// Crashes in a row that quarantine a request.
  std::size_t quarantine_crashes = 2;
  /// Time after the last crash in which a quarantined request is refused. After
  /// it, one run can show whether the request still crashes its target.
  base::Duration quarantine{base::seconds{60}};
  /// Time after the last crash in which the request is not repeated.
  base::Duration memory{base::seconds{600}};
  /// Maximum number of suspects; the one of which the latest news is oldest
  /// goes first.
  std::size_t capacity = 1024;
  /// Maximum number of crashes kept for one suspect.
  std::size_t max_crashes = 4;
};

/// @brief The end of a target's incarnation while it ran a request. Times are
/// those of the store's clock, which all daemons share.
struct TargetCrash {
  /// TargetRunIdentity of the incarnation.
  std::uint64_t target_run = 0;
  base::Duration run_began{};
  base::Duration crashed_at{};

  bool operator==(const TargetCrash&) const = default;
};

struct Suspect {
  /// In the order of `crashed_at`, each incarnation once.
  std::vector<TargetCrash> crashes;
  /// Begin of the latest run that was answered.
  base::Duration answered_run_began{};
};

/// @brief Suspects known to one daemon.
///
/// Invariant: crashes and what refutes them are merged without regard to the
/// order in which they become known.
struct CrashSuspects {
  SuspectOptions options;
  std::map<Fingerprint, Suspect> suspects;
};

enum class CrashVerdict : std::uint8_t {
  kNormal,
  /// May run, but not once more after an unknown outcome.
  kNoRetry,
  /// Is not to run now.
  kQuarantined,
};

CrashVerdict VerdictOf(const CrashSuspects& suspects,
                       const Fingerprint& fingerprint,
                       base::Duration now);

/// @brief Adds a crash during a run of the request.
void RecordCrash(CrashSuspects& suspects,
                 const Fingerprint& fingerprint,
                 const TargetCrash& crash);

/// @brief Notes that a run that began at that time was answered. Has no effect
/// on requests that are no suspects.
void RecordAnsweredRun(CrashSuspects& suspects,
                       const Fingerprint& fingerprint,
                       base::Duration run_began);

/// @brief Notes that another daemon has told of such a run. The crashes that it
/// refutes may become known later.
void RecordRefutation(CrashSuspects& suspects,
                      const Fingerprint& fingerprint,
                      base::Duration run_began);

/// @brief Drops suspects of which nothing newer than `memory` is known.
void DropExpired(CrashSuspects& suspects, base::Duration now);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_CRASH_SUSPECTS_HPP
