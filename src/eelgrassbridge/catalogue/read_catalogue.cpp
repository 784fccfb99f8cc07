// Maps YAML fields to the catalogue and collects all problems of a file.
#include "eelgrassbridge/catalogue/read_catalogue.hpp"

#include <algorithm>

#include "eelgrassbridge/base/file.hpp"
#include "eelgrassbridge/base/yaml_fields.hpp"
#include "eelgrassbridge/catalogue/catalogue_names.hpp"
#include "eelgrassbridge/catalogue/validate.hpp"

namespace eelgrassbridge::catalogue {

namespace {

using base::FindField;
using base::Presence;
using base::Problems;
using base::YamlMap;
using base::YamlNode;

constexpr base::YamlLimits kLimits{std::size_t{8} * 1024 * 1024, 500'000, 12};
constexpr std::uint32_t kMaxRate = 1'000'000'000;

void ReadLimits(YamlMap& parent, Limits& out) {
  const YamlNode* node = FindField(parent, "limits");
  if (node == nullptr) {
    return;
  }
  YamlMap map =
      base::OpenMap(*node, base::FieldPath(parent, "limits"), *parent.problems);
  base::ReadInteger(map, "requests_per_second", out.requests_per_second,
                    {0, kMaxRate});
  base::ReadInteger(map, "in_flight", out.in_flight, {0, kMaxRate});
  base::ReadByteSize(map, "max_body_bytes", out.max_body_bytes,
                     {0, kMaxBodyBytes});
  base::FinishMap(map);
}

void ReadPriority(YamlMap& map, PriorityClass& out) {
  out = static_cast<PriorityClass>(base::ReadEnum(
      map, "priority", kPriorityNames, static_cast<std::size_t>(out)));
}

void ReadObjective(YamlMap& parent, Objective& out) {
  const YamlNode* node = FindField(parent, "objective");
  if (node == nullptr) {
    return;
  }
  YamlMap map = base::OpenMap(*node, base::FieldPath(parent, "objective"),
                              *parent.problems);
  base::ReadPercent(map, "availability", out.availability_ppm);
  base::ReadDuration(map, "p99", out.p99, {kMinDeadline, kMaxDeadline});
  base::FinishMap(map);
}

RequestKind ReadKind(const YamlNode& node,
                     const std::string& path,
                     PriorityClass service_priority,
                     Problems& problems) {
  RequestKind kind;
  kind.priority = service_priority;
  YamlMap map = base::OpenMap(node, path, problems);
  base::ReadName(map, "name", kind.name);
  ReadPriority(map, kind.priority);
  base::ReadBool(map, "idempotent", kind.idempotent);
  base::ReadNumber(map, "worth", kind.worth, {0.0, kMaxWorth});
  base::ReadDuration(map, "deadline", kind.deadline,
                     {kMinDeadline, kMaxDeadline});
  ReadLimits(map, kind.limits);
  ReadObjective(map, kind.objective);
  base::FinishMap(map);
  return kind;
}

Service ReadService(const YamlNode& node,
                    const std::string& path,
                    Problems& problems) {
  Service service;
  YamlMap map = base::OpenMap(node, path, problems);
  base::ReadName(map, "name", service.name);
  base::ReadString(map, "owner", service.owner, Presence::kRequired);
  ReadPriority(map, service.priority);
  base::ReadBool(map, "divided_by_key", service.divided_by_key);
  base::ReadInteger(map, "instances", service.instances, {1, kMaxInstances});
  base::ReadInteger(map, "groups_per_instance", service.groups_per_instance,
                    {1, kMaxGroupsPerInstance});
  base::ReadDuration(map, "run_limit", service.run_limit,
                     {kMinDeadline, kMaxDeadline});
  base::ReadStrings(map, "regions", service.regions, Presence::kRequired);
  ReadLimits(map, service.limits);
  base::ReadSequence(map, "kinds", Presence::kRequired,
                     [&](const YamlNode& item, const std::string& item_path) {
                       service.kinds.push_back(ReadKind(
                           item, item_path, service.priority, problems));
                     });
  base::FinishMap(map);
  std::ranges::sort(service.regions);
  return service;
}

ClientAccount ReadAccount(const YamlNode& node,
                          const std::string& path,
                          Problems& problems) {
  ClientAccount account;
  YamlMap map = base::OpenMap(node, path, problems);
  base::ReadName(map, "name", account.name);
  base::ReadStrings(map, "home_regions", account.home_regions);
  ReadLimits(map, account.limits);
  base::FinishMap(map);
  std::ranges::sort(account.home_regions);
  return account;
}

DataCentre ReadDataCentre(const YamlNode& node,
                          const std::string& path,
                          Problems& problems) {
  DataCentre centre;
  YamlMap map = base::OpenMap(node, path, problems);
  base::ReadName(map, "name", centre.name);
  base::ReadName(map, "region", centre.region);
  base::FinishMap(map);
  return centre;
}

Catalogue ReadDocument(const YamlNode& document, Problems& problems) {
  Catalogue out;
  YamlMap map = base::OpenMap(document, "", problems);
  base::ReadName(map, "site", out.site);
  base::ReadSequence(
      map, "data_centres", Presence::kRequired,
      [&](const YamlNode& node, const std::string& path) {
        out.data_centres.push_back(ReadDataCentre(node, path, problems));
      });
  base::ReadSequence(
      map, "services", Presence::kRequired,
      [&](const YamlNode& node, const std::string& path) {
        out.services.push_back(ReadService(node, path, problems));
      });
  base::ReadSequence(
      map, "accounts", Presence::kOptional,
      [&](const YamlNode& node, const std::string& path) {
        out.accounts.push_back(ReadAccount(node, path, problems));
      });
  base::FinishMap(map);
  return out;
}

}  // namespace

base::Result<Catalogue> ReadCatalogue(std::string_view yaml,
                                      std::string_view file_name) {
  Problems problems{std::string(file_name), {}, 0, {}};
  const YamlNode document = base::ParseYaml(yaml, kLimits, problems);
  Catalogue out;
  if (problems.count == 0) {
    out = ReadDocument(document, problems);
  }
  // If a single field is invalid, Validate would report the same fault again
  // with another message.
  if (problems.count == 0) {
    Validate(out, problems);
  }
  if (problems.count != 0) {
    return base::Fail(base::ErrorKind::kCatalogueInvalid,
                      base::ToString(problems));
  }
  return out;
}

base::Result<Catalogue> ReadCatalogueFile(const std::string& file_name) {
  BOOST_OUTCOME_TRY(text, base::ReadFile(file_name, kLimits.max_bytes));
  return ReadCatalogue(text, file_name);
}

}  // namespace eelgrassbridge::catalogue
