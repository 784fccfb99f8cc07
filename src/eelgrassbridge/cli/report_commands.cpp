// The command report burn.
#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <fstream>
#include <ostream>

#include "eelgrassbridge/base/file.hpp"
#include "eelgrassbridge/catalogue/read_catalogue.hpp"
#include "eelgrassbridge/cli/admin_client.hpp"
#include "eelgrassbridge/report/burn_report.hpp"
#include "eelgrassbridge/settings/read_settings.hpp"

namespace eelgrassbridge::cli {

namespace {

constexpr std::size_t kMaxSnapshotBytes = std::size_t{32} * 1024 * 1024;

/// Input of MakeBurnReport.
struct BurnInput {
  catalogue::Catalogue catalogue;
  std::vector<report::BurnSnapshot> snapshots;
  std::vector<std::string> expected;
  std::int64_t now_s = 0;
};

/// Requests a snapshot from each daemon of the fleet; those that don't answer
/// are reported as missing.
base::Result<BurnInput> ReadFromFleet(CommandContext& context) {
  BOOST_OUTCOME_TRY(client, MakeAdminClient(context));
  BurnInput input;
  BOOST_OUTCOME_TRY(current, GetCatalogue(client));
  input.catalogue = std::move(current);
  BOOST_OUTCOME_TRY(status, GetStatus(client));
  for (const daemon::DaemonStatus& daemon : status.daemons) {
    if (daemon.state == "left") {
      continue;
    }
    input.expected.push_back(daemon.name);
    const auto address = settings::ParseAddress(daemon.http);
    if (!address) {
      continue;
    }
    AdminClient peer = client;
    peer.address = *address;
    const AdminReply reply = Get(peer, "/admin/burn");
    auto snapshot = report::ReadSnapshotJson(reply.body);
    if (!reply.error && snapshot) {
      input.snapshots.push_back(std::move(snapshot.value()));
    } else {
      context.err << fmt::format(
          "{}: {}\n", daemon.name,
          reply.error ? reply.error->detail : snapshot.error().detail);
    }
  }
  input.now_s = std::chrono::duration_cast<std::chrono::seconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
  return input;
}

/// Reads saved snapshots. The report refers to the time of the newest one.
base::Result<BurnInput> ReadFromFiles(const CommandContext& context) {
  BurnInput input;
  BOOST_OUTCOME_TRY(
      found, catalogue::ReadCatalogueFile(TextOption(context, "catalogue")));
  input.catalogue = std::move(found);
  for (const std::string& file :
       context.options["snapshot"].as<std::vector<std::string>>()) {
    BOOST_OUTCOME_TRY(text, base::ReadFile(file, kMaxSnapshotBytes));
    auto snapshot = report::ReadSnapshotJson(text);
    if (!snapshot) {
      return base::Fail(base::ErrorKind::kBadRequest,
                        fmt::format("{}: {}", file, snapshot.error().detail));
    }
    input.now_s = std::max(input.now_s, snapshot.value().taken_at_s);
    input.snapshots.push_back(std::move(snapshot.value()));
  }
  return input;
}

base::Result<void> WritePage(const std::string& file,
                             const report::BurnReport& burn_report) {
  std::ofstream stream(file, std::ios::binary);
  stream << report::BurnReportHtml(burn_report) << std::flush;
  if (!stream) {
    return base::Fail(base::ErrorKind::kNotFound,
                      fmt::format("{}: the file cannot be written", file));
  }
  return base::outcome::success();
}

ExitCode ReportBurn(CommandContext& context) {
  const auto input = HasOption(context, "snapshot") ? ReadFromFiles(context)
                                                    : ReadFromFleet(context);
  if (!input) {
    return ReportError(context, input.error());
  }
  const report::BurnReport burn_report =
      report::MakeBurnReport(input.value().catalogue, input.value().snapshots,
                             input.value().expected, input.value().now_s);
  const std::string page = TextOption(context, "html");
  if (!page.empty()) {
    const auto written = WritePage(page, burn_report);
    if (!written) {
      return ReportError(context, written.error());
    }
  }
  context.out << (context.json ? report::BurnReportJson(burn_report) + "\n"
                               : report::BurnReportText(burn_report));
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> ReportCommands() {
  return {{"report burn",
           "Show how much of each error budget is used",
           {},
           true,
           [](cxxopts::Options& options) {
             options.add_options()("html", "Also write the report as a page",
                                   cxxopts::value<std::string>(), "FILE")(
                 "snapshot",
                 "Read saved answers of /admin/burn instead of querying the "
                 "fleet (may be repeated; needs --catalogue)",
                 cxxopts::value<std::vector<std::string>>(),
                 "FILE")("catalogue", "Catalogue file for --snapshot",
                         cxxopts::value<std::string>(), "FILE");
           },
           ReportBurn}};
}

}  // namespace eelgrassbridge::cli
