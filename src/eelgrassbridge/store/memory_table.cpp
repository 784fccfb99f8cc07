// In-memory implementation of the table service and the object store.
#include "eelgrassbridge/store/memory_table.hpp"

#include <utility>

namespace eelgrassbridge::store {

namespace {

Row CurrentRow(const MemoryTable& table, const std::string& key) {
  const auto found = table.rows.find(key);
  return found == table.rows.end() ? Row{.key = key, .version = 0, .value = {}}
                                   : found->second;
}

}  // namespace

TransactionResult ApplyTransaction(MemoryTable& table,
                                   const Transaction& transaction) {
  const std::scoped_lock lock(table.mutex);
  TransactionResult result;
  for (const auto& write : transaction.writes) {
    Row current = CurrentRow(table, write.key);
    if (current.version != write.expected_version) {
      result.conflicts.push_back(std::move(current));
    }
  }
  if (!result.conflicts.empty()) {
    result.status = TransactionResult::Status::kConflict;
    return result;
  }
  result.status = TransactionResult::Status::kApplied;
  ++table.revision;
  for (const auto& write : transaction.writes) {
    if (write.value) {
      table.rows[write.key] = Row{
          .key = write.key, .version = table.revision, .value = *write.value};
      table.deleted.erase(write.key);
    } else if (table.rows.erase(write.key) > 0) {
      table.deleted[write.key] = table.revision;
    }
    result.versions.push_back(write.value ? table.revision : 0);
  }
  return result;
}

RowsPage FindRows(MemoryTable& table, const RowRange& range) {
  const std::scoped_lock lock(table.mutex);
  RowsPage page;
  page.read.revision = table.revision;
  auto row = range.after < range.prefix ? table.rows.lower_bound(range.prefix)
                                        : table.rows.upper_bound(range.after);
  if (range.after.empty()) {
    row = table.rows.lower_bound(range.prefix);
  }
  for (; row != table.rows.end() && row->first.starts_with(range.prefix);
       ++row) {
    if (page.read.rows.size() == range.limit) {
      page.more = true;
      break;
    }
    page.read.rows.push_back(row->second);
  }
  return page;
}

ReadResult FindKeys(MemoryTable& table, std::span<const std::string> keys) {
  const std::scoped_lock lock(table.mutex);
  ReadResult read;
  read.revision = table.revision;
  for (const std::string& key : keys) {
    read.rows.push_back(CurrentRow(table, key));
  }
  return read;
}

ReadResult FindChanges(MemoryTable& table, std::uint64_t since_revision) {
  const std::scoped_lock lock(table.mutex);
  ReadResult read;
  read.revision = table.revision;
  for (const auto& [key, row] : table.rows) {
    if (row.version > since_revision) {
      read.rows.push_back(row);
    }
  }
  for (const auto& [key, revision] : table.deleted) {
    if (revision > since_revision) {
      read.rows.push_back(Row{.key = key, .version = 0, .value = {}});
    }
  }
  return read;
}

void SetObject(MemoryTable& table, std::string_view name, std::string content) {
  const std::scoped_lock lock(table.mutex);
  table.objects.insert_or_assign(std::string(name), std::move(content));
}

std::optional<std::string> FindObject(MemoryTable& table,
                                      std::string_view name) {
  const std::scoped_lock lock(table.mutex);
  const auto found = table.objects.find(name);
  if (found == table.objects.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace eelgrassbridge::store
