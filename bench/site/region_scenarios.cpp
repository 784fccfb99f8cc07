// Scenario region_cut: two regions that lose contact with each other.
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
constexpr std::uint32_t kFleet = 6;
constexpr std::uint32_t kKeys = 60;
constexpr double kRate = 75;
constexpr const char* kStoreSide = "sur";
constexpr const char* kFarSide = "litoral";
constexpr const char* kAccounts =
    "accounts:\n"
    "  - {name: sur-account, home_regions: [sur]}\n"
    "  - {name: litoral-account, home_regions: [litoral]}\n";

/// @brief Load of one side: callers of a region, with an account of that
/// region, or without an account, which may be served in both.
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
  for (const std::string side : {kStoreSide, kFarSide}) {
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
      // Under another residency the same text is another key with an owner of
      // its own, which the checker could not tell apart.
      load.key_prefix = account.empty() ? "key-" : account + "-key-";
      load.seed = ++seed;
      load.lines = true;
      loads.push_back({side, account, load.seed, StartLoad(site, load)});
    }
  }
  return loads;
}

/// @brief Attempts of one load that began in a window.
struct WindowCounts {
  double attempts = 0;
  double answered = 0;
  std::map<std::string, double> errors;
};

// A first attempt without an id is always told to fetch one and is left out.
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

// No resends: the share answered counts what a caller is told the first time.
// Callers that wait for an answer send fewer requests than they would, so the
// share of the offered rate is given as well.
void FinishLoads(const Site& site,
                 const std::string& phase,
                 std::vector<SideLoad> loads,
                 std::int64_t from_us,
                 std::int64_t to_us) {
  for (SideLoad& load : loads) {
    FinishLoad(load.load);
  }
  const auto attempts = SiteAttempts(site);
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

// Load without a cut.
void WholePhase(const Site& site, const std::string& phase) {
  auto loads = StartLoads(site);
  SleepSeconds(1);
  const std::int64_t from = UnixMicroseconds();
  SleepSeconds(kSettleSeconds);
  FinishLoads(site, phase, std::move(loads), from, UnixMicroseconds());
}

// Seconds until a member of each side answers for every key.
double SecondsUntilAnswered(const Site& site) {
  const std::int64_t start = UnixMicroseconds();
  double seconds = 0;
  for (const std::string side : {kStoreSide, kFarSide}) {
    const auto entry = std::ranges::find(
        site.members, side,
        [](const Member& member) { return member.spec.region; });
    for (std::uint32_t key = 0; key < kKeys; ++key) {
      while (!AskOwner(*entry, fmt::format("key-{}", key)) &&
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

void CutPhase(const Site& site,
              const std::string& phase,
              bool is_store_side_cut,
              double seconds) {
  auto loads = StartLoads(site);
  SleepSeconds(2);
  CutLinks(site, kFarSide, kStoreSide, "hold");
  if (is_store_side_cut) {
    CutLinks(site, kStoreSide, kFarSide, "hold");
  }
  const std::int64_t from = UnixMicroseconds();
  SleepSeconds(seconds);
  const std::int64_t to = UnixMicroseconds();
  CutLinks(site, kFarSide, kStoreSide, "none");
  CutLinks(site, kStoreSide, kFarSide, "none");
  PrintSeconds(kScenario, phase + "_all_answered_after",
               SecondsUntilAnswered(site));
  FinishLoads(site, phase, std::move(loads), from, to);
}

}  // namespace

bool MeasureRegionCut(const ScenarioOptions& options) {
  SiteOptions site_options = MakeListingSite(options.site, kFleet);
  site_options.catalogue_yaml += kAccounts;
  site_options.links_between_regions = true;
  auto site = StartSite(site_options, kScenario);
  if (!site) {
    return false;
  }
  SleepSeconds(kSettleSeconds);
  const double cut = options.is_short ? kShortCutSeconds : kCutSeconds;
  WholePhase(*site, "before");
  CutPhase(*site, "both_directions", true, cut);
  SleepSeconds(kSettleSeconds);
  // Connections that daemons of the far side open are cut, which are also
  // those to the store; the other direction's go on.
  CutPhase(*site, "one_direction", false, cut);
  SleepSeconds(kSettleSeconds);
  WholePhase(*site, "after");
  PrintViolations(kScenario, *site);
  StopSite(*site);
  return true;
}

}  // namespace eelgrassbridge::bench
