// Rows, conditional writes and transactions of the platform's table service.
#ifndef EELGRASSBRIDGE_STORE_ROW_HPP
#define EELGRASSBRIDGE_STORE_ROW_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbridge::store {

/// @brief One row as read. Version 0 means that the row doesn't exist.
struct Row {
  std::string key;
  std::uint64_t version = 0;
  std::string value;

  bool operator==(const Row&) const = default;
};

/// @brief A write that is applied only if the row has the expected version.
struct ConditionalWrite {
  std::string key;
  /// Zero: the row must not exist.
  std::uint64_t expected_version = 0;
  /// If unset, the row is deleted.
  std::optional<std::string> value;
};

/// @brief Several writes that are applied atomically.
struct Transaction {
  std::string operation_id;
  std::vector<ConditionalWrite> writes;
};

/// @brief Outcome of a transaction.
struct TransactionResult {
  enum class Status : std::uint8_t {
    kApplied,   ///< All writes were applied; `versions` holds a version for
                ///< each write, 0 for a deletion.
    kConflict,  ///< Nothing was applied; `conflicts` holds the current rows
                ///< whose version differs from the expected one.
    kUnknown,   ///< The reply is missing or unreadable: the transaction may
                ///< have been applied, or may still be.
    kNotSent,   ///< The store rejected the request or could not be reached:
                ///< nothing was or will be applied.
  };
  Status status = Status::kNotSent;
  std::vector<std::uint64_t> versions;
  std::vector<Row> conflicts;
};

/// @brief Rows of one read and the table's revision at the time of the read.
struct ReadResult {
  std::vector<Row> rows;
  std::uint64_t revision = 0;
};

}  // namespace eelgrassbridge::store

#endif  // EELGRASSBRIDGE_STORE_ROW_HPP
