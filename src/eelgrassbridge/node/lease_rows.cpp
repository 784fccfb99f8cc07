// Decodes lease rows and tells live leases from expired ones.
#include "eelgrassbridge/node/lease_rows.hpp"

#include <algorithm>

#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_calls.hpp"

namespace eelgrassbridge::node {

namespace {

/// Added to the expiry of a lease before its ranges are reassigned, to allow
/// for clock drift.
constexpr base::Duration kExpiryMargin = base::milliseconds{100};
/// No daemon writes a lease that ends later than its length and this after the
/// read: the time of a call and the error of a daemon's store clock.
constexpr base::Duration kMaxClockError = base::seconds{2};

/// Returns the record of a row, or the error if another writer has replaced it.
base::Result<ranges::LeaseRecord> RecordOf(const Node& node,
                                           const StoredRow& row,
                                           std::string_view daemon,
                                           base::Duration read_at) {
  auto record = ranges::DecodeLease(row.value);
  if (!record) {
    return record;
  }
  if (record.value().owner.daemon != daemon) {
    return base::Fail(base::ErrorKind::kFrameInvalid,
                      "the row of another daemon");
  }
  if (record.value().expires >
      read_at + node.lease.options.length + kMaxClockError) {
    return base::Fail(base::ErrorKind::kFrameInvalid,
                      "the lease ends too late");
  }
  return record;
}

/// Whether a lease that such a row replaced may be valid: for one lease length
/// from when the version was first seen, since no renewal was acknowledged
/// after it.
bool MayHideLease(Node& node,
                  const std::string& daemon,
                  std::uint64_t version,
                  base::Duration read_at) {
  auto& [known_version, since] = node.lease.unreadable[daemon];
  if (known_version != version) {
    known_version = version;
    since = read_at;
  }
  return read_at < since + node.lease.options.length + kExpiryMargin;
}

}  // namespace

asio::awaitable<base::Result<LeaseRows>> ReadLeases(Node& node) {
  auto page =
      co_await ReadPartition(node, StorePurpose::kLeaseRead,
                             std::string(kLeaseTable), node.settings.service);
  if (!page) {
    co_return base::Fail(page.error().kind, page.error().detail);
  }
  LeaseRows rows;
  rows.read_at = page.value().state.time;
  const std::string prefix = LeasePrefix(node.store.era);
  for (const StoredRow& row : page.value().rows) {
    if (!row.name.key.starts_with(prefix)) {
      rows.former.push_back(row.name);
      continue;
    }
    const std::string daemon = row.name.key.substr(prefix.size());
    rows.versions[daemon] = row.version;
    auto record = RecordOf(node, row, daemon, rows.read_at);
    if (!record) {
      if (MayHideLease(node, daemon, row.version, rows.read_at)) {
        rows.unknown.push_back(daemon);
      }
      Log(node.log, EventKind::kRowRejected,
          {{"row", row.name.key}, {"cause", record.error().detail}});
      continue;
    }
    if (rows.read_at < record.value().expires + kExpiryMargin) {
      rows.live.push_back(std::move(record.value()));
    }
  }
  co_return rows;
}

bool IsLive(const LeaseRows& rows, const std::string& daemon) {
  return std::ranges::any_of(rows.live, [&daemon](const auto& record) {
    return record.owner.daemon == daemon;
  });
}

bool MayBeLive(const LeaseRows& rows, const std::string& daemon) {
  return IsLive(rows, daemon) ||
         std::ranges::find(rows.unknown, daemon) != rows.unknown.end();
}

}  // namespace eelgrassbridge::node
