// The commands data-centre and target: list, take-out and bring-back.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "eelgrassbridge/base/yaml_fields.hpp"
#include "eelgrassbridge/catalogue/catalogue_names.hpp"
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/cli/submit_change.hpp"

namespace eelgrassbridge::cli {

namespace {

using catalogue::OutOfService;

/// Client and current catalogue.
struct TakeOutInput {
  AdminClient client;
  catalogue::Catalogue current;
};

base::Result<TakeOutInput> ReadInput(const CommandContext& context) {
  BOOST_OUTCOME_TRY(client, MakeAdminClient(context));
  BOOST_OUTCOME_TRY(current, GetCatalogue(client));
  return TakeOutInput{std::move(client), std::move(current)};
}

/// Fails if the name is unknown, so that a mistyped name isn't accepted without
/// any effect.
base::Result<void> CheckName(const TakeOutInput& input,
                             OutOfService::What what,
                             const std::string& name) {
  if (what == OutOfService::What::kDataCentre) {
    const bool is_known = std::ranges::any_of(
        input.current.data_centres,
        [&](const auto& centre) { return centre.name == name; });
    return is_known
               ? base::Result<void>(base::outcome::success())
               : base::Fail(base::ErrorKind::kNotFound,
                            fmt::format("no data centre is named '{}'", name));
  }
  BOOST_OUTCOME_TRY(status, GetStatus(input.client));
  const bool is_known = std::ranges::any_of(
      status.daemons, [&](const auto& daemon) { return daemon.name == name; });
  return is_known ? base::Result<void>(base::outcome::success())
                  : base::Fail(base::ErrorKind::kNotFound,
                               fmt::format("no target is named '{}'; run "
                                           "status for the list",
                                           name));
}

ExitCode TakeOut(CommandContext& context, OutOfService::What what) {
  const std::string name = TextOption(context, "NAME");
  const auto input = ReadInput(context);
  if (!input) {
    return ReportError(context, input.error());
  }
  const auto checked = CheckName(input.value(), what, name);
  if (!checked) {
    return ReportError(context, checked.error());
  }
  catalogue::Catalogue next = input.value().current;
  std::erase_if(next.out_of_service, [&](const OutOfService& mark) {
    return mark.what == what && mark.name == name;
  });
  next.out_of_service.push_back(
      {what, name, HasOption(context, "confirm-stopped")});
  return SubmitChange(context, input.value().client, input.value().current,
                      std::move(next));
}

ExitCode BringBack(CommandContext& context, OutOfService::What what) {
  const std::string name = TextOption(context, "NAME");
  const auto input = ReadInput(context);
  if (!input) {
    return ReportError(context, input.error());
  }
  catalogue::Catalogue next = input.value().current;
  const auto erased =
      std::erase_if(next.out_of_service, [&](const OutOfService& mark) {
        return mark.what == what && mark.name == name;
      });
  if (erased == 0) {
    return ReportError(context, {base::ErrorKind::kNotFound,
                                 fmt::format("{} '{}' is not out of service",
                                             catalogue::ToString(what), name)});
  }
  return SubmitChange(context, input.value().client, input.value().current,
                      std::move(next));
}

std::string ServiceState(const catalogue::Catalogue& current,
                         OutOfService::What what,
                         std::string_view name) {
  for (const OutOfService& mark : current.out_of_service) {
    if (mark.what == what && mark.name == name) {
      return mark.confirmed_stopped ? "out (confirmed stopped)" : "out";
    }
  }
  return "in service";
}

ExitCode ListDataCentres(CommandContext& context) {
  const auto input = ReadInput(context);
  if (!input) {
    return ReportError(context, input.error());
  }
  const catalogue::Catalogue& current = input.value().current;
  nlohmann::json list = nlohmann::json::array();
  for (const catalogue::DataCentre& centre : current.data_centres) {
    const std::string state =
        ServiceState(current, OutOfService::What::kDataCentre, centre.name);
    list.push_back(
        {{"name", centre.name}, {"region", centre.region}, {"state", state}});
    if (!context.json) {
      context.out << fmt::format("{:<24}{:<16}{}\n", centre.name, centre.region,
                                 state);
    }
  }
  if (context.json) {
    PrintJson(context, {{"data_centres", list}});
  }
  return ExitCode::kSuccess;
}

ExitCode ListTargets(CommandContext& context) {
  const auto input = ReadInput(context);
  if (!input) {
    return ReportError(context, input.error());
  }
  const auto status = GetStatus(input.value().client);
  if (!status) {
    return ReportError(context, status.error());
  }
  nlohmann::json list = nlohmann::json::array();
  for (const daemon::DaemonStatus& daemon : status.value().daemons) {
    const std::string mark = ServiceState(
        input.value().current, OutOfService::What::kTarget, daemon.name);
    list.push_back({{"name", daemon.name},
                    {"service", daemon.service},
                    {"data_centre", daemon.data_centre},
                    {"daemon_state", daemon.state},
                    {"state", mark}});
    if (!context.json) {
      context.out << fmt::format("{:<20}{:<16}{:<20}{:<10}{}\n", daemon.name,
                                 daemon.service, daemon.data_centre,
                                 daemon.state, mark);
    }
  }
  if (context.json) {
    PrintJson(context, {{"targets", list}});
  }
  return ExitCode::kSuccess;
}

void AddTakeOutOptions(cxxopts::Options& options) {
  AddChangeOptions(options);
  options.add_options()(
      "confirm-stopped",
      "Confirm that it is stopped permanently; shortens the wait before keys "
      "get a new owner if owner and deputy are both lost. Unsafe while any of "
      "its servers still runs: two servers could then own the same key");
}

ExitCode TakeOutDataCentre(CommandContext& context) {
  return TakeOut(context, OutOfService::What::kDataCentre);
}

ExitCode TakeOutTarget(CommandContext& context) {
  return TakeOut(context, OutOfService::What::kTarget);
}

ExitCode BringBackDataCentre(CommandContext& context) {
  return BringBack(context, OutOfService::What::kDataCentre);
}

ExitCode BringBackTarget(CommandContext& context) {
  return BringBack(context, OutOfService::What::kTarget);
}

}  // namespace

std::vector<Command> TakeOutCommands() {
  return {{"data-centre list",
           "List the data centres and whether they are in service",
           {},
           true,
           nullptr,
           ListDataCentres},
          {"data-centre take-out",
           "Stop sending new requests to a data centre and move its keys away",
           {"NAME"},
           true,
           AddTakeOutOptions,
           TakeOutDataCentre},
          {"data-centre bring-back",
           "Return a data centre to service",
           {"NAME"},
           true,
           AddChangeOptions,
           BringBackDataCentre},
          {"target list",
           "List the targets and whether they are in service",
           {},
           true,
           nullptr,
           ListTargets},
          {"target take-out",
           "Stop sending new requests to a target and move its keys away",
           {"NAME"},
           true,
           AddTakeOutOptions,
           TakeOutTarget},
          {"target bring-back",
           "Return a target to service",
           {"NAME"},
           true,
           AddChangeOptions,
           BringBackTarget}};
}

}  // namespace eelgrassbridge::cli
