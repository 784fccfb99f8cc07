// Keeps the latest change of each row.
#include "eelgrassbridge/node/table_copy.hpp"

#include <algorithm>

namespace eelgrassbridge::node {

void RestartCopy(TableCopy& copy, const RowPage& page) {
  RestartCopy(copy, page.state.version);
  KeepChanges(copy, page);
}

void RestartCopy(TableCopy& copy, std::uint64_t version) {
  copy = TableCopy{};
  copy.version = version;
  copy.complete_at = version;
}

void KeepChanges(TableCopy& copy, const RowPage& page) {
  for (const StoredRow& row : page.rows) {
    StoredRow& kept = copy.rows[row.name];
    if (row.version >= kept.version) {
      kept = row;
    }
    copy.latest_change = std::max(copy.latest_change, row.version);
  }
  copy.version = std::max(copy.version, page.state.version);
}

bool HasChangesSince(const TableCopy& copy, std::uint64_t after) {
  return copy.version > 0 && after >= copy.complete_at;
}

RowPage ChangesAfter(const TableCopy& copy, std::uint64_t after) {
  RowPage page;
  page.state.version = copy.version;
  for (const auto& [name, row] : copy.rows) {
    if (row.version > after) {
      page.rows.push_back(row);
    }
  }
  // Readers apply changes in the order of the feed.
  std::ranges::stable_sort(page.rows, {}, &StoredRow::version);
  return page;
}

}  // namespace eelgrassbridge::node
