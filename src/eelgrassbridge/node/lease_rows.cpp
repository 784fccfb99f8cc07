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

}  // namespace

asio::awaitable<base::Result<LeaseRows>> ReadLeases(Node& node) {
  auto page = co_await ReadPartition(node, std::string(kLeaseTable),
                                     node.settings.service);
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
    rows.versions[row.name.key.substr(prefix.size())] = row.version;
    auto record = ranges::DecodeLease(row.value);
    if (!record) {
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

}  // namespace eelgrassbridge::node
