// Randomized soak test: runs daemons as processes, injects faults from outside
// and checks the product's guarantees. Prints one line of JSON per seed.
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <chrono>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "callers.hpp"
#include "checker.hpp"
#include "cold_changes.hpp"
#include "faults.hpp"
#include "fleet.hpp"
#include "kept_callers.hpp"
#include "limit_changes.hpp"

namespace eelgrassbridge::soak {
namespace {

/// Time from the start of the daemons to the first fault.
constexpr std::chrono::seconds kStartupTime{8};
/// Requests in flight end within their deadline and a second.
constexpr std::chrono::seconds kDrainTime{4};

struct Run {
  Run(asio::io_context& io, FleetOptions options, std::uint64_t seed)
      : fleet(io, std::move(options)),
        checker(fleet),
        callers(checker, seed, {}),
        faults(checker, seed),
        limit_changes(faults, seed),
        cold_changes(faults, callers, seed) {}

  Fleet fleet;
  Checker checker;
  Callers callers;
  Faults faults;
  LimitChanges limit_changes;
  ColdChanges cold_changes;
  /// Targets become cold.
  bool cold = false;
};

asio::awaitable<void> RunSoak(Run& run, std::chrono::seconds time) {
  asio::io_context& io = run.fleet.io;
  run.checker.disturbance.undisturbed_since =
      base::BootClock::now() + kStartupTime;
  AttachChecker(run.checker);
  co_await http::Sleep(io, kStartupTime);
  Start(run.callers);
  StartKept(run.callers);
  asio::co_spawn(io, RunLimitChanges(run.limit_changes, time), asio::detached);
  if (run.cold) {
    asio::co_spawn(io, RunColdChanges(run.cold_changes, time), asio::detached);
  }
  asio::co_spawn(io, WatchPauses(run.checker), asio::detached);
  co_await RunFaults(run.faults, time);
  co_await AwaitRecovery(run.callers);
  run.callers.running = false;
  co_await http::Sleep(io, kDrainTime);
  CheckRequests(run.checker);
  io.stop();
}

nlohmann::json KeptReport(const Run& run) {
  const KeptCounts& kept = run.checker.kept;
  return {{"connections", kept.connections},
          {"requests", kept.requests},
          {"split_heads", kept.split_heads},
          {"answered", kept.answered},
          {"answers_cut", kept.answers_cut},
          {"gave_up", kept.gave_up},
          {"crossed", kept.crossed},
          {"passed_on_unanswered", kept.unanswered},
          {"limit_changes", run.limit_changes.count}};
}

nlohmann::json ReportOf(const Run& run, std::uint64_t seed) {
  return {{"seed", seed},
          {"answered", run.checker.answered},
          {"refused", run.checker.refused},
          {"failed", run.checker.failed},
          {"kept", KeptReport(run)},
          {"cold",
           {{"changes", run.cold_changes.count},
            {"arrivals", run.checker.cold_arrival_count},
            {"most_in_one_second", run.checker.most_cold_arrivals},
            {"pauses", run.checker.pause_count}}},
          {"violations", run.checker.violations},
          {"faults", run.faults.history}};
}

/// Runs one seed. Returns whether there were no violations.
bool RunSeed(const std::string& program,
             const std::string& folder,
             std::uint64_t seed,
             std::chrono::seconds time,
             bool cold) {
  // Suspended coroutines refer to the run until the process ends, so neither
  // the io_context nor the run is destroyed, and the daemons are stopped
  // explicitly.
  auto* const io = new asio::io_context(1);
  auto* const run = new Run(
      *io, {program, folder + "/seed-" + std::to_string(seed), seed}, seed);
  run->cold = cold;
  asio::co_spawn(*io, RunSoak(*run, time), asio::detached);
  io->run();
  for (const auto& vm : run->fleet.vms) {
    bench::Signal(vm->process, SIGCONT);
    bench::Stop(vm->process, SIGKILL);
  }
  std::cout << ReportOf(*run, seed).dump() << std::endl;
  return run->checker.violations.empty();
}

int Main(int argc, char** argv) {
  cxxopts::Options options("soak", "Injects random faults into real daemons");
  options.add_options()("seed", "First seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "count", "Number of seeds",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "Duration of the faults of each seed",
      cxxopts::value<int>()->default_value("20"))(
      "cold",
      "Make targets cold, with faults that leave little undisturbed time")(
      "program", "Path of the eelgrassbridge binary",
      cxxopts::value<std::string>()->default_value("build/bin/eelgrassbridge"))(
      "folder", "Folder for settings and logs",
      cxxopts::value<std::string>()->default_value("build/soak"))("h,help",
                                                                  "Help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  const auto first = parsed["seed"].as<std::uint64_t>();
  const auto count = parsed["count"].as<std::uint64_t>();
  bool passed = true;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    passed = RunSeed(parsed["program"].as<std::string>(),
                     parsed["folder"].as<std::string>(), seed,
                     std::chrono::seconds{parsed["seconds"].as<int>()},
                     parsed.count("cold") > 0) &&
             passed;
  }
  return passed ? 0 : 1;
}

}  // namespace
}  // namespace eelgrassbridge::soak

int main(int argc, char** argv) {
  return eelgrassbridge::soak::Main(argc, argv);
}
