// Access of the scenarios to a running site: metrics, catalogue changes, faults
// and load.
#ifndef EELGRASSBRIDGE_BENCH_SITE_SITE_CLIENT_HPP
#define EELGRASSBRIDGE_BENCH_SITE_SITE_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/ownership/group_row.hpp"
#include "outcome_checker.hpp"
#include "site.hpp"

namespace eelgrassbridge::bench {

std::int64_t UnixMicroseconds();

void SleepSeconds(double seconds);

/// @brief Returns the sum of a daemon's metric over all label sets; none if it
/// is absent.
std::optional<double> ReadMetric(const Member& member, std::string_view name);

/// @brief Sets the faults of the table stand-in from JSON; "{}" clears them.
void SetTableFaults(const Site& site, const std::string& json);

/// @brief Requests that the table stand-in has counted.
struct TableCounts {
  double reads = 0;
  double writes = 0;
  double refused_reads = 0;
  double refused_writes = 0;
};

TableCounts ReadTableCounts(const Site& site);

/// @brief Submits a catalogue change as an operator. Returns the accepted
/// version, or none if it was refused.
std::optional<std::uint64_t> ChangeCatalogue(
    const Member& member,
    const std::function<void(catalogue::Catalogue&)>& change);

/// @brief The load tool's options that scenarios vary.
struct Load {
  std::string entries;
  std::string kinds = "listing/view:GET:idempotent:0:1";
  std::uint32_t callers = 1;
  double seconds = 5;
  double rate = 0;
  std::uint32_t keys = 200;
  std::string key_prefix = "key-";
  /// Share of the requests for key-0.
  double hot_share = 0;
  std::uint32_t resends = 0;
  std::uint64_t seed = 1;
  std::string account = {};
  bool direct = false;
  /// Log each attempt to AttemptsFile.
  bool record_attempts = false;
};

std::vector<std::string> LoadArguments(const Site& site, const Load& load);
std::string AttemptsFile(const Site& site);

/// @brief Runs the load tool, waits until it exits and returns its summary.
nlohmann::json RunLoad(const Site& site, const Load& load);

/// @brief Addresses of the daemons that match the filter, for Load::entries.
std::string Entries(const Site& site,
                    const std::function<bool(const Member&)>& filter);

std::string AllEntries(const Site& site);

/// @brief A load tool that runs in the background.
struct BackgroundLoad {
  Process tool;
  std::string output_file;
};

BackgroundLoad StartLoad(const Site& site, const Load& load);

/// @brief Stops the load, waits for the requests in flight and returns the
/// summary.
nlohmann::json FinishLoad(BackgroundLoad& load);

/// @brief Returns all attempts and runs logged so far.
std::vector<AttemptLine> ReadSiteAttempts(const Site& site);
std::vector<RunLine> ReadSiteRuns(const Site& site);

/// @brief Prints the six violation counts of the outcome checker, each with the
/// target 0, and the number of attempts and runs compared.
void PrintViolations(std::string_view scenario, const Site& site);

/// @brief Sends a request for the key through the member. Returns the name of
/// the target that served it; none if it was not answered.
std::optional<std::string> ProbeKey(const Member& member,
                                    const std::string& key);

/// @brief Waits until the member's target serves some of the probed keys, and
/// returns a few of them.
std::vector<std::string> FindOwnedKeys(const Site& site, const Member& victim);

/// @brief Gets a page as an operator. Returns its body; empty if there is no
/// reply.
std::string ReadPage(int port, const std::string& path);

/// @brief Names of the members by daemon id, as the given member knows them.
std::map<std::string, std::string> NamesByDaemonId(const Member& asked);

/// @brief Reads the group rows of the table.
std::vector<ownership::GroupRow> ReadGroupRows(const Site& site);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_SITE_CLIENT_HPP
