// Poison requests against a fleet of targets that die of them.
#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "bench/requests/events.hpp"
#include "bench/requests/figure.hpp"
#include "bench/requests/scenarios.hpp"
#include "eelgrassbridge/routing/poison_quarantine.hpp"

namespace eelgrassbridge::bench {

namespace {

using base::Duration;
using routing::PoisonVerdict;

constexpr std::uint32_t kDaemons = 8;
constexpr Duration kLength = base::seconds{120};
constexpr Duration kInnocentEvery = base::milliseconds{5};

struct PoisonWorld {
  Events events;
  std::mt19937_64 random;
  bool is_real = true;
  Duration resend_after;
  /// Time in which suspects reach the other daemons.
  Duration spread;
  std::vector<routing::PoisonQuarantine> daemons{kDaemons};
  std::vector<base::DaemonId> ids;
  std::uint64_t instances = 0;
  std::vector<std::string> innocents;
  std::uint64_t deaths = 0;
  std::uint64_t refused_innocents = 0;
  std::uint64_t offered_innocents = 0;
};

routing::Fingerprint PrintOf(std::string_view body) {
  return routing::RequestFingerprint("booking", "plan", "/", "", body);
}

/// A target dies with the poison and the innocent requests that it runs.
void Die(PoisonWorld& world,
         std::size_t runner,
         std::size_t entry,
         const routing::Fingerprint& poison) {
  ++world.deaths;
  const auto run = routing::TargetRunIdentity(
      world.ids[runner], std::to_string(++world.instances));
  std::vector<routing::Fingerprint> suspects{poison};
  for (int i = 0; i < 4; ++i) {
    suspects.push_back(
        PrintOf(world.innocents[world.random() % world.innocents.size()]));
  }
  for (const auto& suspect : suspects) {
    routing::RecordTargetDeath(world.daemons[runner], suspect, run,
                               world.events.now);
    routing::RecordTargetDeath(world.daemons[entry], suspect, run,
                               world.events.now);
  }
}

/// One request through the decisions. True: it was refused.
bool Send(PoisonWorld& world,
          std::size_t entry,
          std::string_view body,
          bool is_poison) {
  const routing::Fingerprint fingerprint = PrintOf(body);
  const base::TimePoint now = world.events.now;
  std::size_t runner = world.random() % kDaemons;
  PoisonVerdict verdict = PoisonVerdict::kNormal;
  if (world.is_real) {
    verdict =
        std::max(routing::VerdictOf(world.daemons[entry], fingerprint, now),
                 routing::VerdictOf(world.daemons[runner], fingerprint, now));
  }
  if (verdict == PoisonVerdict::kQuarantined) {
    return true;
  }
  if (verdict == PoisonVerdict::kSingleRun) {
    runner = routing::DaemonForSuspect(fingerprint, world.ids)->value - 1;
    if (!routing::TryStartSingleRun(world.daemons[runner], fingerprint, now)) {
      return true;
    }
    routing::EndSingleRun(world.daemons[runner], fingerprint, !is_poison);
  }
  if (is_poison) {
    Die(world, runner, entry, fingerprint);
  }
  return false;
}

void Gossip(PoisonWorld& world) {
  std::vector<routing::SuspectRecord> changed;
  for (auto& daemon : world.daemons) {
    const auto records =
        routing::TakeChangedSuspects(daemon, 1000, world.events.now);
    changed.insert(changed.end(), records.begin(), records.end());
  }
  for (auto& daemon : world.daemons) {
    for (const auto& record : changed) {
      routing::MergeSuspect(daemon, record, world.events.now);
    }
  }
  After(world.events, world.spread, [&world] { Gossip(world); });
}

void SendPoison(PoisonWorld& world, const std::string& body, int left) {
  Send(world, world.random() % kDaemons, body, true);
  if (left > 1) {
    After(world.events, world.resend_after,
          [&world, body, left] { SendPoison(world, body, left - 1); });
  }
}

void SendInnocent(PoisonWorld& world) {
  ++world.offered_innocents;
  const std::string& body =
      world.innocents[world.random() % world.innocents.size()];
  world.refused_innocents +=
      Send(world, world.random() % kDaemons, body, false) ? 1 : 0;
  After(world.events, kInnocentEvery, [&world] { SendInnocent(world); });
}

struct PoisonResult {
  double deaths = 0;
  double refused_innocents = 0;
};

/// Ten poison requests, each resent five times to a random entry.
PoisonResult RunWorld(bool is_real, Duration resend_after, Duration spread) {
  constexpr int kPoisons = 10;
  PoisonWorld world;
  world.random.seed(20261204);
  world.is_real = is_real;
  world.resend_after = resend_after;
  world.spread = spread;
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    world.ids.push_back(base::DaemonId{i + 1});
  }
  for (int i = 0; i < 500; ++i) {
    world.innocents.push_back("innocent " + std::to_string(i));
  }
  const base::TimePoint began = world.events.now;
  Gossip(world);
  SendInnocent(world);
  for (int i = 0; i < kPoisons; ++i) {
    After(world.events, base::seconds{5 * i},
          [&world, i] { SendPoison(world, "poison " + std::to_string(i), 6); });
  }
  RunUntil(world.events, began + kLength);
  return {static_cast<double>(world.deaths) / kPoisons,
          static_cast<double>(world.refused_innocents) /
              static_cast<double>(world.offered_innocents)};
}

}  // namespace

void RunPoison() {
  const auto print = [](const std::string& pace, Duration resend_after,
                        Duration spread) {
    const PoisonResult real = RunWorld(true, resend_after, spread);
    const PoisonResult plain = RunWorld(false, resend_after, spread);
    Print({"poison", "deaths_per_request_" + pace, "count", real.deaths,
           plain.deaths, 2, Better::kLower});
    Print({"poison", "innocent_refused_" + pace, "part", real.refused_innocents,
           plain.refused_innocents, 0.01, Better::kLower});
  };
  print("resent_after_3s_spread_2s", base::seconds{3}, base::seconds{2});
  // A caller that resends at once to other entries is faster than gossip every
  // second, but not faster than a message sent to the daemons of the service
  // at the death.
  print("resent_after_200ms_spread_2s", base::milliseconds{200},
        base::seconds{2});
  print("resent_after_200ms_spread_50ms", base::milliseconds{200},
        base::milliseconds{50});
}

}  // namespace eelgrassbridge::bench
