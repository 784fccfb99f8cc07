// Encoding and decoding of the table service's JSON bodies; docs/design.md
// section 8. The parse functions return nothing for malformed bodies.
#ifndef EELGRASSBRIDGE_STORE_TABLE_JSON_HPP
#define EELGRASSBRIDGE_STORE_TABLE_JSON_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "eelgrassbridge/store/memory_table.hpp"
#include "eelgrassbridge/store/row.hpp"

namespace eelgrassbridge::store {

/// @brief {"rows":[{"key","version","value"}],"revision","more"}
std::string RowsToJson(const RowsPage& page);
std::optional<RowsPage> ParseRows(std::string_view body);

/// @brief {"keys":[...]}
std::string KeysToJson(std::span<const std::string> keys);
std::optional<std::vector<std::string>> ParseKeys(std::string_view body);

/// @brief {"op_id","writes":[{"key","expected_version","value"}]}; a null
/// value deletes the row.
std::string TransactionToJson(const Transaction& transaction);
std::optional<Transaction> ParseTransaction(std::string_view body);

/// @brief {"versions":[...]} if applied, {"conflicts":[row...]} otherwise.
std::string ResultToJson(const TransactionResult& result);
std::optional<std::vector<std::uint64_t>> ParseVersions(std::string_view body);
std::optional<std::vector<Row>> ParseConflicts(std::string_view body);

}  // namespace eelgrassbridge::store

#endif  // EELGRASSBRIDGE_STORE_TABLE_JSON_HPP
