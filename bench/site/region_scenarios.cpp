// Scenario region_cut: a network partition between two regions.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "figures.hpp"
#include "scenarios.hpp"
#include "site_client.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr const char* kScenario = "region_cut";
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kSettleSeconds = 8;
constexpr double kCutSeconds = 20;
constexpr double kShortCutSeconds = 8;
constexpr double kAnsweredLimitSeconds = 90;
constexpr std::uint32_t kFleetSize = 6;
constexpr std::uint32_t kKeys = 60;
constexpr double kRate = 75;
constexpr const char* kStoreSide = "sur";
constexpr const char* kRemoteSide = "litoral";
constexpr const char* kAccounts =
    "accounts:\n"
    "  - {name: sur-account, home_regions: [sur]}\n"
    "  - {name: litoral-account, home_regions: [litoral]}\n";

/// @brief Load of callers in one region. Requests with an account of that
/// region must be served there; requests without an account may be served in
/// both.
struct SideLoad {
  std::string side;
  std::string account;
  std::uint64_t seed = 0;
  BackgroundLoad load;
};

std::string EntriesOf(const Site& site, const std::string& region) {
  return Entries(
      site, [&](const Member& member) { return member.spec.region == region; });
}

std::vector<SideLoad> StartLoads(const Site& site) {
  static std::uint64_t seed = 600;
  std::vector<SideLoad> loads;
  for (const std::string side : {kStoreSide, kRemoteSide}) {
    for (const std::string& account : {side + "-account", std::string()}) {
      Load load;
      load.entries = EntriesOf(site, side);
      load.kinds =
          "listing/view:GET:idempotent:0:6,listing/claim:POST:once:200:4";
      load.callers = 8;
      load.rate = kRate;
      load.seconds = 600;
      load.keys = kKeys;
      load.account = account;
      // Keys of different residencies have separate owners even if their text
      // is equal, and the checker could not distinguish them.
      load.key_prefix = account.empty() ? "key-" : account + "-key-";
      load.seed = ++seed;
      load.record_attempts = true;
      loads.push_back({side, account, load.seed, StartLoad(site, load)});
    }
  }
  return loads;
}

/// @brief Attempts of one load that started in a time window.
struct WindowCounts {
  double attempts = 0;
  double answered = 0;
  std::map<std::string, double> errors;
};

// First attempts of non-idempotent requests are excluded: they always get an id
// and the error id_required.
WindowCounts CountWindow(const std::vector<AttemptLine>& attempts,
                         std::uint64_t seed,
                         std::int64_t from_us,
                         std::int64_t to_us) {
  const std::string tags = fmt::format("{}-", seed);
  WindowCounts counts;
  for (const auto& attempt : attempts) {
    if (!attempt.tag.starts_with(tags) || attempt.start_us < from_us ||
        attempt.start_us >= to_us || attempt.error == "id_required") {
      continue;
    }
    ++counts.attempts;
    if (attempt.outcome == "answered") {
      ++counts.answered;
    } else {
      ++counts.errors[attempt.error];
    }
  }
  return counts;
}

// The loads do not retry, so the share answered counts first attempts. Callers
// that wait for a response send fewer requests than the configured rate, so the
// share of that rate is printed as well.
void FinishLoads(const Site& site,
                 const std::string& phase,
                 std::vector<SideLoad> loads,
                 std::int64_t from_us,
                 std::int64_t to_us) {
  for (SideLoad& load : loads) {
    FinishLoad(load.load);
  }
  const auto attempts = ReadSiteAttempts(site);
  const double offered =
      kRate * static_cast<double>(to_us - from_us) / kMicrosecondsPerSecond;
  for (const SideLoad& load : loads) {
    const auto counts = CountWindow(attempts, load.seed, from_us, to_us);
    const std::string name =
        fmt::format("{}_{}_{}", phase, load.side,
                    load.account.empty() ? "any_region" : "own_region");
    PrintShare(kScenario, name + "_answered",
               counts.attempts > 0 ? counts.answered / counts.attempts : 0);
    PrintShare(kScenario, name + "_answered_of_offered",
               counts.answered / offered);
    for (const auto& [error, count] : counts.errors) {
      PrintCount(kScenario, fmt::format("{}_{}", name, error), count);
    }
  }
}

// Runs the load without a partition.
void RunConnectedPhase(const Site& site, const std::string& phase) {
  auto loads = StartLoads(site);
  SleepSeconds(1);
  const std::int64_t from = UnixMicroseconds();
  SleepSeconds(kSettleSeconds);
  FinishLoads(site, phase, std::move(loads), from, UnixMicroseconds());
}

// Seconds until every key is served through a member of each side.
double SecondsUntilAnswered(const Site& site) {
  const std::int64_t start = UnixMicroseconds();
  double seconds = 0;
  for (const std::string side : {kStoreSide, kRemoteSide}) {
    const auto entry = std::ranges::find(
        site.members, side,
        [](const Member& member) { return member.spec.region; });
    for (std::uint32_t key = 0; key < kKeys; ++key) {
      while (!ProbeKey(*entry, fmt::format("key-{}", key)) &&
             seconds < kAnsweredLimitSeconds) {
        SleepSeconds(0.05);
        seconds = static_cast<double>(UnixMicroseconds() - start) /
                  kMicrosecondsPerSecond;
      }
    }
  }
  return static_cast<double>(UnixMicroseconds() - start) /
         kMicrosecondsPerSecond;
}

void RunCutPhase(const Site& site,
                 const std::string& phase,
                 bool is_store_side_cut,
                 double seconds) {
  auto loads = StartLoads(site);
  SleepSeconds(2);
  CutLinks(site, kRemoteSide, kStoreSide, "hold");
  if (is_store_side_cut) {
    CutLinks(site, kStoreSide, kRemoteSide, "hold");
  }
  const std::int64_t from = UnixMicroseconds();
  SleepSeconds(seconds);
  const std::int64_t to = UnixMicroseconds();
  CutLinks(site, kRemoteSide, kStoreSide, "none");
  CutLinks(site, kStoreSide, kRemoteSide, "none");
  PrintSeconds(kScenario, phase + "_all_answered_after",
               SecondsUntilAnswered(site));
  FinishLoads(site, phase, std::move(loads), from, to);
}

}  // namespace

bool MeasureRegionCut(const ScenarioOptions& options) {
  SiteOptions site_options = MakeListingSite(options.site, kFleetSize);
  site_options.catalogue_yaml += kAccounts;
  site_options.links_between_regions = true;
  auto site = StartSite(site_options, kScenario);
  if (!site) {
    return false;
  }
  SleepSeconds(kSettleSeconds);
  const double cut = options.is_short ? kShortCutSeconds : kCutSeconds;
  RunConnectedPhase(*site, "before");
  RunCutPhase(*site, "both_directions", true, cut);
  SleepSeconds(kSettleSeconds);
  // Only connections opened by daemons of the remote side are cut, which
  // includes those to the store.
  RunCutPhase(*site, "one_direction", false, cut);
  SleepSeconds(kSettleSeconds);
  RunConnectedPhase(*site, "after");
  PrintViolations(kScenario, *site);
  StopSite(*site);
  return true;
}

}  // namespace eelgrassbridge::bench
