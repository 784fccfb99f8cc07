// Creation, serialization, validation and storage of snapshots.
#include "eelgrassbridge/store/table_snapshot.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <iterator>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/store/table_json.hpp"

namespace eelgrassbridge::store {

namespace {

constexpr std::string_view kCataloguePrefix = "catalogue/";
constexpr std::string_view kGroupPrefix = "group/";

/// Tolerated clock skew; the clocks of VMs may differ by several seconds.
constexpr base::Duration kMaxClockSkew = base::seconds{60};

/// Returns the first line of a snapshot. The format version, 2, must be
/// incremented with each change of the format.
std::string HeaderLine(std::string_view body) {
  return fmt::format("eelgrassbridge-snapshot 2 {} {:016x}\n", body.size(),
                     base::Hash64(body));
}

base::Result<TableSnapshot> Invalid(const char* reason) {
  return base::Fail(base::ErrorKind::kSnapshotInvalid, reason);
}

}  // namespace

base::Result<TableSnapshot> TakeTableSnapshot(Store& store) {
  BOOST_OUTCOME_TRY(catalogue, ReadRows(store, kCataloguePrefix));
  BOOST_OUTCOME_TRY(groups, ReadRows(store, kGroupPrefix));
  // The first read has the lower revision, so ReadChanges from there covers the
  // changes between the two reads.
  TableSnapshot snapshot;
  snapshot.revision = catalogue.revision;
  snapshot.rows = std::move(catalogue.rows);
  std::ranges::move(groups.rows, std::back_inserter(snapshot.rows));
  return snapshot;
}

std::string EncodeSnapshot(const TableSnapshot& snapshot) {
  RowsPage page;
  page.read.rows = snapshot.rows;
  page.read.revision = snapshot.revision;
  const std::string body =
      fmt::format("{} {}\n", snapshot.written_at_ms, snapshot.site) +
      RowsToJson(page);
  return HeaderLine(body) + body;
}

base::Result<TableSnapshot> DecodeSnapshot(std::string_view text) {
  const std::size_t line_end = text.find('\n');
  const std::string_view body =
      line_end == std::string_view::npos ? "" : text.substr(line_end + 1);
  if (line_end == std::string_view::npos ||
      text.substr(0, line_end + 1) != HeaderLine(body)) {
    return Invalid("the snapshot is truncated, corrupt or of another format");
  }
  TableSnapshot snapshot;
  const std::size_t rows_at = body.find('\n') + 1;
  const std::string_view origin = body.substr(0, rows_at);
  const auto [time_end, error] = std::from_chars(
      origin.data(), origin.data() + origin.size(), snapshot.written_at_ms);
  const auto site_at = static_cast<std::size_t>(time_end - origin.data()) + 1;
  if (error != std::errc() || site_at >= origin.size()) {
    return Invalid("the snapshot lacks its site or time");
  }
  snapshot.site = origin.substr(site_at, origin.size() - site_at - 1);
  auto page = ParseRows(body.substr(rows_at));
  if (!page) {
    return Invalid("the snapshot's rows are malformed");
  }
  for (const Row& row : page->read.rows) {
    if (!row.key.starts_with(kCataloguePrefix) &&
        !row.key.starts_with(kGroupPrefix)) {
      return Invalid("the snapshot contains a row with an unexpected prefix");
    }
  }
  snapshot.revision = page->read.revision;
  snapshot.rows = std::move(page->read.rows);
  return snapshot;
}

base::Result<void> CheckSnapshot(const TableSnapshot& snapshot,
                                 std::string_view site,
                                 std::int64_t now_ms,
                                 base::Duration max_age) {
  const base::Duration age =
      base::milliseconds{now_ms - snapshot.written_at_ms};
  if (snapshot.site != site) {
    return base::Fail(base::ErrorKind::kSnapshotInvalid,
                      "the snapshot is of another site");
  }
  if (age > max_age || age < -kMaxClockSkew) {
    return base::Fail(base::ErrorKind::kSnapshotInvalid,
                      "the snapshot is too old or from the future");
  }
  return base::outcome::success();
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
