// Addresses, settings files and processes of the site.
#include "fleet.hpp"

#include <spdlog/fmt/fmt.h>

#include <asio/ip/tcp.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "eelgrassbridge/http/client.hpp"

namespace eelgrassbridge::soak {

namespace {

constexpr std::string_view kDivided = "keys";
constexpr std::string_view kOther = "desk";
/// Targets' clocks may run this much slow.
constexpr double kSlowClock = 1.02;

// Ports of a daemon. Each place has a loopback address of its own, so no other
// program is given one of them meanwhile.
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

std::string SettingsText(const Place& place,
                         const std::string& peers_listen,
                         const std::string& readiness) {
  return fmt::format(
      "name: {}\ndata_centre: {}\nregion: {}\n"
      "data_centres: {{a1: a, a2: a, b1: b}}\n"
      "callers: {}\npeers: {}\npeers_listen: {}\nreadiness: {}\nreports: {}\n"
      "target_address: {}\nservice: {}\nstore_address: {}\n"
      "max_descriptors: 1024\ngrace_seconds: 6\nretry_ratio: 0.2\n"
      "retry_extra: 60\nretry_window_seconds: 10\nlongest_hold_seconds: 10\n",
      place.name, place.data_centre, place.data_centre.substr(0, 1),
      place.callers, place.to_daemon.address, peers_listen, readiness,
      place.target.reports_address, place.target.address, place.target.service,
      place.to_store.address);
}

void AddPlace(Fleet& fleet, int number, std::string_view service) {
  static constexpr std::array<std::string_view, 3> kDataCentres = {"a1", "a2",
                                                                   "b1"};
  auto place =
      std::make_unique<Place>(fleet.io, fmt::format("target-{}", number));
  place->name = fmt::format("vm-{}", number);
  place->data_centre =
      kDataCentres[static_cast<std::size_t>(number) % kDataCentres.size()];
  standins::TargetStandin& target = place->target;
  target.service = service;
  target.divided = service == kDivided;
  target.hold_stretch = kSlowClock;
  target.reports_address = AddressOf(fleet, number, kReportsPort);
  Start(target);
  Start(place->to_target, EndpointOf(target.address));
  // The target announces the address at which its daemon reaches it.
  target.address = place->to_target.address;
  Start(place->to_store, fleet.store.server.acceptor->local_endpoint());
  const std::string peers_listen = AddressOf(fleet, number, kPeersPort);
  Start(place->to_daemon, EndpointOf(peers_listen));
  place->callers = AddressOf(fleet, number, kCallersPort);
  place->settings_file =
      fmt::format("{}/{}.yaml", fleet.options.folder, place->name);
  place->log_file = fmt::format("{}/{}.log", fleet.options.folder, place->name);
  std::ofstream(place->settings_file) << SettingsText(
      *place, peers_listen, AddressOf(fleet, number, kReadinessPort));
  fleet.places.push_back(std::move(place));
}

}  // namespace

Fleet::Fleet(asio::io_context& event_loop, FleetOptions fleet_options)
    : io(event_loop), options(std::move(fleet_options)), store(event_loop) {
  std::filesystem::create_directories(this->options.folder);
  Start(this->store);
  WriteRoutes(*this);
  int number = 0;
  for (int i = 0; i < this->options.divided_places; ++i) {
    AddPlace(*this, number++, kDivided);
  }
  for (int i = 0; i < this->options.other_places; ++i) {
    AddPlace(*this, number++, kOther);
  }
  for (const auto& place : this->places) {
    StartDaemon(*this, *place);
    StartReports(place->target);
  }
}

Fleet::~Fleet() {
  for (const auto& place : this->places) {
    bench::Signal(place->process, SIGCONT);
    bench::Stop(place->process, SIGKILL);
  }
}

void StartDaemon(Fleet& fleet, Place& place) {
  place.process = bench::Launch(
      {fleet.options.program, "node", "--settings", place.settings_file},
      place.log_file);
  ++place.life;
  place.ending = false;
}

void WriteRoutes(Fleet& fleet) {
  ++fleet.routes_version;
  fleet.routes_written_at = base::BootClock::now();
  const std::string routes = fmt::format(
      R"(["r1","h","/keys/","idempotent",2,0.5,1,"keys",2,[],null],)"
      R"(["r2","h","/read/","idempotent",2,0.5,1,"desk",2,[],null],)"
      R"(["r3","h","/write/","non_idempotent",2,0.5,0,"desk",2,[],null],)"
      R"(["r4","h","/upload/","upload",4,1,1,"desk",2,[],null],)"
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
          R"("header_timeout_s":3,"idle_timeout_s":15}}}})",
          fleet.routes_version, routes));
}

void TakeOut(Fleet& fleet, const std::string& data_centre) {
  fleet.data_centre_out = data_centre;
  fleet.out_since = base::BootClock::now();
  standins::PutOperatorRow(fleet.store, "evacuate/" + data_centre, "{}");
}

void TakeBack(Fleet& fleet) {
  if (fleet.data_centre_out.empty()) {
    return;
  }
  standins::RemoveOperatorRow(fleet.store, "evacuate/" + fleet.data_centre_out);
  fleet.data_centre_out.clear();
}

}  // namespace eelgrassbridge::soak
