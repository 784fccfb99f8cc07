// Interface to the platform's store: conditional transactions on rows and a
// feed of changes. Implemented by the platform's adapter.
#ifndef EELGRASSBRIDGE_NODE_ROW_STORE_HPP
#define EELGRASSBRIDGE_NODE_ROW_STORE_HPP

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/http/client.hpp"

namespace eelgrassbridge::node {

/// Rows that one transaction removes under conditions. A transaction of the
/// store has at most 100 entries; each of these rows takes two, and the rest is
/// left for a range map.
inline constexpr std::size_t kMaxConditionalRemovals = 48;

struct RowName {
  std::string table;
  /// Rows of the same partition can be changed in one transaction.
  std::string partition;
  std::string key;

  auto operator<=>(const RowName&) const = default;
};

struct StoredRow {
  RowName name;
  std::string value;
  /// Version of the change that wrote the row; 0 if the row does not exist.
  std::uint64_t version = 0;
  bool removed = false;
};

/// @brief Requires that a row has a version; 0: that it does not exist.
struct RowCondition {
  RowName name;
  std::uint64_t version = 0;
};

struct RowWrite {
  RowName name;
  std::string value;
};

/// @brief Atomic: either all writes and removals are made, or none.
struct RowTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::vector<RowName> removals;
};

/// @brief Version, clock and era of the store at the time of an answer.
struct StoreState {
  std::uint64_t version = 0;
  base::Duration time{};
  /// Increases each time the store is restored from an older copy. Versions of
  /// different eras are unrelated: a restore takes back the latest versions,
  /// and they are given out again.
  std::uint64_t era = 0;
};

struct CommitResult {
  /// False if a condition did not hold.
  bool committed = false;
  /// Current rows of the conditions, if a condition did not hold.
  std::vector<StoredRow> current_rows;
  StoreState state;
};

struct RowPage {
  std::vector<StoredRow> rows;
  StoreState state;
  /// Rows that were left out because they could not be decoded.
  std::uint32_t malformed_rows = 0;
};

/// @brief Position from which a poll of a feed continues.
struct FeedPosition {
  std::string table;
  std::uint64_t after = 0;
  /// Maximum time to wait for a change.
  std::chrono::milliseconds wait{0};
};

/// @brief Calls to the store. Errors: kStoreUnavailable (no change was made),
/// kStoreResultUnknown (the change may have been made, or may be made later),
/// kNotFound (the feed no longer has changes from this position: read the rows
/// again), kOverloaded and kBadRequest (the store refused this call, but serves
/// others; no change was made).
struct RowStore {
  std::function<asio::awaitable<base::Result<CommitResult>>(RowTransaction)>
      commit;
  /// Reads all rows of a partition of a table.
  std::function<asio::awaitable<base::Result<RowPage>>(std::string table,
                                                       std::string partition)>
      read;
  /// Polls for changes after a position; returns at the first change or after
  /// the maximum wait. The progress lets the starter watch and end the poll.
  std::function<asio::awaitable<base::Result<RowPage>>(
      FeedPosition,
      std::shared_ptr<http::CallProgress>)>
      follow;
};

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ROW_STORE_HPP
