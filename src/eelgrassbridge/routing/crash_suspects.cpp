// Evidence against requests that were running when targets crashed.
#include "eelgrassbridge/routing/crash_suspects.hpp"

#include <algorithm>

namespace eelgrassbridge::routing {

namespace {

base::Duration LastCrash(const Suspect& suspect) {
  return suspect.crashes.empty() ? base::Duration{}
                                 : suspect.crashes.back().crashed_at;
}

/// Crashes during runs that each began after the one before, and after the
/// latest answered run.
std::size_t CrashesInARow(const Suspect& suspect) {
  std::size_t count = 0;
  base::Duration before = suspect.answered_run_began;
  for (const TargetCrash& crash : suspect.crashes) {
    if (crash.run_began > before) {
      ++count;
      before = crash.crashed_at;
    }
  }
  return count;
}

void DropOldest(CrashSuspects& suspects) {
  const auto oldest = std::ranges::min_element(
      suspects.suspects, {},
      [](const auto& entry) { return LastCrash(entry.second); });
  suspects.suspects.erase(oldest);
}

}  // namespace

CrashVerdict VerdictOf(const CrashSuspects& suspects,
                       const Fingerprint& fingerprint,
                       base::Duration now) {
  const auto found = suspects.suspects.find(fingerprint);
  if (found == suspects.suspects.end()) {
    return CrashVerdict::kNormal;
  }
  const std::size_t count = CrashesInARow(found->second);
  const base::Duration age = now - LastCrash(found->second);
  if (count == 0 || age >= suspects.options.memory) {
    return CrashVerdict::kNormal;
  }
  return count >= suspects.options.quarantine_crashes &&
                 age < suspects.options.quarantine
             ? CrashVerdict::kQuarantined
             : CrashVerdict::kNoRetry;
}

void RecordCrash(CrashSuspects& suspects,
                 const Fingerprint& fingerprint,
                 const TargetCrash& crash) {
  if (!suspects.suspects.contains(fingerprint) &&
      suspects.suspects.size() >= suspects.options.capacity) {
    DropOldest(suspects);
  }
  std::vector<TargetCrash>& crashes = suspects.suspects[fingerprint].crashes;
  if (std::ranges::find(crashes, crash.target_run, &TargetCrash::target_run) !=
      crashes.end()) {
    return;
  }
  crashes.insert(std::ranges::upper_bound(crashes, crash.crashed_at, {},
                                          &TargetCrash::crashed_at),
                 crash);
  if (crashes.size() > suspects.options.max_crashes) {
    crashes.erase(crashes.begin());
  }
}

void RecordAnsweredRun(CrashSuspects& suspects,
                       const Fingerprint& fingerprint,
                       base::Duration run_began) {
  const auto found = suspects.suspects.find(fingerprint);
  if (found != suspects.suspects.end()) {
    base::Duration& latest = found->second.answered_run_began;
    latest = std::max(latest, run_began);
  }
}

void DropExpired(CrashSuspects& suspects, base::Duration now) {
  std::erase_if(suspects.suspects, [&suspects, now](const auto& entry) {
    return now - LastCrash(entry.second) >= suspects.options.memory;
  });
}

}  // namespace eelgrassbridge::routing
