// JSON encoding of group rows.
#include "eelgrassbridge/ownership/group_row.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassbridge::ownership {

namespace {

base::Result<base::DaemonId> ReadId(const nlohmann::json& json,
                                    const char* name) {
  const auto id = base::ParseDaemonId(json.value(name, std::string{}));
  if (!id) {
    return base::Fail(
        base::ErrorKind::kInternal,
        std::string("group row: no valid daemon id in field ") + name);
  }
  return *id;
}

}  // namespace

std::string RowKey(const base::GroupId& group) {
  return std::string(kGroupRowPrefix) + base::ToString(group);
}

std::string EncodeRow(const GroupRow& row) {
  nlohmann::json json{{"owner", base::ToString(row.owner)},
                      {"deputy", base::ToString(row.deputy)},
                      {"epoch", row.epoch},
                      {"intent", base::ToString(row.intent)},
                      {"operation", row.operation_id}};
  if (!row.carved_out.empty()) {
    json["carved_out"] = row.carved_out;
  }
  if (row.hot_epoch_floor != 0) {
    json["hot_epoch_floor"] = row.hot_epoch_floor;
  }
  return json.dump();
}

base::Result<GroupRow> DecodeRow(const store::Row& row) {
  GroupRow decoded;
  const std::string_view key = row.key;
  if (!key.starts_with(kGroupRowPrefix)) {
    return base::Fail(base::ErrorKind::kInternal,
                      "not the key of a group row: " + row.key);
  }
  const auto group = base::ParseGroupId(key.substr(kGroupRowPrefix.size()));
  if (!group) {
    return base::Fail(base::ErrorKind::kInternal,
                      "invalid group id in key of group row: " + row.key);
  }
  decoded.group = *group;
  decoded.version = row.version;
  const nlohmann::json json = nlohmann::json::parse(row.value, nullptr, false);
  if (!json.is_object()) {
    return base::Fail(base::ErrorKind::kInternal,
                      "value of group row is not a JSON object: " + row.key);
  }
  try {
    BOOST_OUTCOME_TRY(owner, ReadId(json, "owner"));
    decoded.owner = owner;
    BOOST_OUTCOME_TRY(deputy, ReadId(json, "deputy"));
    decoded.deputy = deputy;
    BOOST_OUTCOME_TRY(intent, ReadId(json, "intent"));
    decoded.intent = intent;
    decoded.epoch = json.at("epoch").get<std::uint64_t>();
    decoded.operation_id = json.value("operation", std::string{});
    decoded.carved_out = json.value("carved_out", std::vector<std::uint64_t>{});
    decoded.hot_epoch_floor = json.value("hot_epoch_floor", std::uint64_t{0});
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(
        base::ErrorKind::kInternal,
        row.key + ": invalid field of group row: " + error.what());
  }
  return decoded;
}

}  // namespace eelgrassbridge::ownership
