// Encoding and decoding of the table service's JSON bodies.
#include "eelgrassbridge/store/table_json.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassbridge::store {

namespace {

using nlohmann::json;

json RowToJson(const Row& row) {
  return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

Row RowFromJson(const json& value) {
  return Row{.key = value.at("key").get<std::string>(),
             .version = value.at("version").get<std::uint64_t>(),
             .value = value.at("value").get<std::string>()};
}

json RowListToJson(const std::vector<Row>& rows) {
  json list = json::array();
  for (const auto& row : rows) {
    list.push_back(RowToJson(row));
  }
  return list;
}

std::vector<Row> RowListFromJson(const json& list) {
  std::vector<Row> rows;
  for (const auto& value : list) {
    rows.push_back(RowFromJson(value));
  }
  return rows;
}

// Parses a body and converts it with `parse`. Returns nothing if the body is
// not JSON, or a field is missing or has another type.
template <typename Parse>
auto ParseBody(std::string_view body, Parse parse)
    -> std::optional<decltype(parse(json{}))> {
  try {
    return parse(json::parse(body));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

// Row values may be arbitrary bytes; invalid UTF-8 is replaced, since the
// library would throw by default.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string RowsToJson(const RowsPage& page) {
  return Dump({{"rows", RowListToJson(page.read.rows)},
               {"revision", page.read.revision},
               {"more", page.more}});
}

std::optional<RowsPage> ParseRows(std::string_view body) {
  return ParseBody(body, [](const json& value) {
    return RowsPage{
        .read = {.rows = RowListFromJson(value.at("rows")),
                 .revision = value.at("revision").get<std::uint64_t>()},
        .more = value.value("more", false)};
  });
}

std::string KeysToJson(std::span<const std::string> keys) {
  json list = json::array();
  for (const std::string& key : keys) {
    list.push_back(key);
  }
  return Dump({{"keys", std::move(list)}});
}

std::optional<std::vector<std::string>> ParseKeys(std::string_view body) {
  return ParseBody(body, [](const json& value) {
    return value.at("keys").get<std::vector<std::string>>();
  });
}

std::string TransactionToJson(const Transaction& transaction) {
  json writes = json::array();
  for (const auto& write : transaction.writes) {
    writes.push_back({{"key", write.key},
                      {"expected_version", write.expected_version},
                      {"value", write.value ? json(*write.value) : json()}});
  }
  return Dump({{"op_id", transaction.operation_id}, {"writes", writes}});
}

std::optional<Transaction> ParseTransaction(std::string_view body) {
  return ParseBody(body, [](const json& value) {
    Transaction transaction;
    transaction.operation_id = value.at("op_id").get<std::string>();
    for (const auto& write : value.at("writes")) {
      const auto& content = write.at("value");
      transaction.writes.push_back(
          {.key = write.at("key").get<std::string>(),
           .expected_version =
               write.at("expected_version").get<std::uint64_t>(),
           .value = content.is_null()
                        ? std::nullopt
                        : std::optional(content.get<std::string>())});
    }
    return transaction;
  });
}

std::string ResultToJson(const TransactionResult& result) {
  if (result.status == TransactionResult::Status::kApplied) {
    return Dump({{"versions", result.versions}});
  }
  return Dump({{"conflicts", RowListToJson(result.conflicts)}});
}

std::optional<std::vector<std::uint64_t>> ParseVersions(std::string_view body) {
  return ParseBody(body, [](const json& value) {
    return value.at("versions").get<std::vector<std::uint64_t>>();
  });
}

std::optional<std::vector<Row>> ParseConflicts(std::string_view body) {
  return ParseBody(body, [](const json& value) {
    return RowListFromJson(value.at("conflicts"));
  });
}

}  // namespace eelgrassbridge::store
