// A small site whose daemons are separate processes. Their connections to the
// store, their target and other daemons pass through links with faults.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_FLEET_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_FLEET_HPP

#include <memory>
#include <string>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "link.hpp"
#include "process.hpp"
#include "row_standin.hpp"
#include "target_standin.hpp"

namespace eelgrassbridge::soak {

/// The platform kills a process this long after SIGTERM.
constexpr base::Duration kTerminationGrace = base::seconds{6};

/// @brief What last happened to the processes of a daemon and to their links.
/// An end is far in the future while the event lasts.
struct ProcessEvents {
  base::TimePoint killed_at{};
  /// SIGTERM, and the generation that got it.
  base::TimePoint stopped_at{};
  std::uint64_t stopped_generation = 0;
  base::TimePoint frozen_until{};
  base::TimePoint cut_until{};
};

/// @brief A VM with a daemon, its target and its links.
struct Vm {
  Vm(asio::io_context& io, const std::string& target_id)
      : target(io, target_id),
        store_link(io),
        target_link(io),
        daemon_link(io) {}

  std::string name;
  std::string data_centre;
  standins::TargetStandin target;
  Link store_link;
  Link target_link;
  Link daemon_link;
  std::string callers_address;
  std::string settings_file;
  std::string log_file;
  bench::Process process;
  /// Number of times that the daemon was started.
  std::uint64_t generation = 0;
  /// The daemon is being stopped, or has not been restarted yet.
  bool stopping = false;
  ProcessEvents events;
};

/// @brief Limits of callers' connections that a configuration sets.
struct ConnectionLimits {
  std::chrono::milliseconds head_timeout{200};
  std::chrono::milliseconds idle_timeout{300};
};

struct FleetOptions {
  /// Path of the eelgrassbridge binary.
  std::string program;
  /// Folder for settings and logs.
  std::string folder;
  /// Number of the loopback network in which the daemons listen.
  std::uint64_t network = 0;
  /// VMs whose service is divided by key.
  int divided_vms = 3;
  int other_vms = 2;
};

struct Fleet {
  Fleet(asio::io_context& event_loop, FleetOptions fleet_options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  asio::io_context& io;
  FleetOptions options;
  standins::RowStandin store;
  std::vector<std::unique_ptr<Vm>> vms;
  /// Latest version of the routes, and when it was written.
  std::uint64_t routes_version = 0;
  base::TimePoint routes_written_at{};
  /// Version of the configuration, which also counts changes of the limits.
  std::uint64_t config_version = 0;
  ConnectionLimits limits;
  ConnectionLimits previous_limits;
  /// Data centre that is out of service, and since when; empty: none.
  std::string evacuated_data_centre;
  base::TimePoint evacuated_at{};
};

/// @brief Starts the daemon of a VM.
void StartDaemon(Fleet& fleet, Vm& vm);

/// @brief Writes the next version of the routes: the routes of the load, and a
/// probe route that exists in this version only.
void WriteRoutes(Fleet& fleet);

/// @brief Writes a configuration with the latest routes and other limits.
void WriteLimits(Fleet& fleet, const ConnectionLimits& limits);

void TakeOutOfService(Fleet& fleet, const std::string& data_centre);
void ReturnToService(Fleet& fleet);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_FLEET_HPP
