// A complete site on the loopback network.
#include "site.hpp"

#include <httplib.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "eelgrassbridge/settings/read_settings.hpp"
#include "site_links.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr double kReadySeconds = 60;
constexpr std::size_t kSeeds = 3;
// A worker is a thread; 80 targets with 256 each would be 20,480 threads.
constexpr std::size_t kWorkers = 256;
constexpr std::size_t kWorkersInLargeFleet = 16;
constexpr std::size_t kLargeFleet = 20;

// Key pair and token hash of the examples, for use on loopback only.
constexpr std::string_view kKeysYaml = R"(keys:
  public_key: "mH$w9/sM5JW}%BH@z(eWV.ln8B{&1Dy@ak:LvOLO"
  secret_key: "5h$:<4sbt4NAg9Kjx5C([hsZ/Ckj>(mk/Xa?o2%0"
operators:
  - name: example
    sha256: 85d9eca1e1333c40e4ae3a54a6796b1559608a0458a173777171ee2c9023f225
    scopes: [read, change_catalogue, take_out]
)";

std::string SettingsYaml(const Site& site, const Member& member) {
  std::string yaml = fmt::format(
      "site: astillas\nname: {}\nregion: {}\ndata_centre: {}\n"
      "http: 127.0.0.1:{}\npeer: 127.0.0.1:{}\nseeds:\n",
      member.spec.name, member.spec.region, member.spec.data_centre,
      member.http_port, member.peer_port);
  const std::size_t seeds = std::min(kSeeds, site.members.size());
  for (std::size_t index = 0; index < seeds; ++index) {
    yaml += fmt::format("  - 127.0.0.1:{}\n", site.members[index].peer_port);
  }
  yaml += fmt::format(
      "target:\n  address: 127.0.0.1:{}\n  service: {}\n  slots: {}\n"
      "  connections: 120\n  checks_fencing: {}\n",
      member.target_port, member.spec.service, site.options.slots,
      member.spec.checks_fencing);
  yaml += site.options.memory_store
              ? std::string("store: memory\n")
              : fmt::format("store:\n  address: 127.0.0.1:{}\n  timeout: 1s\n",
                            site.table_port);
  yaml += kKeysYaml;
  yaml +=
      fmt::format("initial_catalogue_file: {}/catalogue.yaml\n", site.folder);
  return yaml;
}

void WriteFile(const std::string& name, std::string_view text) {
  std::ofstream(name) << text;
}

std::string Program(const Site& site, std::string_view name) {
  return fmt::format("{}/{}", site.options.programs, name);
}

void AddMembers(Site& site) {
  int port = site.options.base_port;
  site.table_port = port++;
  for (const auto& spec : site.options.members) {
    Member member;
    member.spec = spec;
    member.http_port = port++;
    member.peer_port = port++;
    member.target_port = port++;
    member.settings_file = site.folder + "/" + spec.name + ".yaml";
    site.members.push_back(std::move(member));
  }
}

}  // namespace

std::optional<SiteOptions> ReadExampleSite(SiteOptions options,
                                           std::string_view name) {
  const auto folder =
      std::filesystem::path(options.examples) / std::string(name);
  std::vector<std::filesystem::path> files;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (entry.path().filename() != "catalogue.yaml") {
      files.push_back(entry.path());
    }
  }
  std::ranges::sort(files);
  for (const auto& file : files) {
    const auto read = settings::ReadSettingsFile(file.string());
    if (!read) {
      std::fprintf(stderr, "%s\n", read.error().detail.c_str());
      return std::nullopt;
    }
    const auto& value = read.value();
    options.members.push_back({.name = value.name,
                               .region = value.region,
                               .data_centre = value.data_centre,
                               .service = value.target.service,
                               .checks_fencing = value.target.checks_fencing});
  }
  std::ostringstream text;
  text << std::ifstream(folder / "catalogue.yaml").rdbuf();
  options.catalogue_yaml = text.str();
  return options.members.empty() ? std::nullopt : std::optional(options);
}

