// Scenario hot_key: one key of a divided service gets half of the load.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "figures.hpp"
#include "scenarios.hpp"
#include "site_client.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr const char* kScenario = "hot_key";
constexpr const char* kHotKey = "key-0";
// Claims are not idempotent, so they show whether request ids survive the
// carve-out and the move of the key.
constexpr const char* kKinds =
    "listing/view:GET:idempotent:0:8,listing/claim:POST:once:200:2";
constexpr std::uint32_t kDaemons = 5;
constexpr double kSettleSeconds = 10;
constexpr double kSeconds = 90;
constexpr double kShortSeconds = 45;
constexpr double kRate = 500;
constexpr double kHotShare = 0.5;
constexpr double kTargetSeconds = 60;
constexpr double kProbeSeconds = 0.1;
constexpr double kMicrosecondsPerSecond = 1e6;

void PrintValue(const char* metric,
                const char* unit,
                double value,
                std::optional<double> target = std::nullopt) {
  Print({.scenario = kScenario,
         .metric = metric,
         .unit = unit,
         .value = value,
         .target = target});
}

double SecondsSince(std::int64_t start_us) {
  return static_cast<double>(UnixMicroseconds() - start_us) /
         kMicrosecondsPerSecond;
}

double SumMetric(const Site& site, const char* metric) {
  double sum = 0;
  for (const Member& member : site.members) {
    sum += ReadMetric(member, metric).value_or(0);
  }
  return sum;
}

/// @brief Number of runs started in an interval, by target.
struct TargetRuns {
  std::map<std::string, double> by_target;
  /// Only the runs of the hot key.
  std::map<std::string, double> of_hot_key;
};

TargetRuns CountRuns(const Site& site,
                     const std::vector<RunLine>& runs,
                     std::int64_t from_us,
                     std::int64_t to_us) {
  TargetRuns counts;
  for (const Member& member : site.members) {
    counts.by_target[member.spec.name] = 0;
  }
  for (const RunLine& run : runs) {
    if (run.start_us >= from_us && run.start_us < to_us) {
      counts.by_target[run.target] += 1;
      counts.of_hot_key[run.target] += run.key == kHotKey ? 1 : 0;
    }
  }
  return counts;
}

void PrintImbalance(const TargetRuns& counts, const std::string& when) {
  double sum = 0;
  double largest = 0;
  for (const auto& [target, count] : counts.by_target) {
    sum += count;
    largest = std::max(largest, count);
  }
  double hot = 0;
  for (const auto& [target, count] : counts.of_hot_key) {
    hot += count;
  }
  const auto mean = sum / static_cast<double>(counts.by_target.size());
  PrintValue(("largest_over_mean_" + when).c_str(), "ratio",
             mean > 0 ? largest / mean : 0);
  // A lower bound of largest_over_mean, as a key has a single owner.
  PrintValue(("hot_key_over_mean_" + when).c_str(), "ratio",
             mean > 0 ? hot / mean : 0);
}

/// Prints the load tool's results. Returns false if there is no summary.
bool PrintRequests(const std::string& summary_file) {
  std::ifstream text(summary_file);
  const auto summary = nlohmann::json::parse(text, nullptr, false);
  if (!summary.is_object()) {
    return false;
  }
  const double sent = summary.value("requests", 0.0);
  PrintValue("requests", "count", sent);
  PrintValue("failed_requests", "count", sent - summary.value("count", 0.0), 0);
  const auto errors = summary.value("errors", nlohmann::json::object());
  for (const auto& [error, count] : errors.items()) {
    PrintValue(("error_" + error).c_str(), "count", count.get<double>());
  }
  return true;
}

/// Waits until a target other than `first` serves the key. Returns the seconds
/// since the start of the load; -1 if the limit is reached.
double WaitForMove(const Site& site,
                   const std::string& first,
                   std::int64_t start_us,
                   double limit) {
  std::uint32_t unanswered = 0;
  double moved_after = -1;
  while (moved_after < 0 && SecondsSince(start_us) < limit) {
    SleepSeconds(kProbeSeconds);
    const auto target = ProbeKey(site.members[0], kHotKey);
    unanswered += target ? 0 : 1;
    if (target && *target != first) {
      moved_after = SecondsSince(start_us);
    }
  }
  PrintValue("unanswered_probes", "count", unanswered);
  return moved_after;
}

}  // namespace

bool MeasureHotKey(const ScenarioOptions& options) {
  auto site = StartSite(MakeListingSite(options.site, kDaemons), kScenario);
  if (!site) {
    return false;
  }
  SleepSeconds(kSettleSeconds);
  const auto first = ProbeKey(site->members[0], kHotKey);
  Load load;
  load.entries = Entries(*site, [](const Member&) { return true; });
  load.kinds = kKinds;
  load.callers = 32;
  load.rate = kRate;
  load.hot_share = kHotShare;
  load.seconds = options.is_short ? kShortSeconds : kSeconds;
  load.record_attempts = true;
  const std::string summary_file = site->folder + "/load.json";
  const std::int64_t start_us = UnixMicroseconds();
  Process load_tool = Launch(LoadArguments(*site, load), summary_file);
  const double moved_after =
      WaitForMove(*site, first.value_or(""), start_us, load.seconds);
  const std::int64_t moved_us = UnixMicroseconds();
  SleepSeconds(std::max(0.0, load.seconds - SecondsSince(start_us)));
  Stop(load_tool, 0);
  PrintValue("seconds_until_served_elsewhere", "s",
             moved_after < 0 ? load.seconds : moved_after, kTargetSeconds);
  PrintValue("moved_in_time", "count", moved_after < 0 ? 0 : 1);
  const bool has_summary = PrintRequests(summary_file);
  PrintValue("hot_keys_carved_out", "count",
             SumMetric(*site, "hot_keys_carved_out_total"));
  PrintValue("hot_keys_moved", "count",
             SumMetric(*site, "hot_keys_moved_total"));
  const auto runs = ReadSiteRuns(*site);
  PrintImbalance(CountRuns(*site, runs, start_us, moved_us), "before");
  PrintImbalance(CountRuns(*site, runs, moved_us, UnixMicroseconds()), "after");
  PrintViolations(kScenario, *site);
  StopSite(*site);
  return first.has_value() && has_summary;
}

}  // namespace eelgrassbridge::bench
