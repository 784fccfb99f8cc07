// Settings of a node: a daemon that keeps all shared state in the store of the
// platform.
#ifndef EELGRASSBRIDGE_NODE_SETTINGS_HPP
#define EELGRASSBRIDGE_NODE_SETTINGS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::node {

/// @brief Times and bounds that the operators promise to callers.
struct Bounds {
  /// From SIGTERM to the kill.
  base::Duration grace{base::seconds{6}};
  /// Repeats of requests of a service, over all daemons, in a window.
  double retry_ratio = 0.2;
  double retry_extra = 0;
  base::Duration retry_window{base::seconds{10}};
  base::Duration longest_hold{base::seconds{10}};

  bool operator==(const Bounds&) const = default;
};

struct NodeSettings {
  std::string name;
  std::string data_centre;
  std::string region;
  /// Region of each data centre.
  std::map<std::string, std::string, std::less<>> regions;
  /// Addresses to listen on, "IP:PORT".
  std::string callers;
  std::string peers;
  std::string readiness;
  std::string reports;
  /// Where to listen for other daemons, if they reach `peers` through a relay;
  /// empty: at `peers`.
  std::string peers_listen;
  /// The target beside this daemon.
  std::string target_address;
  std::string service;
  std::string store_address;
  std::uint32_t max_descriptors = 1024;
  Bounds bounds;

  bool operator==(const NodeSettings&) const = default;
};

/// @brief Reads settings from YAML; an error names all that is wrong.
base::Result<NodeSettings> ReadNodeSettings(std::string_view file_name,
                                            std::string_view text);

/// @brief The same from a file.
base::Result<NodeSettings> ReadNodeSettingsFile(const std::string& file_name);

/// @brief Region of a data centre; empty if it is not known.
std::string_view RegionOf(const NodeSettings& settings,
                          std::string_view data_centre);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_SETTINGS_HPP
