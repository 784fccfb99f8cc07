// Conditional writes of the catalogue, and reads of its history.
#include "eelgrassbridge/daemon/catalogue_store.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/catalogue/diff.hpp"

namespace eelgrassbridge::daemon {

namespace {

ChangeResult Unavailable(std::string detail) {
  return {ChangeResult::Status::kUnavailable, {}, std::move(detail)};
}

HistoryEntry MakeHistoryEntry(const catalogue::Catalogue& before,
                              const catalogue::Catalogue& after,
                              const std::string& operation_id) {
  HistoryEntry entry{after.version,       operation_id, after.changed_by,
                     after.changed_at_ms, after.reason, {}};
  for (const catalogue::Change& change : catalogue::Diff(before, after)) {
    entry.changes.push_back(catalogue::ToString(change));
  }
  return entry;
}

/// Determines the outcome of a write whose reply was lost: the history row of
/// the version contains the id of the operation that wrote it.
ChangeResult ResolveUnknown(store::Store& store,
                            const std::string& operation_id,
                            catalogue::Catalogue next) {
  const auto row = store::ReadRow(store, HistoryKey(next.version));
  if (row && row.value().version != 0) {
    const auto entries = ReadHistoryJson(row.value().value);
    if (entries && entries.value().size() == 1 &&
        entries.value().front().operation_id == operation_id) {
      return {ChangeResult::Status::kAccepted, std::move(next), {}};
    }
    return {ChangeResult::Status::kConflict,
            {},
            "another change was written first"};
  }
  return {ChangeResult::Status::kUnknown,
          {},
          "the reply of the table was lost; check the history for operation " +
              operation_id};
}

ChangeResult Conflict(store::Store& store) {
  const auto row = store::ReadRow(store, kCatalogueKey);
  ChangeResult result{
      ChangeResult::Status::kConflict, {}, "another change was written first"};
  if (row && row.value().version != 0) {
    auto current = catalogue::ReadCatalogueJson(row.value().value);
    if (current) {
      result.current = std::move(current).value();
    }
  }
  return result;
}

}  // namespace

std::string HistoryKey(std::uint64_t version) {
  return fmt::format("catalogue/history/{:020}", version);
}

ChangeResult SubmitCatalogue(store::Store& store,
                             const CatalogueChange& change) {
  const auto row = store::ReadRow(store, kCatalogueKey);
  if (!row) {
    return Unavailable("the table cannot be read: " + row.error().detail);
  }
  catalogue::Catalogue current;
  if (row.value().version != 0) {
    auto read = catalogue::ReadCatalogueJson(row.value().value);
    if (!read) {
      return Unavailable("the catalogue in the table is invalid: " +
                         read.error().detail);
    }
    current = std::move(read).value();
  }
  if (current.version != change.expected_version) {
    return {ChangeResult::Status::kConflict, std::move(current),
            "another change was written first"};
  }
  catalogue::Catalogue next = change.next;
  next.version = current.version + 1;
  const HistoryEntry entry =
      MakeHistoryEntry(current, next, change.operation_id);
  const store::TransactionResult result = store::Transact(
      store, {change.operation_id,
              {{std::string(kCatalogueKey), row.value().version,
                catalogue::WriteCatalogueJson(next)},
               {HistoryKey(next.version), 0, WriteHistoryJson({entry})}}});
  ChangeResult answer;
  switch (result.status) {
    case store::TransactionResult::Status::kApplied:
      return {ChangeResult::Status::kAccepted, std::move(next), {}};
    case store::TransactionResult::Status::kNotSent:
      return Unavailable("the table cannot be written");
    case store::TransactionResult::Status::kConflict:
      return Conflict(store);
    case store::TransactionResult::Status::kUnknown:
      answer = ResolveUnknown(store, change.operation_id, std::move(next));
      break;
  }
  return answer.status == ChangeResult::Status::kConflict ? Conflict(store)
                                                          : answer;
}

base::Result<std::vector<HistoryEntry>> ReadHistory(store::Store& store,
                                                    std::uint32_t limit) {
  BOOST_OUTCOME_TRY(current, store::ReadRow(store, kCatalogueKey));
  std::vector<HistoryEntry> entries;
  if (current.version == 0) {
    return entries;
  }
  BOOST_OUTCOME_TRY(newest, catalogue::ReadCatalogueJson(current.value));
  for (std::uint64_t version = newest.version;
       version > 0 && entries.size() < limit; --version) {
    BOOST_OUTCOME_TRY(row, store::ReadRow(store, HistoryKey(version)));
    if (row.version == 0) {
      break;
    }
    BOOST_OUTCOME_TRY(read, ReadHistoryJson(row.value));
    entries.insert(entries.end(), read.begin(), read.end());
  }
  return entries;
}

}  // namespace eelgrassbridge::daemon
