// JSON encoding of the bodies of the admin endpoints.
#include "eelgrassbridge/daemon/admin_messages.hpp"

#include <nlohmann/json.hpp>

#include "eelgrassbridge/catalogue/catalogue_json.hpp"

namespace eelgrassbridge::daemon {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxBytes =
    catalogue::kMaxCatalogueJsonBytes + std::size_t{64} * 1024;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Parses JSON text and calls `read` on the value. A field that is missing or
/// has the wrong type is returned as kBadRequest.
template <typename T, typename Function>
base::Result<T> ReadJson(std::string_view text, const Function& read) {
  auto value = catalogue::ParseBoundedJson(text, kMaxBytes);
  if (!value) {
    return base::Fail(value.error().kind, value.error().detail);
  }
  try {
    return read(value.value());
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kBadRequest, error.what());
  }
}

json ToJson(const HistoryEntry& entry) {
  return {
      {"version", entry.version},       {"operation_id", entry.operation_id},
      {"changed_by", entry.changed_by}, {"changed_at_ms", entry.changed_at_ms},
      {"reason", entry.reason},         {"changes", entry.changes}};
}

HistoryEntry EntryFromJson(const json& value) {
  HistoryEntry entry;
  value.at("version").get_to(entry.version);
  value.at("operation_id").get_to(entry.operation_id);
  value.at("changed_by").get_to(entry.changed_by);
  value.at("changed_at_ms").get_to(entry.changed_at_ms);
  value.at("reason").get_to(entry.reason);
  value.at("changes").get_to(entry.changes);
  return entry;
}

json ToJson(const DaemonStatus& daemon) {
  return {{"name", daemon.name},
          {"id", daemon.id},
          {"http", daemon.http},
          {"data_centre", daemon.data_centre},
          {"region", daemon.region},
          {"service", daemon.service},
          {"state", daemon.state},
          {"catalogue_version", daemon.catalogue_version},
          {"groups_owned", daemon.groups_owned}};
}

DaemonStatus DaemonFromJson(const json& value) {
  DaemonStatus daemon;
  value.at("name").get_to(daemon.name);
  value.at("id").get_to(daemon.id);
  value.at("http").get_to(daemon.http);
  value.at("data_centre").get_to(daemon.data_centre);
  value.at("region").get_to(daemon.region);
  value.at("service").get_to(daemon.service);
  value.at("state").get_to(daemon.state);
  value.at("catalogue_version").get_to(daemon.catalogue_version);
  value.at("groups_owned").get_to(daemon.groups_owned);
  return daemon;
}

}  // namespace

std::string WriteChangeJson(const CatalogueChange& change) {
  return Dump({{"expected_version", change.expected_version},
               {"operation_id", change.operation_id},
               {"allow_unsafe", change.allow_unsafe},
               {"catalogue", catalogue::CatalogueToJson(change.next)}});
}

base::Result<CatalogueChange> ReadChangeJson(std::string_view text) {
  constexpr std::size_t kIdDigits = 32;
  return ReadJson<CatalogueChange>(
      text, [](const json& value) -> base::Result<CatalogueChange> {
        CatalogueChange change;
        if (!value.at("expected_version").is_number_unsigned()) {
          return base::Fail(base::ErrorKind::kBadRequest,
                            "expected_version: must be a non-negative integer");
        }
        value.at("expected_version").get_to(change.expected_version);
        value.at("operation_id").get_to(change.operation_id);
        change.allow_unsafe = value.value("allow_unsafe", false);
        if (change.operation_id.size() != kIdDigits ||
            change.operation_id.find_first_not_of("0123456789abcdef") !=
                std::string::npos) {
          return base::Fail(base::ErrorKind::kBadRequest,
                            "operation_id: must be 32 lower-case hexadecimal "
                            "digits");
        }
        BOOST_OUTCOME_TRY(next,
                          catalogue::CatalogueFromJson(value.at("catalogue")));
        change.next = std::move(next);
        return change;
      });
}

std::string WriteHistoryJson(const std::vector<HistoryEntry>& entries) {
  json list = json::array();
  for (const HistoryEntry& entry : entries) {
    list.push_back(ToJson(entry));
  }
  return Dump({{"history", std::move(list)}});
}

base::Result<std::vector<HistoryEntry>> ReadHistoryJson(std::string_view text) {
  return ReadJson<std::vector<HistoryEntry>>(text, [](const json& value) {
    std::vector<HistoryEntry> entries;
    for (const json& entry : value.at("history")) {
      entries.push_back(EntryFromJson(entry));
    }
    return entries;
  });
}

std::string WriteStatusJson(const FleetStatus& status) {
  json daemons = json::array();
  for (const DaemonStatus& daemon : status.daemons) {
    daemons.push_back(ToJson(daemon));
  }
  return Dump({{"site", status.site},
               {"answered_by", status.answered_by},
               {"ready", status.ready},
               {"store_reachable", status.store_reachable},
               {"catalogue_version", status.catalogue_version},
               {"groups", status.groups},
               {"groups_without_owner", status.groups_without_owner},
               {"daemons", std::move(daemons)}});
}

base::Result<FleetStatus> ReadStatusJson(std::string_view text) {
  return ReadJson<FleetStatus>(text, [](const json& value) {
    FleetStatus status;
    value.at("site").get_to(status.site);
    value.at("answered_by").get_to(status.answered_by);
    value.at("ready").get_to(status.ready);
    value.at("store_reachable").get_to(status.store_reachable);
    value.at("catalogue_version").get_to(status.catalogue_version);
    value.at("groups").get_to(status.groups);
    value.at("groups_without_owner").get_to(status.groups_without_owner);
    for (const json& daemon : value.at("daemons")) {
      status.daemons.push_back(DaemonFromJson(daemon));
    }
    return status;
  });
}

base::Result<catalogue::Catalogue> ReadCatalogueReply(std::string_view text) {
  return ReadJson<catalogue::Catalogue>(
      text, [](const json& value) -> base::Result<catalogue::Catalogue> {
        if (value.at("version") == 0) {
          return catalogue::Catalogue{};
        }
        return catalogue::CatalogueFromJson(value);
      });
}

}  // namespace eelgrassbridge::daemon
