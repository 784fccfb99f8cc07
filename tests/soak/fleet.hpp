// A small site of real processes: each daemon is a program of its own, and all
// its connections to the store, its target and other daemons pass a link.
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

/// @brief A VM: a daemon, the target beside it and the links of the daemon.
struct Place {
  Place(asio::io_context& io, const std::string& target_id)
      : target(io, target_id), to_store(io), to_target(io), to_daemon(io) {}

  std::string name;
  std::string data_centre;
  standins::TargetStandin target;
  Link to_store;
  Link to_target;
  Link to_daemon;
  std::string callers;
  std::string settings_file;
  std::string log_file;
  bench::Process process;
  /// Number of the daemon's present life.
  std::uint64_t life = 0;
  /// The daemon was told to end, or is between two lives.
  bool ending = false;
};

struct FleetOptions {
  /// The built program.
  std::string program;
  /// Settings and logs go here.
  std::string folder;
  /// Number of the loopback network that the daemons listen in.
  std::uint64_t network = 0;
  int divided_places = 3;
  int other_places = 2;
};

struct Fleet {
  Fleet(asio::io_context& event_loop, FleetOptions fleet_options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  asio::io_context& io;
  FleetOptions options;
  standins::RowStandin store;
  std::vector<std::unique_ptr<Place>> places;
  /// Newest version of the routes, and when it was written.
  std::uint64_t routes_version = 0;
  base::TimePoint routes_written_at{};
  /// When a data centre was taken out of service; zero: it is in service.
  std::string data_centre_out;
  base::TimePoint out_since{};
};

/// @brief Starts the daemon of a place.
void StartDaemon(Fleet& fleet, Place& place);

/// @brief The next version of the routes; only its own probe route exists
/// beside the routes of the load.
void WriteRoutes(Fleet& fleet);

void TakeOut(Fleet& fleet, const std::string& data_centre);
void TakeBack(Fleet& fleet);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_FLEET_HPP
