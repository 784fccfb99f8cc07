// Converts a catalogue to and from JSON, with range checks on all numbers.
#include "eelgrassbridge/catalogue/catalogue_json.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

#include "eelgrassbridge/catalogue/catalogue_names.hpp"
#include "eelgrassbridge/catalogue/validate.hpp"

namespace eelgrassbridge::catalogue {

namespace {

using nlohmann::json;

constexpr int kMaxDepth = 16;

/// Thrown and caught within this file for a value that is valid JSON but not
/// accepted in a catalogue.
struct InvalidValue {
  std::string message;
};

json ToJson(const Limits& limits) {
  return {{"requests_per_second", limits.requests_per_second},
          {"in_flight", limits.in_flight},
          {"max_body_bytes", limits.max_body_bytes}};
}

json ToJson(const RequestKind& kind) {
  return {{"name", kind.name},
          {"priority", ToString(kind.priority)},
          {"idempotent", kind.idempotent},
          {"worth", kind.worth},
          {"deadline_us", kind.deadline.count()},
          {"limits", ToJson(kind.limits)},
          {"objective",
           {{"availability_ppm", kind.objective.availability_ppm},
            {"p99_us", kind.objective.p99.count()}}}};
}

json ToJson(const Service& service) {
  json kinds = json::array();
  for (const RequestKind& kind : service.kinds) {
    kinds.push_back(ToJson(kind));
  }
  return {{"name", service.name},
          {"owner", service.owner},
          {"priority", ToString(service.priority)},
          {"divided_by_key", service.divided_by_key},
          {"instances", service.instances},
          {"groups_per_instance", service.groups_per_instance},
          {"run_limit_us", service.run_limit.count()},
          {"regions", service.regions},
          {"limits", ToJson(service.limits)},
          {"kinds", std::move(kinds)}};
}

json ToJson(const ClientAccount& account) {
  return {{"name", account.name},
          {"home_regions", account.home_regions},
          {"limits", ToJson(account.limits)}};
}

json ToJson(const OutOfService& mark) {
  return {{"what", ToString(mark.what)},
          {"name", mark.name},
          {"confirmed_stopped", mark.confirmed_stopped}};
}

template <typename T>
T ParseInteger(const json& object, const char* name) {
  const json& value = object.at(name);
  if (!value.is_number_integer()) {
    throw InvalidValue{fmt::format("{}: expected an integer", name)};
  }
  // A plain get() would silently wrap negative or too large numbers.
  const bool is_negative =
      !value.is_number_unsigned() && value.get<std::int64_t>() < 0;
  if ((is_negative && std::is_unsigned_v<T>) ||
      (!is_negative &&
       value.get<std::uint64_t>() >
           static_cast<std::uint64_t>(std::numeric_limits<T>::max()))) {
    throw InvalidValue{fmt::format("{}: the number is out of range", name)};
  }
  return value.get<T>();
}

template <std::size_t N>
std::size_t ParseEnum(const json& object,
                      const char* name,
                      const std::array<std::string_view, N>& accepted) {
  const std::string word = object.at(name).get<std::string>();
  const auto found = std::ranges::find(accepted, word);
  if (found == accepted.end()) {
    throw InvalidValue{fmt::format("{}: '{}' is invalid", name,
                                   std::string_view(word).substr(0, 60))};
  }
  return static_cast<std::size_t>(std::distance(accepted.begin(), found));
}

base::Duration ParseMicroseconds(const json& object, const char* name) {
  return base::Duration{ParseInteger<std::int64_t>(object, name)};
}

Limits LimitsFromJson(const json& value) {
  return {ParseInteger<std::uint32_t>(value, "requests_per_second"),
          ParseInteger<std::uint32_t>(value, "in_flight"),
          ParseInteger<std::uint64_t>(value, "max_body_bytes")};
}

RequestKind KindFromJson(const json& value) {
  RequestKind kind;
  kind.name = value.at("name").get<std::string>();
  kind.priority =
      static_cast<PriorityClass>(ParseEnum(value, "priority", kPriorityNames));
  kind.idempotent = value.at("idempotent").get<bool>();
  kind.worth = value.at("worth").get<double>();
  kind.deadline = ParseMicroseconds(value, "deadline_us");
  kind.limits = LimitsFromJson(value.at("limits"));
  const json& objective = value.at("objective");
  kind.objective.availability_ppm =
      ParseInteger<std::uint32_t>(objective, "availability_ppm");
  kind.objective.p99 = ParseMicroseconds(objective, "p99_us");
  return kind;
}

Service ServiceFromJson(const json& value) {
  Service service;
  service.name = value.at("name").get<std::string>();
  service.owner = value.at("owner").get<std::string>();
  service.priority =
      static_cast<PriorityClass>(ParseEnum(value, "priority", kPriorityNames));
  service.divided_by_key = value.at("divided_by_key").get<bool>();
  service.instances = ParseInteger<std::uint32_t>(value, "instances");
  service.groups_per_instance =
      ParseInteger<std::uint32_t>(value, "groups_per_instance");
  service.run_limit = ParseMicroseconds(value, "run_limit_us");
  service.regions = value.at("regions").get<std::vector<std::string>>();
  service.limits = LimitsFromJson(value.at("limits"));
  for (const json& kind : value.at("kinds")) {
    service.kinds.push_back(KindFromJson(kind));
  }
  return service;
}

OutOfService MarkFromJson(const json& value) {
  return {static_cast<OutOfService::What>(
              ParseEnum(value, "what", kOutOfServiceNames)),
          value.at("name").get<std::string>(),
          value.at("confirmed_stopped").get<bool>()};
}

Catalogue ReadFields(const json& value) {
  Catalogue out;
  out.version = ParseInteger<std::uint64_t>(value, "version");
  out.site = value.at("site").get<std::string>();
  for (const json& centre : value.at("data_centres")) {
    out.data_centres.push_back({centre.at("name").get<std::string>(),
                                centre.at("region").get<std::string>()});
  }
  for (const json& service : value.at("services")) {
    out.services.push_back(ServiceFromJson(service));
  }
  for (const json& account : value.at("accounts")) {
    out.accounts.push_back(
        {account.at("name").get<std::string>(),
         account.at("home_regions").get<std::vector<std::string>>(),
         LimitsFromJson(account.at("limits"))});
  }
  for (const json& mark : value.at("out_of_service")) {
    out.out_of_service.push_back(MarkFromJson(mark));
  }
  out.changed_by = value.at("changed_by").get<std::string>();
  out.changed_at_ms = ParseInteger<std::int64_t>(value, "changed_at_ms");
  out.reason = value.at("reason").get<std::string>();
  return out;
}

}  // namespace

json CatalogueToJson(const Catalogue& catalogue) {
  json value = {{"version", catalogue.version},
                {"site", catalogue.site},
                {"data_centres", json::array()},
                {"services", json::array()},
                {"accounts", json::array()},
                {"out_of_service", json::array()},
                {"changed_by", catalogue.changed_by},
                {"changed_at_ms", catalogue.changed_at_ms},
                {"reason", catalogue.reason}};
  for (const DataCentre& centre : catalogue.data_centres) {
    value["data_centres"].push_back(
        {{"name", centre.name}, {"region", centre.region}});
  }
  for (const Service& service : catalogue.services) {
    value["services"].push_back(ToJson(service));
  }
  for (const ClientAccount& account : catalogue.accounts) {
    value["accounts"].push_back(ToJson(account));
  }
  for (const OutOfService& mark : catalogue.out_of_service) {
    value["out_of_service"].push_back(ToJson(mark));
  }
  return value;
}

std::string WriteCatalogueJson(const Catalogue& catalogue) {
  return CatalogueToJson(catalogue).dump(-1, ' ', false,
                                         json::error_handler_t::replace);
}

base::Result<Catalogue> CatalogueFromJson(const json& value) {
  Catalogue out;
  try {
    out = ReadFields(value);
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kCatalogueInvalid, error.what());
  } catch (const InvalidValue& error) {
    return base::Fail(base::ErrorKind::kCatalogueInvalid, error.message);
  }
  base::Problems problems{"catalogue", {}, 0, {}};
  Validate(out, problems);
  if (problems.count != 0) {
    return base::Fail(base::ErrorKind::kCatalogueInvalid,
                      base::ToString(problems));
  }
  return out;
}

base::Result<json> ParseBoundedJson(std::string_view text,
                                    std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    return base::Fail(
        base::ErrorKind::kBodyTooLarge,
        fmt::format("{} bytes; expected at most {}", text.size(), max_bytes));
  }
  try {
    return json::parse(
        text, [](int depth, json::parse_event_t /*event*/, json& /*value*/) {
          if (depth > kMaxDepth) {
            throw InvalidValue{
                fmt::format("nested deeper than {} levels", kMaxDepth)};
          }
          return true;
        });
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kBadRequest, error.what());
  } catch (const InvalidValue& error) {
    return base::Fail(base::ErrorKind::kBadRequest, error.message);
  }
}

base::Result<Catalogue> ReadCatalogueJson(std::string_view text) {
  auto value = ParseBoundedJson(text, kMaxCatalogueJsonBytes);
  if (!value) {
    return base::Fail(base::ErrorKind::kCatalogueInvalid, value.error().detail);
  }
  return CatalogueFromJson(value.value());
}

}  // namespace eelgrassbridge::catalogue
