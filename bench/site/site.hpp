// A complete site on the loopback network: table stand-in, daemons and targets.
#ifndef EELGRASSBRIDGE_BENCH_SITE_SITE_HPP
#define EELGRASSBRIDGE_BENCH_SITE_SITE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process.hpp"

namespace eelgrassbridge::bench {

/// @brief Location and service of a daemon and its target.
struct MemberSpec {
  std::string name;
  std::string region;
  std::string data_centre;
  std::string service;
  bool checks_fencing = false;
};

struct SiteOptions {
  /// Folder with the programs, e.g. build/bin.
  std::string programs;
  /// Folder of the example sites, for ReadExampleSite.
  std::string examples;
  /// Port of the table. Each member gets the next three ports.
  int base_port = 23000;
  std::vector<MemberSpec> members;
  std::string catalogue_yaml;
  std::uint32_t slots = 9;
  std::int64_t service_time_us = 1000;
  bool targets_start_warm = true;
  /// Use the in-memory store instead of the table, for a site of one daemon.
  bool memory_store = false;
  /// Connections between daemons of different regions, and to the table from
  /// another region, pass through link stand-ins. The table is in the first
  /// member's region.
  bool links_between_regions = false;
  /// All connections of this region's daemons to daemons, targets and the
  /// table, and connections from other regions to it, pass through links that
  /// record the traffic.
  std::string recorded_region;
};

struct Member {
  MemberSpec spec;
  int http_port = 0;
  int peer_port = 0;
  int target_port = 0;
  std::string settings_file;
  Process daemon;
  Process target;
};

/// @brief A link for connections of one region's daemons to one port.
struct SiteLink {
  std::string from_region;
  std::string to_region;
  int to_port = 0;
  int port = 0;
  int admin_port = 0;
  Process process;
};

struct Site {
  SiteOptions options;
  /// Temporary folder with settings and logs. Not deleted when the site stops.
  std::string folder;
  int table_port = 0;
  Process table;
  std::vector<Member> members;
  std::vector<SiteLink> links;
};

/// @brief Adds the members and the catalogue of examples/<name>. None, with a
/// message on standard error, if a settings file is invalid.
std::optional<SiteOptions> ReadExampleSite(SiteOptions options,
                                           std::string_view name);

/// @brief Adds `count` members of the listing service, spread over the data
/// centres of Astillas.
SiteOptions MakeListingSite(SiteOptions options, std::uint32_t count);

/// @brief Writes the settings, starts all processes and waits until each daemon
/// is ready. None if a daemon is not ready in time.
std::optional<Site> StartSite(const SiteOptions& options,
                              std::string_view name);

/// @brief Stops all daemons at once, then the other processes.
void StopSite(Site& site);

void StartTarget(Site& site, Member& member);
void StartDaemon(Site& site, Member& member);

/// @brief Waits until the daemon reports that it is ready. False if it exits or
/// is not ready in time.
bool WaitReady(const Member& member, double seconds);

/// @brief Cuts or restores all links from one region to the other. `cut` is
/// "none", "hold" (no data passes) or "close" (connections are closed).
void CutLinks(const Site& site,
              std::string_view from_region,
              std::string_view to_region,
              std::string_view cut);

/// @brief Prefix of the files to which the site's links record traffic.
std::string LinkRecordPrefix(const Site& site);

/// @brief File to which all targets of the site log their runs.
std::string RunLogFile(const Site& site);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_SITE_HPP
