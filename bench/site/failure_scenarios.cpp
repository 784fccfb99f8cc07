// Scenarios owner_lost, restart_all, store_outage and data_centre_out_and_back.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "figures.hpp"
#include "scenarios.hpp"
#include "site_client.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kTargetTakeOverSeconds = 5;
constexpr double kTakeOverLimitSeconds = 60;
constexpr double kTargetLastRunSeconds = 3;
constexpr std::uint32_t kProbeKeys = 60;
constexpr std::uint32_t kFleetSize = 5;
constexpr std::uint32_t kShortLosses = 5;
constexpr const char* kMixedKinds =
    "listing/view:GET:idempotent:0:8,listing/claim:POST:once:200:2";

// Kills the victim's daemon. Returns the seconds until a few of its keys are
// all served again; -1 if its target served none of the probed keys.
double KillOwner(Site& site, Member& victim) {
  const Member& entry =
      &victim == &site.members[0] ? site.members[1] : site.members[0];
  const auto keys = FindOwnedKeys(site, victim);
  if (keys.empty()) {
    return -1;
  }
  const std::int64_t start = UnixMicroseconds();
  Stop(victim.daemon, SIGKILL);
  double seconds = 0;
  for (const auto& key : keys) {
    while (!ProbeKey(entry, key) && seconds < kTakeOverLimitSeconds) {
      SleepSeconds(0.02);
      seconds = static_cast<double>(UnixMicroseconds() - start) /
                kMicrosecondsPerSecond;
    }
    seconds = static_cast<double>(UnixMicroseconds() - start) /
              kMicrosecondsPerSecond;
  }
  return seconds;
}

// Runs the load of one phase of the outage and prints the share of requests
// answered and the latency.
void RunPhase(const Site& site, const std::string& phase, double seconds) {
  static std::uint64_t seed = 100;
  Load load;
  load.entries = AllEntries(site);
  load.kinds = kMixedKinds;
  load.callers = 16;
  load.rate = 400;
  load.seconds = seconds;
  load.record_attempts = true;
  load.seed = ++seed;
  const auto summary = RunLoad(site, load);
  const double requests = summary.value("requests", 0.0);
  Print({.scenario = "store_outage",
         .metric = "served_" + phase,
         .unit = "share",
         .value = requests > 0 ? summary.value("count", 0.0) / requests : 0,
         .target = 1,
         .lower_is_better = false});
  Print({.scenario = "store_outage",
         .metric = "p99_" + phase,
         .unit = "ms",
         .value = summary.value("p99_us", 0.0) / 1000.0});
}

bool IsInDataCentre(const Site& site,
                    const std::string& name,
                    std::string_view data_centre) {
  return std::ranges::any_of(site.members, [&](const Member& member) {
    return member.spec.name == name && member.spec.data_centre == data_centre;
  });
}

void PrintDataCentreFigures(const Site& site,
                            std::string_view data_centre,
                            std::int64_t out_us,
                            std::int64_t back_us) {
  constexpr const char* kScenario = "data_centre_out_and_back";
  std::int64_t last_run = out_us;
  std::map<std::string, std::set<std::uint64_t>> epochs;
  for (const auto& run : ReadSiteRuns(site)) {
    if (!run.group.empty()) {
      epochs[run.group].insert(run.epoch);
    }
    if (run.start_us < back_us &&
        IsInDataCentre(site, run.target, data_centre)) {
      last_run = std::max(last_run, run.start_us);
    }
  }
  PrintSeconds(kScenario, "last_new_work",
               static_cast<double>(last_run - out_us) / kMicrosecondsPerSecond,
               kTargetLastRunSeconds);
  std::map<std::string, double> failed{{"view", 0}, {"claim", 0}};
  std::map<std::string, double> errors;
  for (const auto& attempt : ReadSiteAttempts(site)) {
    if (attempt.outcome != "answered" && attempt.error != "id_required") {
      ++failed[attempt.kind];
      ++errors[attempt.error];
    }
  }
  for (const auto& [kind, count] : failed) {
    Print({.scenario = kScenario,
           .metric = "failed_" + kind,
           .unit = "count",
           .value = count,
           .target = 0});
  }
  for (const auto& [error, count] : errors) {
    Print({.scenario = kScenario,
           .metric = "error_" + error,
           .unit = "count",
           .value = count});
  }
  std::size_t moves = 0;
  for (const auto& [group, seen] : epochs) {
    moves += seen.size() - 1;
  }
  Print({.scenario = kScenario,
         .metric = "churn_owner_changes",
         .unit = "count",
         .value = static_cast<double>(moves)});
  Print({.scenario = kScenario,
         .metric = "groups_seen",
         .unit = "count",
         .value = static_cast<double>(epochs.size())});
}

}  // namespace

