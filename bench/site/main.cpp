// site_runner SCENARIO [--short] [--losses N] [--sizes A,B] [--memory]
// Runs one scenario and prints its figures as JSON lines.
// site_runner serve [--seconds N] starts the Astillas site for that time.
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <map>
#include <sstream>

#include "scenarios.hpp"
#include "site_client.hpp"

namespace eelgrassbridge::bench {
namespace {

using Scenario = bool (*)(const ScenarioOptions&);

const std::map<std::string, Scenario>& Scenarios() {
  static const std::map<std::string, Scenario> all{
      {"throughput", MeasureThroughput},
      {"hot_key", MeasureHotKey},
      {"owner_lost", MeasureOwnerLost},
      {"restart_all", MeasureRestartAll},
      {"store_outage", MeasureStoreOutage},
      {"data_centre_out_and_back", MeasureDataCentre},
      {"graceful_stop", MeasureGracefulStop},
      {"freeze", MeasureFreeze},
      {"region_cut", MeasureRegionCut},
      {"residency_search", MeasureResidencySearch},
      {"poison_site", MeasurePoison},
      {"store_budget", MeasureStoreBudget},
      {"control_cost", MeasureControlCost},
      {"catalogue", MeasureCatalogue}};
  return all;
}

std::vector<std::uint32_t> ReadSizes(const std::string& text) {
  std::vector<std::uint32_t> sizes;
  std::istringstream stream(text);
  for (std::string size; std::getline(stream, size, ',');) {
    sizes.push_back(static_cast<std::uint32_t>(std::stoul(size)));
  }
  return sizes;
}

// Prints one line for each member: name, data centre, service, HTTP port.
bool Serve(const SiteOptions& options, double seconds) {
  const auto example = ReadExampleSite(options, "astillas");
  if (!example) {
    return false;
  }
  // Blocked, so that a signal during the start is handled by sigtimedwait below
  // and the site is stopped gracefully.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  auto site = StartSite(*example, "serve");
  if (!site) {
    return false;
  }
  for (const auto& member : site->members) {
    std::printf("%s %s %s 127.0.0.1:%d\n", member.spec.name.c_str(),
                member.spec.data_centre.c_str(), member.spec.service.c_str(),
                member.http_port);
  }
  std::printf("ready %s\n", site->folder.c_str());
  std::fflush(stdout);
  const timespec limit{.tv_sec = static_cast<time_t>(seconds), .tv_nsec = 0};
  sigtimedwait(&signals, nullptr, &limit);
  StopSite(*site);
  return true;
}

int Run(int count, const char* const* arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options options("site_runner", "Runs one measurement scenario.");
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  options.add_options()("scenario", "Name of the scenario, or serve", text(""))(
      "short", "Shorter outages and fewer repetitions")(
      "memory", "In-memory store, one daemon")(
      "losses", "Daemons to kill in owner_lost", text("100"))(
      "sizes", "Fleet sizes of store_budget and control_cost",
      text("5,20,40,80"))("programs", "Folder of the programs",
                          text("build/bin"))(
      "examples", "Folder of the examples", text("examples"))(
      "base-port", "First port to use", text("23000"))(
      "seconds", "Duration of serve", text("300"));
  options.parse_positional({"scenario"});
  const auto parsed = options.parse(count, arguments);
  const auto value = [&](const char* name) {
    return parsed[name].as<std::string>();
  };
  ScenarioOptions scenario;
  scenario.site.programs = value("programs");
  scenario.site.examples = value("examples");
  scenario.site.base_port = std::stoi(value("base-port"));
  scenario.site.memory_store = parsed.count("memory") > 0;
  scenario.is_short = parsed.count("short") > 0;
  scenario.losses = static_cast<std::uint32_t>(std::stoul(value("losses")));
  scenario.sizes = ReadSizes(value("sizes"));
  if (value("scenario") == "serve") {
    return Serve(scenario.site, std::stod(value("seconds"))) ? 0 : 1;
  }
  const auto found = Scenarios().find(value("scenario"));
  if (found == Scenarios().end()) {
    for (const auto& [name, function] : Scenarios()) {
      std::puts(name.c_str());
    }
    return 2;
  }
  return found->second(scenario) ? 0 : 1;
}

}  // namespace
}  // namespace eelgrassbridge::bench

int main(int count, char** arguments) {
  return eelgrassbridge::bench::Run(count, arguments);
}
