// Scenario throughput: requests through the product compared with requests sent
// directly to a target.
#include <spdlog/fmt/fmt.h>

#include <nlohmann/json.hpp>

#include "figures.hpp"
#include "scenarios.hpp"
#include "site_client.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr double kSeconds = 5;
constexpr double kShortSeconds = 2;
constexpr double kWarmUpSeconds = 1;
constexpr double kTargetAddedMs = 1;
constexpr double kTargetRate = 9300;
constexpr double kTargetP99Ms = 15;
constexpr double kTargetRssMb = 128;

double Milliseconds(const nlohmann::json& summary, const char* field) {
  return summary.value(field, 0.0) / 1000.0;
}

// A listing daemon and a booking daemon in one data centre. A listing request
// takes two hops if it enters at the booking daemon.
SiteOptions MakeTwoDaemonSite(SiteOptions options) {
  options = MakeListingSite(std::move(options), 1);
  options.members.push_back({.name = "booking-1",
                             .region = "sur",
                             .data_centre = "sur-cerro",
                             .service = "booking"});
  options.catalogue_yaml +=
      "  - name: booking\n"
      "    owner: dispatch team, dispatch@astillas.example\n"
      "    regions: [litoral, sur]\n"
      "    kinds:\n"
      "      - {name: book, idempotent: false, deadline: 2s}\n";
  options.slots = 64;
  options.service_time_us = 0;
  return options;
}

void PrintComparison(const std::string& side,
                     const nlohmann::json& through,
                     const nlohmann::json& direct) {
  const auto print = [&](const char* metric, const char* unit, double value,
                         double baseline, std::optional<double> target,
                         bool lower) {
    Print({.scenario = "throughput",
           .metric = side + "_" + metric,
           .unit = unit,
           .value = value,
           .baseline = baseline,
           .target = target,
           .lower_is_better = lower});
  };
  const bool has_target_rate = side == "one_hop_64_callers";
  const bool has_target_p99 = side == "one_hop_paced";
  print("rate", "requests/s", through.value("rate", 0.0),
        direct.value("rate", 0.0),
        has_target_rate ? std::optional(kTargetRate) : std::nullopt, false);
  print("p50", "ms", Milliseconds(through, "p50_us"),
        Milliseconds(direct, "p50_us"), std::nullopt, true);
  print("p99", "ms", Milliseconds(through, "p99_us"),
        Milliseconds(direct, "p99_us"),
        has_target_p99 ? std::optional(kTargetP99Ms) : std::nullopt, true);
  print("added_at_median", "ms",
        Milliseconds(through, "p50_us") - Milliseconds(direct, "p50_us"), 0,
        side == "two_hops_1_callers" ? std::optional(kTargetAddedMs)
                                     : std::nullopt,
        true);
  print("not_answered", "count",
        through.value("requests", 0.0) - through.value("count", 0.0),
        direct.value("requests", 0.0) - direct.value("count", 0.0), 0, true);
  const auto errors = through.value("errors", nlohmann::json::object());
  for (const auto& [error, count] : errors.items()) {
    print(("error_" + error).c_str(), "count", count.get<double>(), 0,
          std::nullopt, true);
  }
}

Load DirectLoad(const Site& site, Load load) {
  load.direct = true;
  load.entries = fmt::format("127.0.0.1:{}", site.members[0].target_port);
  return load;
}

// At a fixed rate, p99 measures the latency rather than the queue that callers
// in a closed loop build up.
void MeasurePaced(const Site& site, Load load) {
  load.callers = 64;
  load.rate = kTargetRate;
  const auto direct = RunLoad(site, DirectLoad(site, load));
  load.entries = fmt::format("127.0.0.1:{}", site.members[0].http_port);
  PrintComparison("one_hop_paced", RunLoad(site, load), direct);
}

}  // namespace

bool MeasureThroughput(const ScenarioOptions& options) {
  SiteOptions site_options = MakeTwoDaemonSite(options.site);
  if (site_options.memory_store) {
    site_options.members.pop_back();
  }
  auto site = StartSite(site_options, "throughput");
  if (!site) {
    return false;
  }
  Load load;
  load.seconds = options.is_short ? kShortSeconds : kSeconds;
  for (const std::uint32_t callers : {1U, 9U, 64U}) {
    load.callers = callers;
    const auto direct = RunLoad(*site, DirectLoad(*site, load));
    for (std::size_t hops = 1; hops <= site->members.size(); ++hops) {
      load.entries =
          fmt::format("127.0.0.1:{}", site->members[hops - 1].http_port);
      Load warm_up = load;
      warm_up.seconds = kWarmUpSeconds;
      RunLoad(*site, warm_up);
      PrintComparison(fmt::format("{}_{}_callers",
                                  hops == 1 ? "one_hop" : "two_hops", callers),
                      RunLoad(*site, load), direct);
    }
  }
  MeasurePaced(*site, load);
  Print({.scenario = "throughput",
         .metric = "daemon_rss",
         .unit = "MB",
         .value = ReadUsage(site->members[0].daemon).rss_mb,
         .target = kTargetRssMb});
  StopSite(*site);
  return true;
}

}  // namespace eelgrassbridge::bench
