// A whole site on the loopback net: the table stand-in, daemons and targets.
#ifndef EELGRASSBRIDGE_BENCH_SITE_SITE_HPP
#define EELGRASSBRIDGE_BENCH_SITE_SITE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process.hpp"

namespace eelgrassbridge::bench {

/// @brief Place and service of one daemon with its target.
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
  /// Folder with examples/<site>; read by the astillas form.
  std::string examples;
  /// The table gets this port, members three ports each from there on.
  int base_port = 23000;
  std::vector<MemberSpec> members;
  std::string catalogue_yaml;
  std::uint32_t slots = 9;
  std::int64_t service_time_us = 1000;
  bool targets_start_warm = true;
  /// The in-memory store, for a site of one daemon.
  bool memory_store = false;
  /// Connections between daemons of different regions, and to a table of
  /// another region, pass link stand-ins. The table is in the first member's
  /// region.
  bool links_between_regions = false;
  /// Connections of this region's daemons to daemons, targets and the table
  /// all pass links, which record them, and so do connections to this region.
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

/// @brief A link that connections of one region's daemons to one port pass.
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
  /// Temporary folder with settings, logs and run logs; kept after the run.
  std::string folder;
  int table_port = 0;
  Process table;
  std::vector<Member> members;
  std::vector<SiteLink> links;
};

/// @brief The members and the catalogue of examples/<name>.
std::optional<SiteOptions> ReadExampleSite(SiteOptions options,
                                           std::string_view name);

/// @brief A site of `count` listing members over the data centres of Astillas.
SiteOptions MakeListingSite(SiteOptions options, std::uint32_t count);

/// @brief Writes the settings and starts everything; waits until each daemon
/// is ready. None: some daemon was not ready within the time.
std::optional<Site> StartSite(const SiteOptions& options,
                              std::string_view name);

void StopSite(Site& site);

void StartTarget(Site& site, Member& member);
void StartDaemon(Site& site, Member& member);
bool WaitReady(const Member& member, double seconds);

/// @brief Sets the cut of all links from one region to the other: "none",
/// "hold" or "close".
void CutLinks(const Site& site,
              std::string_view from_region,
              std::string_view to_region,
              std::string_view cut);

/// @brief Start of the names of the files that the site's links record.
std::string LinkRecords(const Site& site);

/// @brief The text that all run logs of the site hold together.
std::string RunLogFile(const Site& site);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_SITE_HPP
