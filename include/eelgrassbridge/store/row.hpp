// Rows and conditional writes of the platform's table service.
#ifndef EELGRASSBRIDGE_STORE_ROW_HPP
#define EELGRASSBRIDGE_STORE_ROW_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbridge::store {

/// @brief One row as read. Version 0 means that the row is absent.
struct Row {
  std::string key;
  std::uint64_t version = 0;
  std::string value;

  bool operator==(const Row&) const = default;
};

/// @brief A write that takes effect only if the row still has that version.
struct ConditionalWrite {
  std::string key;
  /// Zero: only if the row is absent.
  std::uint64_t expected_version = 0;
  /// None deletes the row.
  std::optional<std::string> value;
};

/// @brief Several writes that take effect together or not at all.
struct Transaction {
  std::string operation_id;
  std::vector<ConditionalWrite> writes;
};

/// @brief How a transaction ended.
struct TransactionResult {
  enum class Status : std::uint8_t {
    kApplied,   ///< All writes took effect; versions are filled.
    kConflict,  ///< Nothing took effect; conflicts hold the present rows.
    kUnknown,   ///< The reply was lost or late: it may have taken effect or
                ///< may still do so.
    kNotSent,   ///< The store refused it or could not be reached at all.
  };
  Status status = Status::kNotSent;
  std::vector<std::uint64_t> versions;
  std::vector<Row> conflicts;
};

/// @brief Rows of one read and the revision of the table at that read.
struct ReadResult {
  std::vector<Row> rows;
  std::uint64_t revision = 0;
};

}  // namespace eelgrassbridge::store

#endif  // EELGRASSBRIDGE_STORE_ROW_HPP
