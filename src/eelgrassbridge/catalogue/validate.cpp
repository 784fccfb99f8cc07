// The checks of names, regions, texts and numbers of a catalogue.
#include "eelgrassbridge/catalogue/validate.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "eelgrassbridge/base/yaml_fields.hpp"

namespace eelgrassbridge::catalogue {

namespace {

using base::AddProblem;
using base::Problems;

struct Checker {
  Problems& problems;
  std::set<std::string_view> regions = {};
};

void CheckName(Checker& checker,
               const std::string& path,
               std::string_view name) {
  if (!base::IsValidName(name)) {
    AddProblem(checker.problems, 0, path + ".name",
               "expected a name of 1 to 63 lower-case letters, digits and "
               "'-', beginning with a letter or digit");
  }
}

/// JSON can only represent valid UTF-8. Other bytes would be replaced when the
/// catalogue is sent, so that daemons would receive a different catalogue than
/// the accepted one.
void CheckText(Checker& checker,
               const std::string& path,
               const std::string& text) {
  try {
    (void)nlohmann::json(text).dump();
  } catch (const nlohmann::json::type_error&) {
    AddProblem(checker.problems, 0, path, "expected text in UTF-8");
  }
}

void CheckUnique(Checker& checker,
                 std::set<std::string_view>& seen,
                 const std::string& path,
                 std::string_view name) {
  if (!seen.insert(name).second) {
    AddProblem(checker.problems, 0, path + ".name",
               fmt::format("the name '{}' is given twice", name));
  }
}

void CheckRegions(Checker& checker,
                  const std::string& path,
                  const std::vector<std::string>& regions) {
  for (std::size_t i = 0; i < regions.size(); ++i) {
    if (!checker.regions.contains(regions[i])) {
      AddProblem(checker.problems, 0, fmt::format("{}[{}]", path, i),
                 fmt::format("no data centre is in region '{}'; expected a "
                             "region of data_centres",
                             regions[i]));
    }
  }
  if (!std::ranges::is_sorted(regions) ||
      std::ranges::adjacent_find(regions) != regions.end()) {
    AddProblem(checker.problems, 0, path,
               "expected each region once, in sorted order");
  }
}

void CheckDuration(Checker& checker,
                   const std::string& path,
                   base::Duration value) {
  if (value < kMinDeadline || value > kMaxDeadline) {
    AddProblem(checker.problems, 0, path,
               fmt::format("expected a duration from {} to {}",
                           base::FormatDuration(kMinDeadline),
                           base::FormatDuration(kMaxDeadline)));
  }
}

void CheckCount(Checker& checker,
                const std::string& path,
                std::uint64_t value,
                std::uint64_t lowest,
                std::uint64_t highest) {
  if (value < lowest || value > highest) {
    AddProblem(checker.problems, 0, path,
               fmt::format("{} is invalid; expected an integer from {} to {}",
                           value, lowest, highest));
  }
}

void CheckKind(Checker& checker,
               const std::string& path,
               const RequestKind& kind) {
  CheckName(checker, path, kind.name);
  CheckDuration(checker, path + ".deadline", kind.deadline);
  CheckDuration(checker, path + ".objective.p99", kind.objective.p99);
  CheckCount(checker, path + ".limits.max_body_bytes",
             kind.limits.max_body_bytes, 0, kMaxBodyBytes);
  if (kind.objective.availability_ppm >= kMaxAvailabilityPpm) {
    AddProblem(checker.problems, 0, path + ".objective.availability",
               "must be less than 100%: an objective of 100% has no error "
               "budget");
  }
  if (!std::isfinite(kind.worth) || kind.worth < 0 || kind.worth > kMaxWorth) {
    AddProblem(checker.problems, 0, path + ".worth",
               fmt::format("expected a number from 0 to {}", kMaxWorth));
  }
}

void CheckService(Checker& checker,
                  const std::string& path,
                  const Service& service) {
  CheckName(checker, path, service.name);
  CheckCount(checker, path + ".instances", service.instances, 1, kMaxInstances);
  CheckCount(checker, path + ".groups_per_instance",
             service.groups_per_instance, 1, kMaxGroupsPerInstance);
  CheckCount(checker, path + ".limits.max_body_bytes",
             service.limits.max_body_bytes, 0, kMaxBodyBytes);
  CheckDuration(checker, path + ".run_limit", service.run_limit);
  CheckText(checker, path + ".owner", service.owner);
  CheckRegions(checker, path + ".regions", service.regions);
  if (service.regions.empty()) {
    AddProblem(checker.problems, 0, path + ".regions",
               "expected a list of at least one region");
  }
  if (service.kinds.empty()) {
    AddProblem(checker.problems, 0, path + ".kinds",
               "expected a list of at least one request kind");
  }
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < service.kinds.size(); ++i) {
    const std::string kind_path = fmt::format("{}.kinds[{}]", path, i);
    CheckKind(checker, kind_path, service.kinds[i]);
    CheckUnique(checker, names, kind_path, service.kinds[i].name);
  }
}

void CheckDataCentres(Checker& checker, const Catalogue& catalogue) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < catalogue.data_centres.size(); ++i) {
    const DataCentre& centre = catalogue.data_centres[i];
    const std::string path = fmt::format("data_centres[{}]", i);
    CheckName(checker, path, centre.name);
    CheckUnique(checker, names, path, centre.name);
    if (!base::IsValidName(centre.region)) {
      AddProblem(checker.problems, 0, path + ".region",
                 "expected a name of lower-case letters, digits and '-'");
    }
    checker.regions.insert(centre.region);
  }
  if (catalogue.data_centres.empty()) {
    AddProblem(checker.problems, 0, "data_centres",
               "expected a list of at least one data centre");
  }
}

