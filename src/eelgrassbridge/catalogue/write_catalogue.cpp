// Writes a catalogue with the emitter of yaml-cpp.
#include "eelgrassbridge/catalogue/write_catalogue.hpp"

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/emitter.h>
#include <yaml-cpp/emittermanip.h>

#include "eelgrassbridge/base/yaml_fields.hpp"
#include "eelgrassbridge/catalogue/catalogue_names.hpp"

namespace eelgrassbridge::catalogue {

namespace {

using YAML::Emitter;

template <typename T>
void WriteField(Emitter& out, const char* name, const T& value) {
  out << YAML::Key << name << YAML::Value << value;
}

void WriteField(Emitter& out, const char* name, base::Duration value) {
  WriteField(out, name, base::FormatDuration(value));
}

void WriteWords(Emitter& out,
                const char* name,
                const std::vector<std::string>& words) {
  out << YAML::Key << name << YAML::Value << YAML::Flow << YAML::BeginSeq;
  for (const std::string& word : words) {
    out << word;
  }
  out << YAML::EndSeq;
}

void WriteLimits(Emitter& out, const Limits& limits) {
  if (limits == Limits{}) {
    return;
  }
  out << YAML::Key << "limits" << YAML::Value << YAML::Flow << YAML::BeginMap;
  WriteField(out, "requests_per_second", limits.requests_per_second);
  WriteField(out, "in_flight", limits.in_flight);
  WriteField(out, "max_body_bytes", fmt::format("{}B", limits.max_body_bytes));
  out << YAML::EndMap;
}

void WriteKind(Emitter& out, const RequestKind& kind) {
  constexpr double kPpmPerPercent = 1e4;
  out << YAML::BeginMap;
  WriteField(out, "name", kind.name);
  WriteField(out, "priority", std::string(ToString(kind.priority)));
  WriteField(out, "idempotent", kind.idempotent);
  WriteField(out, "worth", kind.worth);
  WriteField(out, "deadline", kind.deadline);
  WriteLimits(out, kind.limits);
  out << YAML::Key << "objective" << YAML::Value << YAML::Flow
      << YAML::BeginMap;
  WriteField(
      out, "availability",
      fmt::format("{}%", kind.objective.availability_ppm / kPpmPerPercent));
  WriteField(out, "p99", kind.objective.p99);
  out << YAML::EndMap << YAML::EndMap;
}

void WriteService(Emitter& out, const Service& service) {
  out << YAML::BeginMap;
  WriteField(out, "name", service.name);
  WriteField(out, "owner", service.owner);
  WriteField(out, "priority", std::string(ToString(service.priority)));
  WriteField(out, "divided_by_key", service.divided_by_key);
  WriteField(out, "instances", service.instances);
  WriteField(out, "groups_per_instance", service.groups_per_instance);
  WriteField(out, "run_limit", service.run_limit);
  WriteWords(out, "regions", service.regions);
  WriteLimits(out, service.limits);
  out << YAML::Key << "kinds" << YAML::Value << YAML::BeginSeq;
  for (const RequestKind& kind : service.kinds) {
    WriteKind(out, kind);
  }
  out << YAML::EndSeq << YAML::EndMap;
}

void WriteAccount(Emitter& out, const ClientAccount& account) {
  out << YAML::BeginMap;
  WriteField(out, "name", account.name);
  WriteWords(out, "home_regions", account.home_regions);
  WriteLimits(out, account.limits);
  out << YAML::EndMap;
}

}  // namespace

std::string WriteCatalogueYaml(const Catalogue& catalogue) {
  Emitter out;
  out.SetDoublePrecision(17);
  out << YAML::BeginMap;
  WriteField(out, "site", catalogue.site);
  out << YAML::Key << "data_centres" << YAML::Value << YAML::BeginSeq;
  for (const DataCentre& centre : catalogue.data_centres) {
    out << YAML::Flow << YAML::BeginMap;
    WriteField(out, "name", centre.name);
    WriteField(out, "region", centre.region);
    out << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::Key << "services" << YAML::Value
      << YAML::BeginSeq;
  for (const Service& service : catalogue.services) {
    WriteService(out, service);
  }
  out << YAML::EndSeq << YAML::Key << "accounts" << YAML::Value
      << YAML::BeginSeq;
  for (const ClientAccount& account : catalogue.accounts) {
    WriteAccount(out, account);
  }
  out << YAML::EndSeq << YAML::EndMap;
  std::string text = fmt::format("# version {}\n", catalogue.version);
  for (const OutOfService& mark : catalogue.out_of_service) {
    text += fmt::format("# out of service: {} {}{}\n", ToString(mark.what),
                        mark.name,
                        mark.confirmed_stopped ? " (confirmed stopped)" : "");
  }
  return text + out.c_str() + "\n";
}

}  // namespace eelgrassbridge::catalogue
