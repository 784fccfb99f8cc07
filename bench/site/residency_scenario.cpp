// Scenario residency_search: searches one region for data of requests that are
// restricted to the other. The first phase sends requests to daemons of their
// home region only, the second to daemons of the other region, which refuse
// them.
#include <httplib.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/limits/account_limiter.hpp"
#include "figures.hpp"
#include "process_memory.hpp"
#include "scenarios.hpp"
#include "site_client.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr const char* kScenario = "residency_search";
constexpr const char* kHomeRegion = "sur";
constexpr const char* kOtherRegion = "litoral";
constexpr std::uint32_t kFleetSize = 6;
constexpr std::uint32_t kRounds = 20;
constexpr std::uint32_t kShortRounds = 5;
constexpr double kSettleSeconds = 5;
constexpr const char* kBytesType = "application/octet-stream";
// Indexes into Phase::markers. Markers of issued ids follow after kMarkers.
constexpr std::size_t kAccountMarker = 3;
constexpr std::size_t kIdMarker = 4;
constexpr std::size_t kMarkers = 6;
// The last is the name under which daemons count an account's demand and share
// it with other daemons. Unlike the account's name, it is not in the catalogue.
constexpr std::array<const char*, kMarkers> kFields{
    "key", "path", "body", "account", "id", "account_demand"};

/// @brief Unique markers in the requests of one phase, and the outcomes.
struct Phase {
  std::string name;
  std::vector<std::string> markers;
  std::map<std::string, double> outcomes;
  /// Headers and bodies of the responses.
  std::string answers;
};

Phase MakePhase(const std::string& name) {
  Phase phase;
  phase.name = name;
  for (std::size_t index = 0; index + 1 < kMarkers; ++index) {
    phase.markers.push_back(base::RandomHex128());
  }
  phase.markers.push_back(
      limits::AccountLimitName("account-" + phase.markers[kAccountMarker]));
  return phase;
}

void Send(const Member& entry,
          Phase& phase,
          const std::string& method,
          const std::string& id) {
  httplib::Client client("127.0.0.1", entry.http_port);
  httplib::Request request;
  request.method = method;
  request.path = fmt::format(
      "/s/listing/{}/{}", method == "GET" ? "view" : "claim", phase.markers[1]);
  request.headers = {
      {"Eelgrassbridge-Key", phase.markers[0]},
      {"Eelgrassbridge-Account", "account-" + phase.markers[kAccountMarker]},
      {"Load-Tag", phase.markers[0]}};
  if (method == "POST") {
    request.body = phase.markers[2];
    request.headers.emplace("Content-Type", kBytesType);
    if (!id.empty()) {
      request.headers.emplace("Eelgrassbridge-Request-Id", id);
    }
  }
  const auto reply = client.send(request);
  if (!reply) {
    ++phase.outcomes["no_reply"];
    return;
  }
  ++phase.outcomes[fmt::format(
      "{}_{}", reply->get_header_value("Eelgrassbridge-Outcome"),
      reply->get_header_value("Eelgrassbridge-Error"))];
  phase.answers += reply->body;
  for (const auto& [name, value] : reply->headers) {
    phase.answers += fmt::format("{}: {}\n", name, value);
  }
  // The last part of an issued id is random and so serves as a marker.
  const std::string issued =
      reply->get_header_value("Eelgrassbridge-Request-Id");
  if (!issued.empty()) {
    phase.markers.push_back(issued.substr(issued.rfind('-') + 1));
    if (id.empty()) {
      Send(entry, phase, "POST", issued);
    }
  }
}

void SendAll(const Site& site,
             Phase& phase,
             const std::string& region,
             std::uint32_t rounds) {
  const std::string unissued_id =
      fmt::format("0000000000000001-1-1-{}", phase.markers[kIdMarker]);
  for (std::uint32_t round = 0; round < rounds; ++round) {
    for (const Member& member : site.members) {
      if (member.spec.region == region) {
        Send(member, phase, "POST", unissued_id);
        Send(member, phase, "GET", "");
        Send(member, phase, "POST", "");
      }
    }
  }
}