void CheckOutOfService(Checker& checker, const Catalogue& catalogue) {
  for (std::size_t i = 0; i < catalogue.out_of_service.size(); ++i) {
    const OutOfService& mark = catalogue.out_of_service[i];
    const std::string path = fmt::format("out_of_service[{}]", i);
    CheckName(checker, path, mark.name);
    if (mark.what == OutOfService::What::kDataCentre &&
        std::ranges::find(catalogue.data_centres, mark.name,
                          &DataCentre::name) == catalogue.data_centres.end()) {
      AddProblem(checker.problems, 0, path + ".name",
                 fmt::format("no data centre is named '{}'", mark.name));
    }
  }
}

}  // namespace

void Validate(const Catalogue& catalogue, Problems& problems) {
  Checker checker{problems};
  if (!base::IsValidName(catalogue.site)) {
    AddProblem(problems, 0, "site",
               "expected a name of lower-case letters, digits and '-'");
  }
  CheckDataCentres(checker, catalogue);
  std::set<std::string_view> services;
  for (std::size_t i = 0; i < catalogue.services.size(); ++i) {
    const std::string path = fmt::format("services[{}]", i);
    CheckService(checker, path, catalogue.services[i]);
    CheckUnique(checker, services, path, catalogue.services[i].name);
  }
  std::set<std::string_view> accounts;
  for (std::size_t i = 0; i < catalogue.accounts.size(); ++i) {
    const std::string path = fmt::format("accounts[{}]", i);
    CheckName(checker, path, catalogue.accounts[i].name);
    CheckUnique(checker, accounts, path, catalogue.accounts[i].name);
    CheckRegions(checker, path + ".home_regions",
                 catalogue.accounts[i].home_regions);
    CheckCount(checker, path + ".limits.max_body_bytes",
               catalogue.accounts[i].limits.max_body_bytes, 0, kMaxBodyBytes);
  }
  CheckOutOfService(checker, catalogue);
}

std::vector<base::Problem> Validate(const Catalogue& catalogue) {
  Problems problems;
  Validate(catalogue, problems);
  return problems.list;
}

}  // namespace eelgrassbridge::catalogue
