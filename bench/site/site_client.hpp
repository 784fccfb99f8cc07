// What scenarios ask of a running site: metrics, catalogue changes, faults and
// load.
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

/// @brief Sum of the metric over all its label sets; none if absent.
std::optional<double> ReadMetric(const Member& member, std::string_view name);

/// @brief Sets the faults of the table stand-in; "{}" clears them.
void SetTableFaults(const Site& site, const std::string& json);

struct TableCounts {
  double reads = 0;
  double writes = 0;
  double refused_reads = 0;
  double refused_writes = 0;
};

TableCounts ReadTableCounts(const Site& site);

/// @brief Submits a change as an operator. Returns the accepted version, or
/// none if it was refused.
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
  /// Whether each attempt is written to AttemptsFile.
  bool lines = false;
};

std::vector<std::string> LoadArguments(const Site& site, const Load& load);
std::string AttemptsFile(const Site& site);

/// @brief Runs the load tool to its end and returns its summary.
nlohmann::json RunLoad(const Site& site, const Load& load);

/// @brief Addresses of the daemons that the filter takes, for Load::entries.
std::string Entries(const Site& site,
                    const std::function<bool(const Member&)>& filter);

std::string AllEntries(const Site& site);

/// @brief A load tool that runs beside the scenario.
struct BackgroundLoad {
  Process tool;
  std::string output_file;
};

BackgroundLoad StartLoad(const Site& site, const Load& load);

/// @brief Ends the load, waits for the requests in flight and returns the
/// summary.
nlohmann::json FinishLoad(BackgroundLoad& load);

/// @brief All attempts and runs so far.
std::vector<AttemptLine> SiteAttempts(const Site& site);
std::vector<RunLine> SiteRuns(const Site& site);

/// @brief Prints the six figures of the outcome checker, each with target 0.
void PrintViolations(std::string_view scenario, const Site& site);

/// @brief Target that answers for the key now, asked through the member; none
/// if it was not answered.
std::optional<std::string> AskOwner(const Member& member,
                                    const std::string& key);

/// @brief Waits until the member's target answers for some of the probed keys,
/// and returns them.
std::vector<std::string> KeysOf(const Site& site, const Member& victim);

/// @brief Body of a page, asked for as an operator; empty if not answered.
std::string ReadPage(int port, const std::string& path);

/// @brief Members by the id of their daemon, as the given one knows them.
std::map<std::string, std::string> NamesByDaemonId(const Member& asked);

/// @brief The group rows of the table.
std::vector<ownership::GroupRow> ReadGroupRows(const Site& site);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_SITE_CLIENT_HPP
