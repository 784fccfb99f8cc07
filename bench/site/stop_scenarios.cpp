// Scenarios graceful_stop and freeze: daemons and targets are stopped or
// suspended under load.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>

#include "figures.hpp"
#include "scenarios.hpp"
#include "site_client.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kSettleSeconds = 5;
constexpr double kReadySeconds = 60;
constexpr double kAnsweredLimitSeconds = 60;
constexpr double kFreezeSeconds = 5;
constexpr double kTargetAnsweredSeconds = 5;
constexpr double kTargetLastRunSeconds = 3;
constexpr std::uint32_t kFleetSize = 5;
// Daemons that the short form of graceful_stop stops.
constexpr std::size_t kShortStops = 2;
// With a pause of 50 ms between attempts, retries continue for at least 5 s.
constexpr std::uint32_t kResends = 100;
constexpr const char* kKinds =
    "listing/view:GET:idempotent:0:6,listing/claim:POST:once:200:4";

double SecondsSince(std::int64_t start_us) {
  return static_cast<double>(UnixMicroseconds() - start_us) /
         kMicrosecondsPerSecond;
}

Load MixedLoad(const Site& site, std::uint64_t seed) {
  Load load;
  load.entries = AllEntries(site);
  load.kinds = kKinds;
  load.callers = 16;
  load.rate = 300;
  // The scenario stops the load earlier.
  load.seconds = 600;
  load.resends = kResends;
  load.seed = seed;
  load.record_attempts = true;
  return load;
}

// Prints the attempts that started in the interval, by outcome and error. First
// attempts of non-idempotent requests are excluded: they always get an id and
// the error id_required.
void PrintOutcomes(std::string_view scenario,
                   const std::string& prefix,
                   const Site& site,
                   std::int64_t from_us,
                   std::int64_t to_us) {
  std::map<std::string, double> outcomes;
  for (const auto& attempt : ReadSiteAttempts(site)) {
    if (attempt.start_us >= from_us && attempt.start_us < to_us &&
        attempt.error != "id_required") {
      ++outcomes[attempt.error.empty()
                     ? attempt.outcome
                     : fmt::format("{}_{}", attempt.outcome, attempt.error)];
    }
  }
  for (const auto& [name, count] : outcomes) {
    PrintCount(scenario, prefix + name, count);
  }
}

void PrintRequests(std::string_view scenario,
                   const nlohmann::json& summary,
                   std::optional<double> target) {
  const double requests = summary.value("requests", 0.0);
  PrintCount(scenario, "requests", requests);
  PrintCount(scenario, "failed_requests",
             requests - summary.value("count", 0.0), target);
  const auto errors = summary.value("errors", nlohmann::json::object());
  for (const auto& [error, count] : errors.items()) {
    PrintCount(scenario, "failed_with_" + error, count.get<double>());
  }
}

struct StopTimes {
  std::string name;
  std::int64_t signal_us = 0;
  std::int64_t end_us = 0;
  int status = 0;
};

StopTimes RestartGracefully(Site& site, Member& member) {
  StopTimes times{.name = member.spec.name, .signal_us = UnixMicroseconds()};
  times.status = Stop(member.daemon, SIGTERM);
  times.end_us = UnixMicroseconds();
  StartDaemon(site, member);
  WaitReady(member, kReadySeconds);
  return times;
}

void PrintStops(const Site& site, const std::vector<StopTimes>& stops) {
  constexpr const char* kScenario = "graceful_stop";
  double longest = 0;
  double last_run = 0;
  double failed_exits = 0;
  double unfinished = 0;
  const auto runs = ReadSiteRuns(site);
  for (const auto& stop : stops) {
    failed_exits += stop.status != 0 ? 1 : 0;
    longest =
        std::max(longest, static_cast<double>(stop.end_us - stop.signal_us) /
                              kMicrosecondsPerSecond);
    for (const auto& run : runs) {
      if (run.target == stop.name && run.start_us >= stop.signal_us &&
          run.start_us < stop.end_us) {
        last_run = std::max(last_run,
                            static_cast<double>(run.start_us - stop.signal_us) /
                                kMicrosecondsPerSecond);
      }
    }
  }
  for (const auto& run : runs) {
    unfinished += run.end_us == 0 ? 1 : 0;
  }
  PrintCount(kScenario, "stops", static_cast<double>(stops.size()));
  PrintCount(kScenario, "exits_with_an_error", failed_exits, 0);
  PrintSeconds(kScenario, "last_new_work_max", last_run, kTargetLastRunSeconds);
  PrintSeconds(kScenario, "stop_max", longest);
  PrintCount(kScenario, "runs_without_an_end", unfinished, 0);
}

// Prints the requests that were cut off: sent, but without a complete response,
// so the caller cannot know whether they ran.
void PrintCutOff(std::string_view scenario, const Site& site) {
  double cut_off = 0;
  for (const auto& attempt : ReadSiteAttempts(site)) {
    cut_off += attempt.error == "no_reply" || !attempt.fault.empty() ? 1 : 0;
  }
  PrintCount(scenario, "cut_off_in_flight", cut_off, 0);
}