bool MeasureOwnerLost(const ScenarioOptions& options) {
  auto site =
      StartSite(MakeListingSite(options.site, kFleetSize), "owner_lost");
  if (!site) {
    return false;
  }
  const std::uint32_t losses = options.is_short ? kShortLosses : options.losses;
  std::vector<double> seconds;
  std::uint32_t without_keys = 0;
  for (std::uint32_t loss = 0; loss < losses; ++loss) {
    Member& victim = site->members[loss % kFleetSize];
    const double elapsed = KillOwner(*site, victim);
    if (elapsed < 0) {
      ++without_keys;
      continue;
    }
    seconds.push_back(elapsed);
    StartDaemon(*site, victim);
    WaitReady(victim, kTakeOverLimitSeconds);
  }
  constexpr const char* kScenario = "owner_lost";
  PrintSeconds(kScenario, "answered_again_p50", Percentile(seconds, 50),
               std::nullopt);
  PrintSeconds(kScenario, "answered_again_p99", Percentile(seconds, 99),
               std::nullopt);
  PrintSeconds(kScenario, "answered_again_max", Percentile(seconds, 100),
               kTargetTakeOverSeconds);
  Print({.scenario = kScenario,
         .metric = "losses",
         .unit = "count",
         .value = static_cast<double>(seconds.size()),
         .lower_is_better = false});
  Print({.scenario = kScenario,
         .metric = "victims_that_owned_no_probed_key",
         .unit = "count",
         .value = static_cast<double>(without_keys)});
  PrintViolations(kScenario, *site);
  StopSite(*site);
  return true;
}

bool MeasureRestartAll(const ScenarioOptions& options) {
  constexpr const char* kScenario = "restart_all";
  auto site = StartSite(MakeListingSite(options.site, kFleetSize), kScenario);
  if (!site) {
    return false;
  }
  std::vector<std::string> keys;
  for (std::uint32_t index = 0; index < kProbeKeys; ++index) {
    keys.push_back(fmt::format("key-{}", index));
  }
  SleepSeconds(5);
  const std::int64_t start = UnixMicroseconds();
  for (Member& member : site->members) {
    Stop(member.daemon, SIGKILL);
  }
  for (Member& member : site->members) {
    StartDaemon(*site, member);
  }
  double seconds = 0;
  for (const std::string& key : keys) {
    while (!ProbeKey(site->members[0], key) &&
           seconds < kTakeOverLimitSeconds) {
      SleepSeconds(0.05);
      seconds = static_cast<double>(UnixMicroseconds() - start) /
                kMicrosecondsPerSecond;
    }
  }
  PrintSeconds(kScenario, "all_keys_answered_again", seconds, std::nullopt);
  PrintViolations(kScenario, *site);
  StopSite(*site);
  return true;
}

bool MeasureStoreOutage(const ScenarioOptions& options) {
  auto site =
      StartSite(MakeListingSite(options.site, kFleetSize), "store_outage");
  if (!site) {
    return false;
  }
  const double outage = options.is_short ? 20 : 120;
  SleepSeconds(5);
  RunPhase(*site, "before", 5);
  SetTableFaults(*site, R"({"down":true})");
  RunPhase(*site, "down", outage);
  SetTableFaults(*site, R"({"delay_ms":800})");
  RunPhase(*site, "slow", outage / 2);
  SetTableFaults(*site, R"({"lose_reply_probability":0.5})");
  RunPhase(*site, "lost_replies", outage / 2);
  SetTableFaults(*site, "{}");
  RunPhase(*site, "after", 5);
  PrintViolations("store_outage", *site);
  StopSite(*site);
  return true;
}

bool MeasureDataCentre(const ScenarioOptions& options) {
  constexpr std::string_view kDataCentre = "sur-canelones";
  auto site =
      StartSite(MakeListingSite(options.site, kFleetSize), "data_centre");
  if (!site) {
    return false;
  }
  const double pause = options.is_short ? 10 : 30;
  SleepSeconds(5);
  Load load;
  load.entries = Entries(*site, [&](const Member& member) {
    return member.spec.data_centre != kDataCentre;
  });
  load.kinds = kMixedKinds;
  load.callers = 16;
  load.rate = 400;
  load.seconds = 3 * pause;
  load.record_attempts = true;
  Process load_tool =
      Launch(LoadArguments(*site, load), site->folder + "/load.json");
  SleepSeconds(pause);
  const auto out =
      ChangeCatalogue(site->members[0], [&](catalogue::Catalogue& catalogue) {
        catalogue.out_of_service.push_back(
            {.what = catalogue::OutOfService::What::kDataCentre,
             .name = std::string(kDataCentre)});
      });
  const std::int64_t out_us = UnixMicroseconds();
  SleepSeconds(pause);
  const std::int64_t back_us = UnixMicroseconds();
  const auto back =
      ChangeCatalogue(site->members[0], [](catalogue::Catalogue& catalogue) {
        catalogue.out_of_service.clear();
      });
  SleepSeconds(pause + 2);
  Stop(load_tool, SIGTERM);
  if (out && back) {
    PrintDataCentreFigures(*site, kDataCentre, out_us, back_us);
    PrintViolations("data_centre_out_and_back", *site);
  }
  StopSite(*site);
  return out.has_value() && back.has_value();
}

}  // namespace eelgrassbridge::bench