std::string ReadFile(const std::filesystem::path& file) {
  std::ostringstream text;
  text << std::ifstream(file, std::ios::binary).rdbuf();
  return text.str();
}

/// @brief Data from one kind of source.
struct Source {
  std::string name = {};
  std::string text = {};
  /// Contains the catalogue, which has account names in all regions by design.
  bool contains_catalogue = false;
};

bool IsInRegion(const Site& site,
                std::string_view name,
                std::string_view region) {
  return std::ranges::any_of(site.members, [&](const Member& member) {
    return member.spec.name == name && member.spec.region == region;
  });
}

Source RunsInRegion(const Site& site, const std::string& region) {
  Source source{.name = "runs_recorded_by_targets"};
  std::ifstream lines(RunLogFile(site));
  for (std::string line; std::getline(lines, line);) {
    std::istringstream one(line);
    const auto runs = ReadRuns(one);
    // An end line alone yields no run; it repeats the data of the start line.
    if (!runs.empty() && IsInRegion(site, runs[0].target, region)) {
      source.text += line + '\n';
    }
  }
  return source;
}

void AddLogsAndPages(const Site& site, std::vector<Source>& sources) {
  Source logs{.name = "logs"};
  Source pages{.name = "metrics_status_burn"};
  Source catalogue{.name = "admin_catalogue_and_history",
                   .contains_catalogue = true};
  for (const Member& member : site.members) {
    if (member.spec.region != kOtherRegion) {
      continue;
    }
    for (const char* ending : {".log", ".target.log", ".yaml"}) {
      logs.text += ReadFile(site.folder + "/" + member.spec.name + ending);
    }
    for (const char* page :
         {"/metrics", "/health", "/ready", "/admin/status", "/admin/burn"}) {
      pages.text += ReadPage(member.http_port, page);
    }
    for (const char* page : {"/admin/catalogue", "/admin/history"}) {
      catalogue.text += ReadPage(member.http_port, page);
    }
    logs.text += ReadPage(member.target_port, "/admin/counts");
  }
  sources.insert(sources.end(), {logs, pages, catalogue});
}

void AddTable(const Site& site, std::vector<Source>& sources) {
  Source rows{.name = "table_rows"};
  for (const char* prefix : {"group/", "member/"}) {
    rows.text +=
        ReadPage(site.table_port, fmt::format("/table/rows?prefix={}", prefix));
  }
  sources.push_back(rows);
  sources.push_back(
      {.name = "table_catalogue_rows",
       .text = ReadPage(site.table_port, "/table/rows?prefix=catalogue/"),
       .contains_catalogue = true});
}

// Traffic of connections that daemons of the other region opened, and of those
// from the home region to it.
void AddLinks(const Site& site, std::vector<Source>& sources) {
  Source links{.name = "traffic_of_the_other_region"};
  Source table{.name = "traffic_with_the_table", .contains_catalogue = true};
  const std::string to_table = fmt::format("-to-{}-", site.table_port);
  for (const auto& file : std::filesystem::directory_iterator(site.folder)) {
    const std::string name = file.path().filename().string();
    if (name.starts_with("link-")) {
      const bool is_table = name.find(to_table) != std::string::npos;
      (is_table ? table : links).text += ReadFile(file.path());
    }
  }
  PrintCount(kScenario, "traffic_bytes_searched",
             static_cast<double>(links.text.size() + table.text.size()));
  sources.insert(sources.end(), {links, table});
}

std::string FieldName(std::size_t index) {
  return index < kMarkers ? kFields[index] : "issued_id";
}

// Occurrences by field; those of all issued ids are summed.
std::map<std::size_t, double> ByField(
    const std::vector<std::uint64_t>& occurrences) {
  std::map<std::size_t, double> fields;
  for (std::size_t index = 0; index < occurrences.size(); ++index) {
    fields[std::min(index, kMarkers)] +=
        static_cast<double>(occurrences[index]);
  }
  return fields;
}