// Suspends the process for kFreezeSeconds. Returns the seconds until all of the
// keys have been served.
double Freeze(const Process& process,
              const Member& entry,
              const std::vector<std::string>& keys) {
  const std::int64_t start = UnixMicroseconds();
  Signal(process, SIGSTOP);
  bool frozen = true;
  std::optional<double> answered;
  std::size_t next = 0;
  while (frozen || (!answered && SecondsSince(start) < kAnsweredLimitSeconds)) {
    if (frozen && SecondsSince(start) >= kFreezeSeconds) {
      Signal(process, SIGCONT);
      frozen = false;
    }
    if (!answered && ProbeKey(entry, keys[next])) {
      ++next;
      if (next == keys.size()) {
        answered = SecondsSince(start);
      }
    } else {
      SleepSeconds(0.02);
    }
  }
  return answered.value_or(kAnsweredLimitSeconds);
}

const Member& AnyOtherMember(const Site& site, const Member& member) {
  return &member == &site.members[0] ? site.members[1] : site.members[0];
}

void RunFreezePhase(const Site& site,
                    const std::string& phase,
                    const Process& process,
                    const Member& victim,
                    const std::vector<std::string>& keys) {
  constexpr const char* kScenario = "freeze";
  if (keys.empty()) {
    PrintCount(kScenario, phase + "_without_keys", 1, 0);
    return;
  }
  const std::int64_t from = UnixMicroseconds();
  const double seconds = Freeze(process, AnyOtherMember(site, victim), keys);
  PrintSeconds(kScenario, phase + "_answered_again", seconds,
               kTargetAnsweredSeconds);
  SleepSeconds(kSettleSeconds);
  PrintOutcomes(kScenario, phase + "_told_", site, from, UnixMicroseconds());
}

// Finds a member that is the deputy of a group, other than `excluded`.
const Member* FindDeputy(const Site& site, const Member& excluded) {
  const auto names = NamesByDaemonId(site.members[0]);
  for (const auto& row : ReadGroupRows(site)) {
    const auto name = names.find(base::ToString(row.deputy));
    if (name == names.end() || name->second == excluded.spec.name) {
      continue;
    }
    const auto found = std::ranges::find(
        site.members, name->second,
        [](const Member& member) { return member.spec.name; });
    if (found != site.members.end()) {
      return &*found;
    }
  }
  return nullptr;
}

}  // namespace

bool MeasureGracefulStop(const ScenarioOptions& options) {
  constexpr const char* kScenario = "graceful_stop";
  auto site = StartSite(MakeListingSite(options.site, kFleetSize), kScenario);
  if (!site) {
    return false;
  }
  SleepSeconds(kSettleSeconds);
  const std::int64_t start = UnixMicroseconds();
  auto load = StartLoad(*site, MixedLoad(*site, 300));
  SleepSeconds(2);
  std::vector<StopTimes> stops;
  for (Member& member : site->members) {
    if (options.is_short && stops.size() >= kShortStops) {
      break;
    }
    stops.push_back(RestartGracefully(*site, member));
    SleepSeconds(kSettleSeconds);
  }
  const auto summary = FinishLoad(load);
  PrintRequests(kScenario, summary, 0);
  PrintOutcomes(kScenario, "attempts_", *site, start, UnixMicroseconds());
  PrintCutOff(kScenario, *site);
  PrintStops(*site, stops);
  PrintViolations(kScenario, *site);
  StopSite(*site);
  return true;
}

bool MeasureFreeze(const ScenarioOptions& options) {
  constexpr const char* kScenario = "freeze";
  constexpr std::uint32_t kRounds = 3;
  auto site = StartSite(MakeListingSite(options.site, kFleetSize), kScenario);
  if (!site) {
    return false;
  }
  SleepSeconds(kSettleSeconds);
  auto load = StartLoad(*site, MixedLoad(*site, 400));
  SleepSeconds(2);
  for (std::uint32_t round = 0; round < (options.is_short ? 1 : kRounds);
       ++round) {
    const Member& owner = site->members[(1 + round) % kFleetSize];
    RunFreezePhase(*site, fmt::format("owner_{}", round + 1), owner.daemon,
                   owner, FindOwnedKeys(*site, owner));
    RunFreezePhase(*site, fmt::format("target_{}", round + 1), owner.target,
                   owner, FindOwnedKeys(*site, owner));
    if (const Member* deputy = FindDeputy(*site, owner)) {
      RunFreezePhase(*site, fmt::format("deputy_{}", round + 1), deputy->daemon,
                     *deputy, FindOwnedKeys(*site, *deputy));
    }
  }
  const auto summary = FinishLoad(load);
  // No target: the outcome of a claim that was in flight at a suspended target
  // is unknown and remains so when it is retried.
  PrintRequests(kScenario, summary, std::nullopt);
  PrintViolations(kScenario, *site);
  StopSite(*site);
  return true;
}

}  // namespace eelgrassbridge::bench
