// The command check-routes.
#include <spdlog/fmt/fmt.h>

#include <nlohmann/json.hpp>
#include <ostream>

#include "eelgrassbridge/base/file.hpp"
#include "eelgrassbridge/catalogue/route_check.hpp"
#include "eelgrassbridge/cli/command.hpp"
#include "eelgrassbridge/node/settings.hpp"
#include "route_file.hpp"

namespace eelgrassbridge::cli {

namespace {

using catalogue::FindingKind;
using catalogue::RouteFileTable;
using catalogue::RouteFinding;
using catalogue::RouteFindings;

/// A configuration of the largest site takes about 10 MB.
constexpr std::size_t kMaxFileBytes = std::size_t{256} << 20U;

std::string_view KindName(FindingKind kind) {
  switch (kind) {
    case FindingKind::kError:
      return "error";
    case FindingKind::kUnused:
      return "unused";
    case FindingKind::kContradiction:
      return "contradiction";
    case FindingKind::kDifference:
      break;
  }
  return "difference";
}

/// Name of the table in the file; empty for the file as a whole.
std::string_view TableName(RouteFileTable table) {
  switch (table) {
    case RouteFileTable::kRoutes:
      return "routes";
    case RouteFileTable::kServices:
      return "services";
    case RouteFileTable::kAccounts:
      return "tenants";
    case RouteFileTable::kLimits:
      return "limits";
    case RouteFileTable::kFile:
      break;
  }
  return {};
}

std::string PlaceText(const catalogue::RowPlace& place) {
  std::string text(TableName(place.table));
  if (place.row > 0) {
    text += fmt::format(" row {}", place.row);
  }
  if (!place.name.empty()) {
    text += fmt::format("{}'{}'", text.empty() ? "" : " ", place.name);
  }
  return text.empty() ? "" : text + ": ";
}

/// Replaces control characters, so that a finding stays on its line.
std::string OneLine(std::string text) {
  constexpr unsigned char kFirstPrintable = ' ';
  for (char& letter : text) {
    if (static_cast<unsigned char>(letter) < kFirstPrintable) {
      letter = '?';
    }
  }
  return text;
}

void PrintText(std::ostream& out,
               const std::string& file,
               const RouteFindings& findings) {
  for (const RouteFinding& finding : findings) {
    out << file << ": "
        << OneLine(fmt::format("{}{}: {}", PlaceText(finding.place),
                               KindName(finding.kind), finding.message))
        << "\n";
  }
}

nlohmann::json ToJson(const RouteFinding& finding) {
  return {{"kind", KindName(finding.kind)},
          {"table", TableName(finding.place.table)},
          {"row", finding.place.row},
          {"name", finding.place.name},
          {"message", finding.message}};
}

void Append(RouteFindings& findings, RouteFindings added) {
  findings.insert(findings.end(), std::make_move_iterator(added.begin()),
                  std::make_move_iterator(added.end()));
}

/// Reads a configuration; reports an error and returns none if its file cannot
/// be read.
std::optional<platform::RouteFile> ReadFile(CommandContext& context,
                                            const std::string& file) {
  const auto text = base::ReadFile(file, kMaxFileBytes);
  if (!text) {
    ReportError(context, text.error());
    return std::nullopt;
  }
  return platform::ReadRouteFile(text.value());
}

/// Returns the regions of the settings file that is given, if any. Fails if it
/// cannot be read.
base::Result<catalogue::KnownRegions> ReadRegions(
    const CommandContext& context) {
  catalogue::KnownRegions regions;
  if (HasOption(context, "settings")) {
    const auto settings =
        node::ReadNodeSettingsFile(TextOption(context, "settings"));
    if (!settings) {
      return base::Fail(settings.error().kind, settings.error().detail);
    }
    for (const auto& [data_centre, region] : settings.value().regions) {
      regions.insert(region);
    }
  }
  return regions;
}

/// Adds the difference to the version in force, if one is given. Returns false
/// if its file cannot be read, or is no configuration.
bool AddDifference(CommandContext& context,
                   const catalogue::RouteRows& rows,
                   RouteFindings& findings) {
  if (!HasOption(context, "in-force")) {
    return true;
  }
  const std::string file = TextOption(context, "in-force");
  const auto in_force = ReadFile(context, file);
  if (!in_force) {
    return false;
  }
  if (!in_force->rows.complete) {
    // A row that is left out would be reported as added.
    PrintText(context.err, file, in_force->findings);
    return false;
  }
  if (rows.complete) {
    Append(findings, catalogue::CompareRoutes(in_force->rows, rows));
  } else {
    catalogue::RouteFinding& note = findings.emplace_back();
    note.kind = FindingKind::kDifference;
    note.message = "not shown, because a part of the file was not read";
  }
  return true;
}

ExitCode CheckRoutesCommand(CommandContext& context) {
  // Documented as 2 for a file that cannot be read, because 1 means findings.
  constexpr ExitCode kUnreadable = ExitCode::kUsage;
  const std::string file = TextOption(context, "FILE");
  const auto regions = ReadRegions(context);
  if (!regions) {
    ReportError(context, regions.error());
    return kUnreadable;
  }
  auto read = ReadFile(context, file);
  if (!read) {
    return kUnreadable;
  }
  RouteFindings findings = std::move(read->findings);
  Append(findings, catalogue::CheckRoutes(read->rows, regions.value()));
  if (!AddDifference(context, read->rows, findings)) {
    return kUnreadable;
  }
  if (context.json) {
    nlohmann::json list = nlohmann::json::array();
    for (const RouteFinding& finding : findings) {
      list.push_back(ToJson(finding));
    }
    PrintJson(context, {{"file", file},
                        {"version", read->rows.version},
                        {"findings", std::move(list)}});
  } else {
    PrintText(context.out, file, findings);
  }
  return findings.empty() ? ExitCode::kSuccess : ExitCode::kInvalid;
}

}  // namespace

std::vector<Command> RouteCommands() {
  return {{"check-routes",
           "Check a configuration of routes before it is put in force",
           {"FILE"},
           false,
           [](cxxopts::Options& options) {
             options.add_options()("in-force",
                                   "Also show the difference to this version",
                                   cxxopts::value<std::string>(), "FILE")(
                 "settings",
                 "Also check home regions against the data centres in this "
                 "node's settings file",
                 cxxopts::value<std::string>(), "FILE");
           },
           CheckRoutesCommand}};
}

}  // namespace eelgrassbridge::cli
