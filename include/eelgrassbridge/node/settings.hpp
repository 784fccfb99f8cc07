// Settings of a node, which is a daemon that keeps all shared state in the
// platform's store.
#ifndef EELGRASSBRIDGE_NODE_SETTINGS_HPP
#define EELGRASSBRIDGE_NODE_SETTINGS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::node {

/// @brief Time limits and retry limits that the operators guarantee.
struct Bounds {
  /// Time from SIGTERM to SIGKILL.
  base::Duration grace{base::seconds{6}};
  /// Limit on the retries of a service's requests, over all daemons in a
  /// window: a ratio to the requests plus a constant number.
  double retry_ratio = 0.2;
  double retry_extra = 0;
  base::Duration retry_window{base::seconds{10}};
  /// Time after its acknowledgement by the store within which each change of
  /// the operator has to be in force.
  base::Duration change_in_force{base::milliseconds{2500}};
  /// Maximum time for which a target may hold ranges without a renewal.
  base::Duration max_hold{base::seconds{10}};
  /// Bound on the requests of an account with a rate, over all daemons in a
  /// window: (rate x window + burst) x (1 + overage) + tolerance. The buckets
  /// use a part of the tolerance and none of the overage, which is left for
  /// requests that reach a target later than they took their token.
  base::Duration quota_window{base::seconds{5}};
  double quota_overage = 0.1;
  double quota_tolerance = 20;

  bool operator==(const Bounds&) const = default;
};

/// @brief Whether the number of concurrent requests that the target handles
/// well is learned.
enum class LearnedCapacityMode : std::uint8_t {
  kOff,
  kOn,
  /// While the routes call for it; see catalogue::NeedsAdaptiveLimits().
  kAuto,
};

struct NodeSettings {
  std::string name;
  std::string data_centre;
  std::string region;
  /// Region by data centre.
  std::map<std::string, std::string, std::less<>> regions;
  /// Addresses to listen on, "IP:PORT".
  std::string callers;
  std::string peers;
  std::string readiness;
  std::string reports;
  /// Listen address for other daemons if they connect to `peers` through a
  /// relay; empty: listen on `peers`.
  std::string peers_listen;
  /// Address of the target beside this daemon, "IP:PORT".
  std::string target_address;
  std::string service;
  std::string store_address;
  std::uint32_t max_descriptors = 1024;
  /// Rate of the VM's link in Mbit/s; 0 if unknown.
  double link_mbps = 0;
  LearnedCapacityMode learned_capacity = LearnedCapacityMode::kOff;
  /// The whole system starts for the first time, so no process holds a lease
  /// that the store does not know.
  bool first_start = false;
  Bounds bounds;

  bool operator==(const NodeSettings&) const = default;
};

/// @brief Parses settings from YAML. Fails with kSettingsInvalid; the detail
/// lists all problems that were found, with their lines.
base::Result<NodeSettings> ReadNodeSettings(std::string_view file_name,
                                            std::string_view text);

/// @brief Reads settings from a file; fails as ReadNodeSettings() does, and if
/// the file cannot be read.
base::Result<NodeSettings> ReadNodeSettingsFile(const std::string& file_name);

/// @brief Region of a data centre; empty if the data centre is unknown.
std::string_view RegionOf(const NodeSettings& settings,
                          std::string_view data_centre);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_SETTINGS_HPP
