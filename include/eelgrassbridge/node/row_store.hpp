// The platform's store as the node uses it: rows under conditions, and a feed
// of what has changed. Implemented by the adapter of the platform.
#ifndef EELGRASSBRIDGE_NODE_ROW_STORE_HPP
#define EELGRASSBRIDGE_NODE_ROW_STORE_HPP

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::node {

struct RowName {
  std::string table;
  /// Rows of one partition can be changed together.
  std::string partition;
  std::string key;

  auto operator<=>(const RowName&) const = default;
};

struct StoredRow {
  RowName name;
  std::string value;
  /// Version of the change that wrote it; 0 for a row that does not exist.
  std::uint64_t version = 0;
  bool removed = false;
};

/// @brief A row must have that version, or not exist (0).
struct RowCondition {
  RowName name;
  std::uint64_t version = 0;
};

struct RowWrite {
  RowName name;
  std::string value;
};

/// @brief All of it is done, or nothing.
struct RowTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::vector<RowName> removals;
};

/// @brief Version and clock of the store in an answer.
struct StoreState {
  std::uint64_t version = 0;
  base::Duration time{};
};

struct CommitResult {
  bool done = false;
  /// Present rows of the conditions, if a condition did not hold.
  std::vector<StoredRow> present;
  StoreState state;
};

struct RowPage {
  std::vector<StoredRow> rows;
  StoreState state;
};

/// @brief Where a feed continues.
struct FeedPosition {
  std::string table;
  std::uint64_t after = 0;
  /// Longest wait for a change.
  std::chrono::milliseconds wait{0};
};

/// @brief Calls to the store. Failures: kStoreUnavailable (nothing was done),
/// kStoreResultUnknown (may have been done, or may be done later), kNotFound
/// (the feed's history is gone: read the rows again).
struct RowStore {
  std::function<asio::awaitable<base::Result<CommitResult>>(RowTransaction)>
      commit;
  /// All rows of a partition of a table.
  std::function<asio::awaitable<base::Result<RowPage>>(std::string table,
                                                       std::string partition)>
      read;
  std::function<asio::awaitable<base::Result<RowPage>>(FeedPosition)> follow;
};

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ROW_STORE_HPP
