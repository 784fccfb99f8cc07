// Reading, checking and keeping of snapshots.
#include "eelgrassbridge/store/table_snapshot.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/store/table_json.hpp"

namespace eelgrassbridge::store {

namespace {

constexpr std::string_view kCataloguePrefix = "catalogue/";
constexpr std::string_view kGroupPrefix = "group/";

/// The first line of a snapshot; a change of the form changes the number.
std::string HeadOf(std::string_view body) {
  return fmt::format("eelgrassbridge-snapshot 1 {} {:016x}\n", body.size(),
                     base::Hash64(body));
}

}  // namespace

base::Result<TableSnapshot> TakeTableSnapshot(Store& store) {
  BOOST_OUTCOME_TRY(catalogue, ReadRows(store, kCataloguePrefix));
  BOOST_OUTCOME_TRY(groups, ReadRows(store, kGroupPrefix));
  // The first read has the lower revision: what changed between the two reads
  // is then read again with ReadChanges.
  TableSnapshot snapshot{catalogue.revision, std::move(catalogue.rows)};
  std::ranges::move(groups.rows, std::back_inserter(snapshot.rows));
  return snapshot;
}

std::string EncodeSnapshot(const TableSnapshot& snapshot) {
  RowsPage page;
  page.read.rows = snapshot.rows;
  page.read.revision = snapshot.revision;
  const std::string body = RowsToJson(page);
  return HeadOf(body) + body;
}

base::Result<TableSnapshot> DecodeSnapshot(std::string_view text) {
  const std::size_t line_end = text.find('\n');
  const std::string_view body =
      line_end == std::string_view::npos ? "" : text.substr(line_end + 1);
  if (line_end == std::string_view::npos ||
      text.substr(0, line_end + 1) != HeadOf(body)) {
    return base::Fail(base::ErrorKind::kSnapshotInvalid,
                      "the snapshot is cut, damaged or of another format");
  }
  auto page = ParseRows(body);
  if (!page) {
    return base::Fail(base::ErrorKind::kSnapshotInvalid,
                      "the snapshot's rows cannot be read");
  }
  for (const Row& row : page->read.rows) {
    if (!row.key.starts_with(kCataloguePrefix) &&
        !row.key.starts_with(kGroupPrefix)) {
      return base::Fail(base::ErrorKind::kSnapshotInvalid,
                        "the snapshot holds other rows than catalogue and "
                        "groups");
    }
  }
  return TableSnapshot{page->read.revision, std::move(page->read.rows)};
}

base::Result<void> SaveSnapshot(Store& store,
                                std::string_view name,
                                const TableSnapshot& snapshot) {
  return PutObject(store, name, EncodeSnapshot(snapshot));
}

base::Result<TableSnapshot> LoadSnapshot(Store& store, std::string_view name) {
  BOOST_OUTCOME_TRY(text, GetObject(store, name));
  return DecodeSnapshot(text);
}

}  // namespace eelgrassbridge::store
