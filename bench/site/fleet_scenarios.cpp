// Scenarios store_budget, control_cost and catalogue.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <csignal>

#include "figures.hpp"
#include "scenarios.hpp"
#include "site_client.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr double kSettleSeconds = 10;
constexpr double kWindowSeconds = 20;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kTargetCpuPercent = 4.5;
constexpr double kTargetRssMb = 128;
constexpr double kTargetBytesPerSecond = 3000;
constexpr double kWriteLimit = 300;
constexpr double kReadLimit = 2000;
constexpr double kTargetCatalogueSeconds = 3;
constexpr std::uint32_t kChanges = 20;
constexpr std::uint32_t kShortChanges = 5;

void PrintRates(const std::string& when,
                const TableCounts& before,
                const TableCounts& after,
                double seconds) {
  const auto print = [&](const std::string& metric, const char* unit,
                         double value, std::optional<double> target) {
    Print({.scenario = "store_budget",
           .metric = metric + "_" + when,
           .unit = unit,
           .value = value,
           .target = target});
  };
  print("reads", "reads/s", (after.reads - before.reads) / seconds, kReadLimit);
  print("writes", "rows/s", (after.writes - before.writes) / seconds,
        kWriteLimit);
  print("refused_reads", "count", after.refused_reads - before.refused_reads,
        std::nullopt);
  print("refused_writes", "count", after.refused_writes - before.refused_writes,
        std::nullopt);
}

// Bytes sent and received on the daemon's peer sockets; none if the daemon does
// not export these counters.
std::optional<double> PeerBytes(const Member& member) {
  const auto sent = ReadMetric(member, "peer_bytes_sent_total");
  const auto received = ReadMetric(member, "peer_bytes_received_total");
  if (!sent && !received) {
    return std::nullopt;
  }
  return sent.value_or(0) + received.value_or(0);
}

}  // namespace

bool MeasureStoreBudget(const ScenarioOptions& options) {
  for (const std::uint32_t size : options.sizes) {
    auto site = StartSite(MakeListingSite(options.site, size), "store_budget");
    if (!site) {
      return false;
    }
    PrintRates(fmt::format("at_first_start_{}", size), {},
               ReadTableCounts(*site), 1);
    SleepSeconds(kSettleSeconds);
    auto before = ReadTableCounts(*site);
    SleepSeconds(kWindowSeconds);
    PrintRates(fmt::format("at_rest_{}", size), before, ReadTableCounts(*site),
               kWindowSeconds);
    before = ReadTableCounts(*site);
    Member& member = site->members.back();
    Stop(member.daemon, SIGTERM);
    StartDaemon(*site, member);
    WaitReady(member, kWindowSeconds);
    SleepSeconds(kSettleSeconds);
    PrintRates(fmt::format("restart_of_one_of_{}", size), before,
               ReadTableCounts(*site), kSettleSeconds);
    StopSite(*site);
  }
  return true;
}

bool MeasureControlCost(const ScenarioOptions& options) {
  for (const std::uint32_t size : options.sizes) {
    auto site = StartSite(MakeListingSite(options.site, size), "control_cost");
    if (!site) {
      return false;
    }
    SleepSeconds(kSettleSeconds);
    const Member& member = site->members.back();
    const auto before = ReadUsage(member.daemon);
    const auto bytes_before = PeerBytes(member);
    SleepSeconds(kWindowSeconds);
    const auto after = ReadUsage(member.daemon);
    const auto bytes_after = PeerBytes(member);
    const auto print = [&](const char* metric, const char* unit, double value,
                           double target) {
      Print({.scenario = "control_cost",
             .metric = fmt::format("{}_{}_daemons", metric, size),
             .unit = unit,
             .value = value,
             .target = target});
    };
    print("cpu", "percent of a core",
          100 * (after.cpu_seconds - before.cpu_seconds) / kWindowSeconds,
          kTargetCpuPercent);
    print("rss", "MB", after.rss_mb, kTargetRssMb);
    if (bytes_before && bytes_after) {
      print("peer_bytes", "bytes/s",
            (*bytes_after - *bytes_before) / kWindowSeconds,
            kTargetBytesPerSecond);
    }
    StopSite(*site);
  }
  return true;
}

bool MeasureCatalogue(const ScenarioOptions& options) {
  constexpr std::uint32_t kFleetSize = 9;
  auto site = StartSite(MakeListingSite(options.site, kFleetSize), "catalogue");
  if (!site) {
    return false;
  }
  SleepSeconds(3);
  std::vector<double> seconds;
  const std::uint32_t changes = options.is_short ? kShortChanges : kChanges;
  for (std::uint32_t index = 0; index < changes; ++index) {
    const auto version = ChangeCatalogue(
        site->members[index % kFleetSize],
        [&](catalogue::Catalogue& catalogue) {
          catalogue.services[0].limits.requests_per_second = 100000 + index;
        });
    if (!version) {
      StopSite(*site);
      return false;
    }
    const std::int64_t accepted = UnixMicroseconds();
    const auto is_active = [&](const Member& member) {
      return ReadMetric(member, "catalogue_version").value_or(0) >=
             static_cast<double>(*version);
    };
    while (!std::ranges::all_of(site->members, is_active) &&
           UnixMicroseconds() - accepted < 60 * kMicrosecondsPerSecond) {
      SleepSeconds(0.01);
    }
    seconds.push_back(static_cast<double>(UnixMicroseconds() - accepted) /
                      kMicrosecondsPerSecond);
  }
  const auto print = [&](const char* metric, double percent,
                         std::optional<double> target) {
    Print({.scenario = "catalogue",
           .metric = metric,
           .unit = "s",
           .value = Percentile(seconds, percent),
           .target = target});
  };
  print("in_force_everywhere_p50", 50, std::nullopt);
  print("in_force_everywhere_max", 100, kTargetCatalogueSeconds);
  StopSite(*site);
  return true;
}

}  // namespace eelgrassbridge::bench
