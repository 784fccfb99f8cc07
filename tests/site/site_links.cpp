// Link stand-ins between the regions of a site. Daemons announce the address on
// which they listen, so a link cannot be announced in its place. The library
// standin_routes makes the daemons of a region connect to the link instead.
#include "site_links.hpp"

#include <httplib.h>
#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <set>

namespace eelgrassbridge::bench {

namespace {

constexpr int kPortsPerMember = 3;
constexpr auto kStartTimeout = std::chrono::seconds{10};

void AddLink(Site& site,
             const std::string& from,
             const std::string& to,
             int to_port) {
  const int members = static_cast<int>(site.members.size());
  const int links = static_cast<int>(site.links.size());
  const int port =
      site.options.base_port + 1 + kPortsPerMember * members + 2 * links;
  site.links.push_back({.from_region = from,
                        .to_region = to,
                        .to_port = to_port,
                        .port = port,
                        .admin_port = port + 1,
                        .process = {}});
}

void AddLinksFrom(Site& site, const std::string& region) {
  const std::string& store_region = site.members[0].spec.region;
  const bool is_recorded = site.options.recorded_region == region;
  for (const auto& member : site.members) {
    const bool is_local = member.spec.region == region;
    if (!is_local || is_recorded) {
      AddLink(site, region, member.spec.region, member.http_port);
      AddLink(site, region, member.spec.region, member.peer_port);
    }
    if (is_local && is_recorded) {
      AddLink(site, region, region, member.target_port);
    }
  }
  if (region != store_region || is_recorded) {
    AddLink(site, region, store_region, site.table_port);
  }
}

bool IsAnswering(int port) {
  httplib::Client client("127.0.0.1", port);
  return static_cast<bool>(client.Get("/admin/counts"));
}

}  // namespace

void StartLinks(Site& site) {
  if (!site.options.links_between_regions) {
    return;
  }
  std::set<std::string> regions;
  for (const auto& member : site.members) {
    regions.insert(member.spec.region);
  }
  for (const auto& region : regions) {
    AddLinksFrom(site, region);
  }
  for (auto& link : site.links) {
    std::vector<std::string> arguments{site.options.programs + "/standin_link",
                                       "--port",
                                       std::to_string(link.port),
                                       "--to-port",
                                       std::to_string(link.to_port),
                                       "--admin-port",
                                       std::to_string(link.admin_port)};
    if (!site.options.recorded_region.empty()) {
      arguments.insert(
          arguments.end(),
          {"--record", fmt::format("{}{}-to-{}", LinkRecordPrefix(site),
                                   link.from_region, link.to_port)});
    }
    link.process = Launch(arguments, site.folder + "/links.log");
  }
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  for (const auto& link : site.links) {
    while (!IsAnswering(link.admin_port) &&
           std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
  }
}

std::vector<std::string> LinkEnvironment(const Site& site,
                                         std::string_view region) {
  std::string routes;
  for (const auto& link : site.links) {
    if (link.from_region == region) {
      routes += fmt::format("{}{}:{}", routes.empty() ? "" : ",", link.to_port,
                            link.port);
    }
  }
  if (routes.empty()) {
    return {};
  }
  return {
      "EELGRASSBRIDGE_STANDIN_ROUTES=" + routes,
      fmt::format("LD_PRELOAD={}/standin_routes.so", site.options.programs)};
}

void CutLinks(const Site& site,
              std::string_view from_region,
              std::string_view to_region,
              std::string_view cut) {
  for (const auto& link : site.links) {
    if (link.from_region == from_region && link.to_region == to_region) {
      httplib::Client client("127.0.0.1", link.admin_port);
      client.Post("/admin/link", fmt::format(R"({{"cut":"{}"}})", cut),
                  "application/json");
    }
  }
}

std::string LinkRecordPrefix(const Site& site) {
  return site.folder + "/link-";
}

}  // namespace eelgrassbridge::bench
