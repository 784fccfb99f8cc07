// The command status.
#include <spdlog/fmt/fmt.h>

#include <nlohmann/json.hpp>
#include <ostream>

#include "eelgrassbridge/cli/submit_change.hpp"

namespace eelgrassbridge::cli {

namespace {

ExitCode Status(CommandContext& context) {
  const auto client = MakeAdminClient(context);
  if (!client) {
    return ReportError(context, client.error());
  }
  const auto read = GetStatus(client.value());
  if (!read) {
    return ReportError(context, read.error());
  }
  const daemon::FleetStatus& status = read.value();
  if (context.json) {
    PrintJson(context, nlohmann::json::parse(daemon::WriteStatusJson(status)));
    return ExitCode::kSuccess;
  }
  context.out << fmt::format(
      "site {} as seen by {}: {}, store {}\n", status.site, status.answered_by,
      status.ready ? "ready" : "not ready",
      status.store_reachable ? "reachable" : "not reachable");
  context.out << fmt::format(
      "catalogue version {} {}\n", status.catalogue_version,
      ToString(GetRolloutStatus(status, status.catalogue_version)));
  context.out << fmt::format("{} groups, {} without an owner\n", status.groups,
                             status.groups_without_owner);
  context.out << fmt::format("{:<20}{:<16}{:<20}{:<10}{:>9}{:>8}\n", "daemon",
                             "service", "data centre", "state", "catalogue",
                             "groups");
  for (const daemon::DaemonStatus& daemon : status.daemons) {
    context.out << fmt::format("{:<20}{:<16}{:<20}{:<10}{:>9}{:>8}\n",
                               daemon.name, daemon.service, daemon.data_centre,
                               daemon.state, daemon.catalogue_version,
                               daemon.groups_owned);
  }
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> StatusCommands() {
  return {{"status",
           "Show the state of the fleet as known to one daemon",
           {},
           true,
           nullptr,
           Status}};
}

}  // namespace eelgrassbridge::cli