void PrintOccurrences(const Phase& phase, const Source& source) {
  std::vector<std::uint64_t> occurrences;
  for (const auto& marker : phase.markers) {
    occurrences.push_back(CountOccurrences(source.text, marker));
  }
  for (const auto& [field, count] : ByField(occurrences)) {
    const bool by_design = source.contains_catalogue && field == kAccountMarker;
    PrintCount(
        kScenario,
        fmt::format("{}_{}_{}", phase.name, source.name, FieldName(field)),
        count, by_design ? std::nullopt : std::optional(0.0));
  }
}

// Every daemon has the account's name in its catalogue. A daemon that refused a
// request has had it in memory, and freed memory is not cleared, so only the
// phase without refusals has a target.
void PrintMemory(const Site& site, const Phase& phase, bool was_refused) {
  std::vector<std::uint64_t> sum(phase.markers.size());
  double bytes = 0;
  double control = 0;
  for (const Member& member : site.members) {
    const auto found = SearchMemory(member.daemon, phase.markers);
    if (member.spec.region == kHomeRegion) {
      control += static_cast<double>(found.occurrences[0]);
      continue;
    }
    bytes += static_cast<double>(found.bytes);
    for (std::size_t index = 0; index < sum.size(); ++index) {
      sum[index] += found.occurrences[index];
    }
  }
  PrintCount(kScenario, phase.name + "_memory_bytes_searched", bytes);
  PrintCount(kScenario, phase.name + "_control_key_in_home_memory", control);
  for (const auto& [field, count] : ByField(sum)) {
    const bool has_target = !was_refused && field != kAccountMarker;
    PrintCount(
        kScenario,
        fmt::format("{}_memory_of_daemons_{}", phase.name, FieldName(field)),
        count, has_target ? std::optional(0.0) : std::nullopt);
  }
}

void PrintPhase(const Site& site,
                const Phase& phase,
                std::vector<Source> sources,
                bool was_refused) {
  for (const auto& [outcome, count] : phase.outcomes) {
    PrintCount(kScenario, phase.name + "_told_" + outcome, count);
  }
  if (was_refused) {
    sources.push_back({.name = "answers_to_callers", .text = phase.answers});
  }
  PrintCount(kScenario, phase.name + "_control_runs_in_home",
             static_cast<double>(CountOccurrences(
                 RunsInRegion(site, kHomeRegion).text, phase.markers[0])));
  for (const Source& source : sources) {
    PrintOccurrences(phase, source);
  }
  PrintMemory(site, phase, was_refused);
}

}  // namespace

bool MeasureResidencySearch(const ScenarioOptions& options) {
  Phase at_home = MakePhase("sent_to_home");
  Phase refused = MakePhase("sent_to_other");
  SiteOptions site_options = MakeListingSite(options.site, kFleetSize);
  site_options.catalogue_yaml += "accounts:\n";
  // Baseline: occurrences of an account's name that the catalogue alone causes.
  const Phase unused = MakePhase("not_sent");
  for (const Phase& phase : {at_home, refused, unused}) {
    site_options.catalogue_yaml += fmt::format(
        "  - {{name: account-{}, home_regions: [{}], "
        "limits: {{requests_per_second: 100000}}}}\n",
        phase.markers[kAccountMarker], kHomeRegion);
  }
  site_options.links_between_regions = true;
  site_options.recorded_region = kOtherRegion;
  auto site = StartSite(site_options, kScenario);
  if (!site) {
    return false;
  }
  SleepSeconds(kSettleSeconds);
  const std::uint32_t rounds = options.is_short ? kShortRounds : kRounds;
  SendAll(*site, at_home, kHomeRegion, rounds);
  SendAll(*site, refused, kOtherRegion, rounds);
  // Allows gossip, snapshots and reports about the requests to be sent.
  SleepSeconds(kSettleSeconds);
  std::vector<Source> sources;
  AddLogsAndPages(*site, sources);
  AddTable(*site, sources);
  AddLinks(*site, sources);
  sources.push_back(RunsInRegion(*site, kOtherRegion));
  PrintPhase(*site, at_home, sources, false);
  PrintPhase(*site, refused, sources, true);
  PrintMemory(*site, unused, false);
  PrintViolations(kScenario, *site);
  StopSite(*site);
  return true;
}

}  // namespace eelgrassbridge::bench