SiteOptions MakeListingSite(SiteOptions options, std::uint32_t count) {
  struct Location {
    std::string_view region;
    std::string_view data_centre;
  };
  constexpr std::array<Location, 4> kLocations{{{"sur", "sur-cerro"},
                                                {"sur", "sur-canelones"},
                                                {"litoral", "litoral-paysandu"},
                                                {"litoral", "litoral-salto"}}};
  for (std::uint32_t index = 0; index < count; ++index) {
    const Location& location = kLocations[index % kLocations.size()];
    options.members.push_back({.name = fmt::format("listing-{}", index + 1),
                               .region = std::string(location.region),
                               .data_centre = std::string(location.data_centre),
                               .service = "listing",
                               .checks_fencing = true});
  }
  options.catalogue_yaml = fmt::format(
      R"(site: astillas
data_centres:
  - {{name: sur-cerro, region: sur}}
  - {{name: sur-canelones, region: sur}}
  - {{name: litoral-paysandu, region: litoral}}
  - {{name: litoral-salto, region: litoral}}
services:
  - name: listing
    owner: listings team, listings@astillas.example
    divided_by_key: true
    instances: {}
    groups_per_instance: 4
    run_limit: 1s
    regions: [litoral, sur]
    kinds:
      - {{name: view, idempotent: true, deadline: 1s}}
      - {{name: claim, idempotent: false, deadline: 2s}}
)",
      count);
  return options;
}

void StartTarget(Site& site, Member& member) {
  std::vector<std::string> arguments{
      Program(site, "standin_target"),
      "--port",
      std::to_string(member.target_port),
      "--name",
      member.spec.name,
      "--service",
      member.spec.service,
      "--slots",
      std::to_string(site.options.slots),
      "--service-time-us",
      std::to_string(site.options.service_time_us),
      "--run-log",
      RunLogFile(site),
      "--workers",
      std::to_string(site.members.size() > kLargeFleet ? kWorkersInLargeFleet
                                                       : kWorkers)};
  if (site.options.targets_start_warm) {
    arguments.emplace_back("--warm");
  }
  if (member.spec.checks_fencing) {
    arguments.emplace_back("--fencing");
  }
  member.target =
      Launch(arguments, site.folder + "/" + member.spec.name + ".target.log");
}

void StartDaemon(Site& site, Member& member) {
  member.daemon = Launch({Program(site, "eelgrassbridge"), "daemon",
                          "--settings", member.settings_file},
                         site.folder + "/" + member.spec.name + ".log",
                         LinkEnvironment(site, member.spec.region));
}

bool WaitReady(const Member& member, double seconds) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (IsRunning(member.daemon) && std::chrono::steady_clock::now() < end) {
    httplib::Client client("127.0.0.1", member.http_port);
    client.set_read_timeout(std::chrono::seconds{1});
    if (const auto reply = client.Get("/ready");
        reply && reply->status == 200) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  }
  return false;
}

std::optional<Site> StartSite(const SiteOptions& options,
                              std::string_view name) {
  Site site;
  site.options = options;
  site.folder = fmt::format("{}/eelgrassbridge-{}-{}",
                            std::filesystem::temp_directory_path().string(),
                            name, ::getpid());
  std::filesystem::remove_all(site.folder);
  std::filesystem::create_directories(site.folder);
  AddMembers(site);
  WriteFile(site.folder + "/catalogue.yaml", options.catalogue_yaml);
  site.table = Launch({Program(site, "standin_table"), "--port",
                       std::to_string(site.table_port), "--workers", "512"},
                      site.folder + "/table.log");
  StartLinks(site);
  for (auto& member : site.members) {
    WriteFile(member.settings_file, SettingsYaml(site, member));
    StartTarget(site, member);
  }
  for (auto& member : site.members) {
    StartDaemon(site, member);
  }
  for (const auto& member : site.members) {
    if (!WaitReady(member, kReadySeconds)) {
      std::fprintf(stderr, "%s exited or was not ready within %.0f s, see %s\n",
                   member.spec.name.c_str(), kReadySeconds,
                   site.folder.c_str());
      StopSite(site);
      return std::nullopt;
    }
  }
  return site;
}

void StopSite(Site& site) {
  for (auto& member : site.members) {
    if (member.daemon.pid != 0) {
      ::kill(member.daemon.pid, SIGTERM);
    }
  }
  for (auto& member : site.members) {
    // Signal 0 only waits, since a second SIGTERM would abort the drain.
    if (const int status = Stop(member.daemon, 0); status != 0) {
      std::fprintf(stderr, "%s exited with status %d, see %s\n",
                   member.spec.name.c_str(), status, site.folder.c_str());
    }
    Stop(member.target, SIGTERM);
  }
  for (auto& link : site.links) {
    Stop(link.process, SIGTERM);
  }
  Stop(site.table, SIGTERM);
}

std::string RunLogFile(const Site& site) {
  return site.folder + "/runs.jsonl";
}

}  // namespace eelgrassbridge::bench
