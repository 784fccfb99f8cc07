// Counts deaths per fingerprint, admits single runs of suspects, and merges the
// suspects of other daemons.
#include "eelgrassbridge/routing/poison_quarantine.hpp"

#include <algorithm>
#include <string>

namespace eelgrassbridge::routing {

namespace {

using base::TimePoint;
using detail::SuspectState;

std::size_t UnclearedDeaths(const SuspectState& state) {
  return static_cast<std::size_t>(
      std::count_if(state.deaths.begin(), state.deaths.end(),
                    [](const TargetDeath& death) { return !death.cleared; }));
}

PoisonVerdict VerdictOf(const SuspectState& state) {
  switch (UnclearedDeaths(state)) {
    case 0:
      return PoisonVerdict::kNormal;
    case 1:
      return PoisonVerdict::kSingleRun;
    default:
      return PoisonVerdict::kQuarantined;
  }
}

bool IsHeld(const PoisonQuarantine& quarantine,
            const SuspectState& state,
            TimePoint now) {
  return now - state.last_death < quarantine.options.hold;
}

/// Evicts the record with the fewest uncleared deaths (two or more count the
/// same), then the oldest one. Records with a run in progress are evicted last.
void EvictOne(PoisonQuarantine& quarantine) {
  const auto rank = [](const SuspectState& state) {
    return std::make_tuple(state.running,
                           std::min<std::size_t>(UnclearedDeaths(state), 2),
                           state.last_death);
  };
  const auto victim =
      std::min_element(quarantine.suspects.begin(), quarantine.suspects.end(),
                       [&](const auto& a, const auto& b) {
                         return rank(a.second) < rank(b.second);
                       });
  if (victim != quarantine.suspects.end()) {
    quarantine.suspects.erase(victim);
  }
}

SuspectState& FindOrAddSuspect(PoisonQuarantine& quarantine,
                               const Fingerprint& fingerprint,
                               TimePoint now) {
  const auto found = quarantine.suspects.find(fingerprint);
  if (found != quarantine.suspects.end()) {
    if (!IsHeld(quarantine, found->second, now)) {
      found->second.deaths.clear();
    }
    return found->second;
  }
  if (quarantine.suspects.size() >= quarantine.options.capacity) {
    DropExpired(quarantine, now);
  }
  if (quarantine.suspects.size() >= quarantine.options.capacity) {
    EvictOne(quarantine);
  }
  return quarantine.suspects[fingerprint];
}

/// Adds or clears a death. Returns whether the state changed. When the list is
/// full, a cleared death makes room; uncleared ones are never replaced.
bool AddDeath(const PoisonOptions& options,
              SuspectState& state,
              const TargetDeath& death) {
  const auto found = std::find_if(state.deaths.begin(), state.deaths.end(),
                                  [&](const TargetDeath& known) {
                                    return known.target_run == death.target_run;
                                  });
  if (found != state.deaths.end()) {
    const bool state_changed = death.cleared && !found->cleared;
    found->cleared = found->cleared || death.cleared;
    return state_changed;
  }
  if (state.deaths.size() >= options.max_deaths) {
    const auto cleared =
        std::find_if(state.deaths.begin(), state.deaths.end(),
                     [](const TargetDeath& known) { return known.cleared; });
    if (cleared == state.deaths.end()) {
      return false;
    }
    state.deaths.erase(cleared);
  }
  state.deaths.push_back(death);
  return true;
}

void Append(std::string& text, std::string_view part) {
  const std::uint64_t size = part.size();
  text.append(reinterpret_cast<const char*>(&size), sizeof(size));
  text.append(part);
}

}  // namespace

Fingerprint RequestFingerprint(std::string_view service,
                               std::string_view kind,
                               std::string_view path,
                               std::string_view key,
                               std::string_view body) {
  // The body is hashed separately to avoid copying a large one.
  const base::Hash128Value body_hash = base::Hash128(body);
  std::string text;
  text.reserve(service.size() + kind.size() + path.size() + key.size() + 64);
  for (const std::string_view part : {service, kind, path, key}) {
    Append(text, part);
  }
  Append(text, {reinterpret_cast<const char*>(&body_hash), sizeof(body_hash)});
  return base::Hash128(text);
}

std::uint64_t TargetRunIdentity(base::DaemonId daemon,
                                std::string_view instance_id) {
  return base::Hash64(instance_id, daemon.value);
}

PoisonVerdict VerdictOf(const PoisonQuarantine& quarantine,
                        const Fingerprint& fingerprint,
                        TimePoint now) {
  const auto found = quarantine.suspects.find(fingerprint);
  if (found == quarantine.suspects.end() ||
      !IsHeld(quarantine, found->second, now)) {
    return PoisonVerdict::kNormal;
  }
  return VerdictOf(found->second);
}

std::optional<base::DaemonId> DaemonForSuspect(
    const Fingerprint& fingerprint,
    std::span<const base::DaemonId> candidates) {
  const std::string_view item{reinterpret_cast<const char*>(&fingerprint),
                              sizeof(fingerprint)};
  const auto best = std::max_element(
      candidates.begin(), candidates.end(),
      [&](base::DaemonId a, base::DaemonId b) {
        return std::make_pair(base::RendezvousScore(item, a), a) <
               std::make_pair(base::RendezvousScore(item, b), b);
      });
  if (best == candidates.end()) {
    return std::nullopt;
  }
  return *best;
}

bool TryStartSingleRun(PoisonQuarantine& quarantine,
                       const Fingerprint& fingerprint,
                       TimePoint now) {
  const auto found = quarantine.suspects.find(fingerprint);
  if (found == quarantine.suspects.end()) {
    return true;
  }
  SuspectState& state = found->second;
  if (state.running ||
      VerdictOf(quarantine, fingerprint, now) == PoisonVerdict::kQuarantined) {
    return false;
  }
  state.running = true;
  state.deaths_at_start = state.deaths.size();
  return true;
}

void EndSingleRun(PoisonQuarantine& quarantine,
                  const Fingerprint& fingerprint,
                  bool answered) {
  const auto found = quarantine.suspects.find(fingerprint);
  if (found == quarantine.suspects.end() || !found->second.running) {
    return;
  }
  SuspectState& state = found->second;
  state.running = false;
  if (!answered) {
    return;
  }
  const std::size_t known =
      std::min(state.deaths_at_start, state.deaths.size());
  for (std::size_t i = 0; i < known; ++i) {
    state.gossip_pending = state.gossip_pending || !state.deaths[i].cleared;
    state.deaths[i].cleared = true;
  }
}

void RecordTargetDeath(PoisonQuarantine& quarantine,
                       const Fingerprint& fingerprint,
                       std::uint64_t target_run,
                       TimePoint now) {
  SuspectState& state = FindOrAddSuspect(quarantine, fingerprint, now);
  if (AddDeath(quarantine.options, state, {target_run, false})) {
    state.last_death = now;
    state.gossip_pending = true;
  }
}

bool MergeSuspect(PoisonQuarantine& quarantine,
                  const SuspectRecord& record,
                  TimePoint now) {
  if (record.age >= quarantine.options.hold || record.deaths.empty()) {
    return false;
  }
  const base::Duration age = std::max(record.age, base::Duration{0});
  SuspectState& state = FindOrAddSuspect(quarantine, record.fingerprint, now);
  bool state_changed = false;
  for (const TargetDeath& death : record.deaths) {
    state_changed = AddDeath(quarantine.options, state, death) || state_changed;
  }
  state.last_death = std::max(state.last_death, now - age);
  state.gossip_pending = state.gossip_pending || state_changed;
  return state_changed;
}

std::vector<SuspectRecord> TakeChangedSuspects(PoisonQuarantine& quarantine,
                                               std::size_t max_count,
                                               TimePoint now) {
  std::vector<SuspectRecord> changed;
  for (auto& [fingerprint, state] : quarantine.suspects) {
    if (changed.size() >= max_count) {
      break;
    }
    if (state.gossip_pending) {
      state.gossip_pending = false;
      changed.push_back({fingerprint, state.deaths, now - state.last_death});
    }
  }
  return changed;
}

void DropExpired(PoisonQuarantine& quarantine, TimePoint now) {
  std::erase_if(quarantine.suspects, [&](const auto& item) {
    return !item.second.running && !IsHeld(quarantine, item.second, now);
  });
}

}  // namespace eelgrassbridge::routing
