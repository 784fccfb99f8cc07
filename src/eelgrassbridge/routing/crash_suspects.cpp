// Evidence against requests that were running when targets crashed.
#include "eelgrassbridge/routing/crash_suspects.hpp"

#include <algorithm>

namespace eelgrassbridge::routing {

namespace {

base::Duration LastCrash(const Suspect& suspect) {
  return suspect.crashes.empty() ? base::Duration{}
                                 : suspect.crashes.back().crashed_at;
}

base::Duration LatestNews(const Suspect& suspect) {
  return std::max(LastCrash(suspect), suspect.answered_run_began);
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
      [](const auto& entry) { return LatestNews(entry.second); });
  suspects.suspects.erase(oldest);
}

/// Returns the entry of the request, a new one if it has none.
Suspect& SuspectOf(CrashSuspects& suspects, const Fingerprint& fingerprint) {
  if (!suspects.suspects.contains(fingerprint) &&
      suspects.suspects.size() >= suspects.options.capacity) {
    DropOldest(suspects);
  }
  return suspects.suspects[fingerprint];
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
  std::vector<TargetCrash>& crashes = SuspectOf(suspects, fingerprint).crashes;
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

void RecordRefutation(CrashSuspects& suspects,
                      const Fingerprint& fingerprint,
                      base::Duration run_began) {
  SuspectOf(suspects, fingerprint);
  RecordAnsweredRun(suspects, fingerprint, run_began);
}

void DropExpired(CrashSuspects& suspects, base::Duration now) {
  std::erase_if(suspects.suspects, [&suspects, now](const auto& entry) {
    return now - LatestNews(entry.second) >= suspects.options.memory;
  });
}

}  // namespace eelgrassbridge::routing
