// Compares two catalogues field by field and finds unsafe or forbidden changes.
#include "eelgrassbridge/catalogue/diff.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <set>

#include "eelgrassbridge/base/yaml_fields.hpp"
#include "eelgrassbridge/catalogue/catalogue_names.hpp"
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::catalogue {

namespace {

/// Fields of an entry as formatted text, in the order of output.
using FieldList = std::vector<std::pair<std::string_view, std::string>>;
using Entries = std::map<std::string, FieldList, std::less<>>;

std::string FormatValue(const Limits& limits) {
  return fmt::format("{}/s, {} in flight, {} B", limits.requests_per_second,
                     limits.in_flight, limits.max_body_bytes);
}

std::string FormatValue(bool value) {
  return value ? "true" : "false";
}

Entries DataCentreEntries(const Catalogue& catalogue) {
  Entries entries;
  for (const DataCentre& centre : catalogue.data_centres) {
    entries[centre.name] = {{"region", centre.region}};
  }
  return entries;
}

Entries ServiceEntries(const Catalogue& catalogue) {
  Entries entries;
  for (const Service& service : catalogue.services) {
    entries[service.name] = {
        {"owner", service.owner},
        {"priority", std::string(ToString(service.priority))},
        {"divided_by_key", FormatValue(service.divided_by_key)},
        {"instances", std::to_string(service.instances)},
        {"groups_per_instance", std::to_string(service.groups_per_instance)},
        {"run_limit", base::FormatDuration(service.run_limit)},
        {"regions", ResidencyName(service.regions)},
        {"limits", FormatValue(service.limits)}};
  }
  return entries;
}

Entries KindEntries(const Catalogue& catalogue) {
  Entries entries;
  for (const Service& service : catalogue.services) {
    for (const RequestKind& kind : service.kinds) {
      entries[service.name + "/" + kind.name] = {
          {"priority", std::string(ToString(kind.priority))},
          {"idempotent", FormatValue(kind.idempotent)},
          {"worth", fmt::format("{}", kind.worth)},
          {"deadline", base::FormatDuration(kind.deadline)},
          {"limits", FormatValue(kind.limits)},
          {"availability",
           fmt::format("{}%", kind.objective.availability_ppm / 1e4)},
          {"p99", base::FormatDuration(kind.objective.p99)}};
    }
  }
  return entries;
}

Entries AccountEntries(const Catalogue& catalogue) {
  Entries entries;
  for (const ClientAccount& account : catalogue.accounts) {
    entries[account.name] = {
        {"home_regions", account.home_regions.empty()
                             ? "any"
                             : ResidencyName(account.home_regions)},
        {"limits", FormatValue(account.limits)}};
  }
  return entries;
}

Entries OutOfServiceEntries(const Catalogue& catalogue) {
  Entries entries;
  for (const OutOfService& mark : catalogue.out_of_service) {
    entries[fmt::format("{} {}", ToString(mark.what), mark.name)] = {
        {"confirmed_stopped", FormatValue(mark.confirmed_stopped)}};
  }
  return entries;
}

void CompareEntries(Subject subject,
                    const Entries& before,
                    const Entries& after,
                    std::vector<Change>& changes) {
  for (const auto& [name, fields] : before) {
    const auto found = after.find(name);
    if (found == after.end()) {
      changes.push_back({ChangeKind::kRemoved, subject, name, {}, {}, {}});
      continue;
    }
    for (std::size_t i = 0; i < fields.size(); ++i) {
      if (fields[i].second != found->second[i].second) {
        changes.push_back({ChangeKind::kChanged, subject, name,
                           std::string(fields[i].first), fields[i].second,
                           found->second[i].second});
      }
    }
  }
  for (const auto& [name, fields] : after) {
    if (!before.contains(name)) {
      changes.push_back({ChangeKind::kAdded, subject, name, {}, {}, {}});
    }
  }
}

std::string_view SubjectName(Subject subject) {
  switch (subject) {
    case Subject::kSite:
      return "site";
    case Subject::kDataCentre:
      return "data-centre";
    case Subject::kService:
      return "service";
    case Subject::kRequestKind:
      return "kind";
    case Subject::kAccount:
      return "account";
    case Subject::kOutOfService:
      return "out-of-service";
  }
  return "";
}

bool IsServed(const Catalogue& catalogue,
              const std::vector<std::string>& regions) {
  return std::ranges::any_of(
      catalogue.data_centres, [&](const DataCentre& centre) {
        return std::ranges::find(regions, centre.region) != regions.end() &&
               !IsDataCentreOut(catalogue, centre.name);
      });
}

/// Returns a message for each service or account that no data centre in service
/// can serve.
std::set<std::string> UnservedReasons(const Catalogue& catalogue) {
  std::set<std::string> reasons;
  for (const Service& service : catalogue.services) {
    if (!IsServed(catalogue, service.regions)) {
      reasons.insert(
          fmt::format("service {} has no data centre in service in "
                      "its regions ({})",
                      service.name, ResidencyName(service.regions)));
    }
  }
  for (const ClientAccount& account : catalogue.accounts) {
    if (!account.home_regions.empty() &&
        !IsServed(catalogue, account.home_regions)) {
      reasons.insert(
          fmt::format("keys of account {} have no data centre in "
                      "service in their home regions ({})",
                      account.name, ResidencyName(account.home_regions)));
    }
  }
  return reasons;
}

}  // namespace

std::vector<Change> Diff(const Catalogue& before, const Catalogue& after) {
  std::vector<Change> changes;
  if (before.site != after.site) {
    changes.push_back({ChangeKind::kChanged, Subject::kSite, after.site, "site",
                       before.site, after.site});
  }
  CompareEntries(Subject::kDataCentre, DataCentreEntries(before),
                 DataCentreEntries(after), changes);
  CompareEntries(Subject::kService, ServiceEntries(before),
                 ServiceEntries(after), changes);
  CompareEntries(Subject::kRequestKind, KindEntries(before), KindEntries(after),
                 changes);
  CompareEntries(Subject::kAccount, AccountEntries(before),
                 AccountEntries(after), changes);
  CompareEntries(Subject::kOutOfService, OutOfServiceEntries(before),
                 OutOfServiceEntries(after), changes);
  return changes;
}

std::string ToString(const Change& change) {
  const std::string_view subject = SubjectName(change.subject);
  switch (change.kind) {
    case ChangeKind::kAdded:
      return fmt::format("+ {} {}", subject, change.name);
    case ChangeKind::kRemoved:
      return fmt::format("- {} {}", subject, change.name);
    case ChangeKind::kChanged:
      return fmt::format("~ {} {} {}: {} -> {}", subject, change.name,
                         change.field, change.before, change.after);
  }
  return {};
}

std::vector<std::string> UnsafeReasons(const Catalogue& before,
                                       const Catalogue& after) {
  const std::set<std::string> old_reasons = UnservedReasons(before);
  std::vector<std::string> reasons;
  for (const std::string& reason : UnservedReasons(after)) {
    if (!old_reasons.contains(reason)) {
      reasons.push_back(reason);
    }
  }
  return reasons;
}

std::vector<std::string> ForbiddenReasons(const Catalogue& before,
                                          const Catalogue& after) {
  std::vector<std::string> reasons;
  for (const Service& service : after.services) {
    const Service* const known = FindService(before, service.name);
    if (known == nullptr) {
      continue;
    }
    if (known->divided_by_key != service.divided_by_key) {
      reasons.push_back(fmt::format(
          "service {}: divided_by_key cannot change; use a new service name",
          service.name));
    } else if (service.divided_by_key &&
               GroupCount(*known) != GroupCount(service)) {
      reasons.push_back(fmt::format(
          "service {}: the number of groups (instances times "
          "groups_per_instance) cannot change from {} to {}, because keys "
          "would temporarily have two owners; choose groups_per_instance so "
          "that it stays {}, or use a new service name",
          service.name, GroupCount(*known), GroupCount(service),
          GroupCount(*known)));
    }
  }
  return reasons;
}

}  // namespace eelgrassbridge::catalogue
