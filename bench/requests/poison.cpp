// Poison requests: compares the quarantine with no quarantine, on a simulated
// fleet of targets that crash when they run such a request.
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

struct PoisonSimulation {
  Events events;
  std::mt19937_64 random;
  bool use_quarantine = true;
  Duration resend_after;
  /// Interval at which suspects are sent to the other daemons.
  Duration gossip_interval;
  std::vector<routing::PoisonQuarantine> daemons{kDaemons};
  std::vector<base::DaemonId> ids;
  std::uint64_t instances = 0;
  std::vector<std::string> innocents;
  std::uint64_t deaths = 0;
  std::uint64_t refused_innocents = 0;
  std::uint64_t offered_innocents = 0;
};

routing::Fingerprint FingerprintOf(std::string_view body) {
  return routing::RequestFingerprint("booking", "plan", "/", "", body);
}

/// Records the death of a target that was running the poison request and four
/// innocent ones.
void RecordDeath(PoisonSimulation& simulation,
                 std::size_t runner,
                 std::size_t entry,
                 const routing::Fingerprint& poison) {
  ++simulation.deaths;
  const auto run = routing::TargetRunIdentity(
      simulation.ids[runner], std::to_string(++simulation.instances));
  std::vector<routing::Fingerprint> suspects{poison};
  for (int i = 0; i < 4; ++i) {
    suspects.push_back(FingerprintOf(
        simulation
            .innocents[simulation.random() % simulation.innocents.size()]));
  }
  for (const auto& suspect : suspects) {
    routing::RecordTargetDeath(simulation.daemons[runner], suspect, run,
                               simulation.events.now);
    routing::RecordTargetDeath(simulation.daemons[entry], suspect, run,
                               simulation.events.now);
  }
}

/// Applies the decisions to one request; returns whether it was refused.
bool Send(PoisonSimulation& simulation,
          std::size_t entry,
          std::string_view body,
          bool is_poison) {
  const routing::Fingerprint fingerprint = FingerprintOf(body);
  const base::TimePoint now = simulation.events.now;
  std::size_t runner = simulation.random() % kDaemons;
  PoisonVerdict verdict = PoisonVerdict::kNormal;
  if (simulation.use_quarantine) {
    verdict = std::max(
        routing::VerdictOf(simulation.daemons[entry], fingerprint, now),
        routing::VerdictOf(simulation.daemons[runner], fingerprint, now));
  }
  if (verdict == PoisonVerdict::kQuarantined) {
    return true;
  }
  if (verdict == PoisonVerdict::kSingleRun) {
    runner = routing::DaemonForSuspect(fingerprint, simulation.ids)->value - 1;
    if (!routing::TryStartSingleRun(simulation.daemons[runner], fingerprint,
                                    now)) {
      return true;
    }
    routing::EndSingleRun(simulation.daemons[runner], fingerprint, !is_poison);
  }
  if (is_poison) {
    RecordDeath(simulation, runner, entry, fingerprint);
  }
  return false;
}

void Gossip(PoisonSimulation& simulation) {
  std::vector<routing::SuspectRecord> changed;
  for (auto& daemon : simulation.daemons) {
    const auto records =
        routing::TakeChangedSuspects(daemon, 1000, simulation.events.now);
    changed.insert(changed.end(), records.begin(), records.end());
  }
  for (auto& daemon : simulation.daemons) {
    for (const auto& record : changed) {
      routing::MergeSuspect(daemon, record, simulation.events.now);
    }
  }
  After(simulation.events, simulation.gossip_interval,
        [&simulation] { Gossip(simulation); });
}

void SendPoison(PoisonSimulation& simulation,
                const std::string& body,
                int left) {
  Send(simulation, simulation.random() % kDaemons, body, true);
  if (left > 1) {
    After(
        simulation.events, simulation.resend_after,
        [&simulation, body, left] { SendPoison(simulation, body, left - 1); });
  }
}

void SendInnocent(PoisonSimulation& simulation) {
  ++simulation.offered_innocents;
  const std::string& body =
      simulation.innocents[simulation.random() % simulation.innocents.size()];
  simulation.refused_innocents +=
      Send(simulation, simulation.random() % kDaemons, body, false) ? 1 : 0;
  After(simulation.events, kInnocentEvery,
        [&simulation] { SendInnocent(simulation); });
}

struct PoisonResult {
  double deaths = 0;
  double refused_innocents = 0;
};

/// Simulates ten poison requests, each resent five times to a random entry.
PoisonResult RunSimulation(bool use_quarantine,
                           Duration resend_after,
                           Duration gossip_interval) {
  constexpr int kPoisons = 10;
  PoisonSimulation simulation;
  simulation.random.seed(20261204);
  simulation.use_quarantine = use_quarantine;
  simulation.resend_after = resend_after;
  simulation.gossip_interval = gossip_interval;
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    simulation.ids.push_back(base::DaemonId{i + 1});
  }
  for (int i = 0; i < 500; ++i) {
    simulation.innocents.push_back("innocent " + std::to_string(i));
  }
  const base::TimePoint started_at = simulation.events.now;
  Gossip(simulation);
  SendInnocent(simulation);
  for (int i = 0; i < kPoisons; ++i) {
    After(simulation.events, base::seconds{5 * i}, [&simulation, i] {
      SendPoison(simulation, "poison " + std::to_string(i), 6);
    });
  }
  RunUntil(simulation.events, started_at + kLength);
  return {static_cast<double>(simulation.deaths) / kPoisons,
          static_cast<double>(simulation.refused_innocents) /
              static_cast<double>(simulation.offered_innocents)};
}

}  // namespace

void RunPoison() {
  const auto print = [](const std::string& suffix, Duration resend_after,
                        Duration gossip_interval) {
    const PoisonResult with_quarantine =
        RunSimulation(true, resend_after, gossip_interval);
    const PoisonResult without_quarantine =
        RunSimulation(false, resend_after, gossip_interval);
    Print({"poison", "deaths_per_request_" + suffix, "count",
           with_quarantine.deaths, without_quarantine.deaths, 2,
           Better::kLower});
    Print({"poison", "innocent_refused_" + suffix, "part",
           with_quarantine.refused_innocents,
           without_quarantine.refused_innocents, 0.01, Better::kLower});
  };
  print("resent_after_3s_spread_2s", base::seconds{3}, base::seconds{2});
  // A caller that resends quickly to other entries is faster than gossip every
  // second, but not faster than a message that is sent to the daemons of the
  // service when a target dies.
  print("resent_after_200ms_spread_2s", base::milliseconds{200},
        base::seconds{2});
  print("resent_after_200ms_spread_50ms", base::milliseconds{200},
        base::milliseconds{50});
}

}  // namespace eelgrassbridge::bench
