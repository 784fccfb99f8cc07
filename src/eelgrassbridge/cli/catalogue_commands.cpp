// The commands catalogue validate, diff, apply, show and history.
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include <nlohmann/json.hpp>
#include <ostream>

#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/catalogue/diff.hpp"
#include "eelgrassbridge/catalogue/read_catalogue.hpp"
#include "eelgrassbridge/catalogue/write_catalogue.hpp"
#include "eelgrassbridge/cli/submit_change.hpp"

namespace eelgrassbridge::cli {

namespace {

ExitCode Validate(CommandContext& context) {
  const std::string file = TextOption(context, "FILE");
  const auto read = catalogue::ReadCatalogueFile(file);
  if (!read) {
    return ReportError(context, read.error());
  }
  const catalogue::Catalogue& found = read.value();
  if (context.json) {
    PrintJson(context, {{"valid", true},
                        {"site", found.site},
                        {"services", found.services.size()},
                        {"accounts", found.accounts.size()},
                        {"data_centres", found.data_centres.size()}});
  } else {
    context.out << fmt::format(
        "{}: valid; site {}, {} services, {} accounts, {} data centres\n", file,
        found.site, found.services.size(), found.accounts.size(),
        found.data_centres.size());
  }
  return ExitCode::kSuccess;
}

/// Reads a catalogue file and copies the out-of-service marks of the current
/// catalogue, because only take-out and bring-back change them.
base::Result<catalogue::Catalogue> ReadNextCatalogue(
    const std::string& file,
    const catalogue::Catalogue& current) {
  BOOST_OUTCOME_TRY(next, catalogue::ReadCatalogueFile(file));
  if (current.version != 0 && next.site != current.site) {
    return base::Fail(base::ErrorKind::kCatalogueInvalid,
                      fmt::format("{}: site {} is not the daemon's site {}",
                                  file, next.site, current.site));
  }
  next.out_of_service = current.out_of_service;
  return next;
}

ExitCode PrintDiff(CommandContext& context,
                   const catalogue::Catalogue& before,
                   const catalogue::Catalogue& after) {
  std::vector<std::string> lines;
  for (const catalogue::Change& change : catalogue::Diff(before, after)) {
    lines.push_back(catalogue::ToString(change));
  }
  const auto unsafe = catalogue::UnsafeReasons(before, after);
  const auto forbidden = catalogue::ForbiddenReasons(before, after);
  if (context.json) {
    PrintJson(
        context,
        {{"changes", lines}, {"unsafe", unsafe}, {"forbidden", forbidden}});
    return ExitCode::kSuccess;
  }
  for (const std::string& line : lines) {
    context.out << line << "\n";
  }
  for (const std::string& reason : unsafe) {
    context.out << "unsafe: " << reason << "\n";
  }
  for (const std::string& reason : forbidden) {
    context.out << "forbidden: " << reason << "\n";
  }
  if (lines.empty()) {
    context.out << "no differences\n";
  }
  return ExitCode::kSuccess;
}

/// Compares two files, or a file with the catalogue in force.
ExitCode DiffCommand(CommandContext& context) {
  if (HasOption(context, "NEW")) {
    const auto before =
        catalogue::ReadCatalogueFile(TextOption(context, "FILE"));
    const auto after = catalogue::ReadCatalogueFile(TextOption(context, "NEW"));
    if (!before || !after) {
      return ReportError(context, before ? after.error() : before.error());
    }
    return PrintDiff(context, before.value(), after.value());
  }
  const auto client = MakeAdminClient(context);
  if (!client) {
    return ReportError(context, client.error());
  }
  const auto current = GetCatalogue(client.value());
  if (!current) {
    return ReportError(context, current.error());
  }
  const auto next =
      ReadNextCatalogue(TextOption(context, "FILE"), current.value());
  return next ? PrintDiff(context, current.value(), next.value())
              : ReportError(context, next.error());
}

ExitCode Apply(CommandContext& context) {
  const auto client = MakeAdminClient(context);
  if (!client) {
    return ReportError(context, client.error());
  }
  const auto current = GetCatalogue(client.value());
  if (!current) {
    return ReportError(context, current.error());
  }
  auto next = ReadNextCatalogue(TextOption(context, "FILE"), current.value());
  if (!next) {
    return ReportError(context, next.error());
  }
  const std::string expected = TextOption(context, "expected-version");
  if (!expected.empty() &&
      expected != std::to_string(current.value().version)) {
    return ReportError(
        context, {base::ErrorKind::kVersionConflict,
                  fmt::format("change not made: version {} is in force, not {}",
                              current.value().version, expected)});
  }
  return SubmitChange(context, client.value(), current.value(),
                      std::move(next.value()));
}

ExitCode Show(CommandContext& context) {
  const auto client = MakeAdminClient(context);
  if (!client) {
    return ReportError(context, client.error());
  }
  const auto current = GetCatalogue(client.value());
  if (!current) {
    return ReportError(context, current.error());
  }
  if (context.json) {
    PrintJson(context, catalogue::CatalogueToJson(current.value()));
  } else {
    context.out << catalogue::WriteCatalogueYaml(current.value());
  }
  return ExitCode::kSuccess;
}

ExitCode History(CommandContext& context) {
  const auto client = MakeAdminClient(context);
  if (!client) {
    return ReportError(context, client.error());
  }
  const auto history =
      GetHistory(client.value(), context.options["limit"].as<std::uint32_t>());
  if (!history) {
    return ReportError(context, history.error());
  }
  if (context.json) {
    PrintJson(context,
              nlohmann::json::parse(daemon::WriteHistoryJson(history.value())));
    return ExitCode::kSuccess;
  }
  for (const daemon::HistoryEntry& entry : history.value()) {
    constexpr std::int64_t kMillisecondsPerSecond = 1000;
    context.out << fmt::format(
        "version {} {:%Y-%m-%dT%H:%M:%SZ} by {}, operation id {}: {}\n",
        entry.version,
        fmt::gmtime(static_cast<std::time_t>(entry.changed_at_ms /
                                             kMillisecondsPerSecond)),
        entry.changed_by, entry.operation_id, entry.reason);
    for (const std::string& line : entry.changes) {
      context.out << "  " << line << "\n";
    }
  }
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> CatalogueCommands() {
  return {{"catalogue validate",
           "Check a catalogue file and report all problems at once",
           {"FILE"},
           false,
           nullptr,
           Validate},
          {"catalogue diff",
           "Show what a file would change, against a daemon or a second file",
           {"FILE", "?NEW"},
           true,
           nullptr,
           DiffCommand},
          {"catalogue apply",
           "Apply a catalogue file as the next version",
           {"FILE"},
           true,
           [](cxxopts::Options& options) {
             AddChangeOptions(options);
             options.add_options()("expected-version",
                                   "Fail unless this version is in force",
                                   cxxopts::value<std::string>(), "VERSION");
           },
           Apply},
          {"catalogue show",
           "Print the catalogue in force, in the form that apply reads",
           {},
           true,
           nullptr,
           Show},
          {"catalogue history",
           "Print the accepted changes, newest first",
           {},
           true,
           [](cxxopts::Options& options) {
             options.add_options()(
                 "limit", "Number of changes, 1 to 200",
                 cxxopts::value<std::uint32_t>()->default_value("20"), "N");
           },
           History}};
}

}  // namespace eelgrassbridge::cli
