// Addresses, settings files and processes of the soak test's site.
#include "fleet.hpp"

#include <spdlog/fmt/fmt.h>

#include <asio/ip/tcp.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/endpoint.hpp"

namespace eelgrassbridge::soak {

namespace {

constexpr std::string_view kDivided = "keys";
constexpr std::string_view kOther = "desk";
/// Largest factor by which a target's clock may run slow.
constexpr double kClockSlowdown = 1.02;

// Ports of a daemon. Each VM has its own loopback address, so that the ports of
// a stopped daemon are not allocated to other programs.
constexpr int kPeersPort = 8300;
constexpr int kReadinessPort = 8302;
constexpr int kCallersPort = 8304;
constexpr int kReportsPort = 8306;

std::string AddressOf(const Fleet& fleet, int number, int port) {
  const std::uint64_t network = fleet.options.network;
  return fmt::format("127.{}.{}.{}:{}", 1 + network / 256 % 250, network % 256,
                     number + 1, port);
}

asio::ip::tcp::endpoint EndpointOf(const std::string& address) {
  return *http::ParseEndpoint(address);
}

std::string SettingsText(const Vm& vm,
                         const std::string& peers_listen,
                         const std::string& readiness) {
  return fmt::format(
      "name: {}\ndata_centre: {}\nregion: {}\n"
      "data_centres: {{a1: a, a2: a, b1: b}}\n"
      "callers: {}\npeers: {}\npeers_listen: {}\nreadiness: {}\nreports: {}\n"
      "target_address: {}\nservice: {}\nstore_address: {}\n"
      "max_descriptors: 1024\nfirst_start: true\ngrace_seconds: 6\n"
      "retry_ratio: 0.2\n"
      "retry_extra: 60\nretry_window_seconds: 10\nlongest_hold_seconds: 10\n",
      vm.name, vm.data_centre, vm.data_centre.substr(0, 1), vm.callers_address,
      vm.daemon_link.address, peers_listen, readiness,
      vm.target.reports_address, vm.target.address, vm.target.service,
      vm.store_link.address);
}

void AddVm(Fleet& fleet, int number, std::string_view service) {
  static constexpr std::array<std::string_view, 3> kDataCentres = {"a1", "a2",
                                                                   "b1"};
  auto vm = std::make_unique<Vm>(fleet.io, fmt::format("target-{}", number));
  vm->name = fmt::format("vm-{}", number);
  vm->data_centre =
      kDataCentres[static_cast<std::size_t>(number) % kDataCentres.size()];
  standins::TargetStandin& target = vm->target;
  target.service = service;
  target.divided = service == kDivided;
  target.clock_slowdown = kClockSlowdown;
  target.reports_address = AddressOf(fleet, number, kReportsPort);
  Start(target);
  Start(vm->target_link, EndpointOf(target.address));
  // The target announces the link's address, through which its daemon connects.
  target.address = vm->target_link.address;
  Start(vm->store_link, fleet.store.server.acceptor->local_endpoint());
  const std::string peers_listen = AddressOf(fleet, number, kPeersPort);
  Start(vm->daemon_link, EndpointOf(peers_listen));
  vm->callers_address = AddressOf(fleet, number, kCallersPort);
  vm->settings_file = fmt::format("{}/{}.yaml", fleet.options.folder, vm->name);
  vm->log_file = fmt::format("{}/{}.log", fleet.options.folder, vm->name);
  std::ofstream(vm->settings_file) << SettingsText(
      *vm, peers_listen, AddressOf(fleet, number, kReadinessPort));
  fleet.vms.push_back(std::move(vm));
}

double Seconds(std::chrono::milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

void WriteConfig(Fleet& fleet) {
  ++fleet.config_version;
  const std::string routes = fmt::format(
      R"(["r1","h","/keys/","idempotent",2,0.5,1,"keys",2,[],null],)"
      R"(["r2","h","/read/","idempotent",2,0.5,1,"desk",2,[],null],)"
      R"(["r3","h","/write/","non_idempotent",2,0.5,0,"desk",2,[],null],)"
      R"(["r4","h","/upload/","upload",4,1,1,"desk",2,[],null],)"
      R"(["r5","h","/patient/","idempotent",6,2,1,"desk",2,[],null],)"
      R"(["p{0}","h","/version-{0}/","idempotent",2,0.5,1,"desk",2,[],null])",
      fleet.routes_version);
  standins::PutOperatorRow(
      fleet.store, "config",
      fmt::format(
          R"({{"version":{},"routes":{{"columns":["name","host","prefix",)"
          R"("type","timeout_s","target_latency_s","priority","service",)"
          R"("max_attempts","regions_allowed","split"],"rows":[{}]}},)"
          R"("services":{{"columns":["name","health_path","max_connections",)"
          R"("cold_per_s","sharded"],"rows":[["keys","/h",100,17,true],)"
          R"(["desk","/h",100,17,null]]}},"limits":{{)"
          R"("max_header_bytes":16384,"max_body_bytes":4194304,)"
          R"("header_timeout_s":{},"idle_timeout_s":{}}}}})",
          fleet.config_version, routes, Seconds(fleet.limits.head_timeout),
          Seconds(fleet.limits.idle_timeout)));
}

}  // namespace

Fleet::Fleet(asio::io_context& event_loop, FleetOptions fleet_options)
    : io(event_loop), options(std::move(fleet_options)), store(event_loop) {
  std::filesystem::create_directories(this->options.folder);
  Start(this->store);
  WriteRoutes(*this);
  int number = 0;
  for (int i = 0; i < this->options.divided_vms; ++i) {
    AddVm(*this, number++, kDivided);
  }
  for (int i = 0; i < this->options.other_vms; ++i) {
    AddVm(*this, number++, kOther);
  }
  for (const auto& vm : this->vms) {
    StartDaemon(*this, *vm);
    StartReports(vm->target);
  }
}

Fleet::~Fleet() {
  for (const auto& vm : this->vms) {
    bench::Signal(vm->process, SIGCONT);
    bench::Stop(vm->process, SIGKILL);
  }
}

void StartDaemon(Fleet& fleet, Vm& vm) {
  vm.process = bench::Launch(
      {fleet.options.program, "node", "--settings", vm.settings_file},
      vm.log_file);
  ++vm.generation;
  vm.events.frozen_until = {};
  vm.stopping = false;
}

void WriteRoutes(Fleet& fleet) {
  ++fleet.routes_version;
  fleet.routes_written_at = base::BootClock::now();
  WriteConfig(fleet);
}

void WriteLimits(Fleet& fleet, const ConnectionLimits& limits) {
  fleet.previous_limits = std::exchange(fleet.limits, limits);
  WriteConfig(fleet);
}

void TakeOutOfService(Fleet& fleet, const std::string& data_centre) {
  fleet.evacuated_data_centre = data_centre;
  fleet.evacuated_at = base::BootClock::now();
  standins::PutOperatorRow(fleet.store, "evacuate/" + data_centre, "{}");
}

void ReturnToService(Fleet& fleet) {
  if (fleet.evacuated_data_centre.empty()) {
    return;
  }
  standins::RemoveOperatorRow(fleet.store,
                              "evacuate/" + fleet.evacuated_data_centre);
  fleet.evacuated_data_centre.clear();
}

}  // namespace eelgrassbridge::soak
