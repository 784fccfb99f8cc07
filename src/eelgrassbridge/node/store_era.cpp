// Detects a restore of the store, and drops what is valid only within one era.
#include "eelgrassbridge/node/store_era.hpp"

#include "eelgrassbridge/node/quota_rows.hpp"

namespace eelgrassbridge::node {

namespace {

void BeginEra(Node& node, std::uint64_t era) {
  StoreView& store = node.store;
  store.era = era;
  store.restored = true;
  store.clock = {};
  store.operator_rows = {};
  store.fleet_rows = {};
  node.operator_copy.table = {};
  node.fleet_copy.table = {};
  node.fleet_copy.encoded = {};
  node.operator_copy.announced_version = 0;
  node.operator_copy.announcement_row_version = 0;
  node.operator_copy.freshness = {};
  node.fleet.versions.clear();
  node.fleet.own_rows_read = false;
  for (auto& [service, ranges] : node.ranges) {
    ranges.version = 0;
  }
  node.lease.version = 0;
  node.lease.version_known = false;
  node.lease.recorded = {};
  node.lease.pending_right = {};
  node.lease.unreadable.clear();
  node.recovery = {};
  ForgetQuotaRows(node);
  Log(node.log, EventKind::kStoreRestored,
      {{"era", static_cast<std::int64_t>(era)}});
  http::Notify(store.changed);
  http::Notify(node.member_inputs_changed);
  http::Notify(node.lease_inputs_changed);
}

}  // namespace

std::optional<std::uint64_t> EraOfCall(const Node& node) {
  return node.store.era_known ? std::optional{node.store.era} : std::nullopt;
}

bool AcceptEra(Node& node,
               std::uint64_t answered_in,
               const std::optional<std::uint64_t>& sent_in) {
  if (!node.store.era_known) {
    node.store.era_known = true;
    node.store.era = answered_in;
    return true;
  }
  if (answered_in > node.store.era) {
    BeginEra(node, answered_in);
    return false;
  }
  return answered_in == node.store.era &&
         sent_in.value_or(answered_in) == answered_in;
}

void RecordPeerEra(Node& node, std::uint64_t era) {
  if (era <= node.store.peer_era) {
    return;
  }
  node.store.peer_era = era;
  if (IsEraOutdated(node)) {
    http::Notify(node.store.changed);
  }
}

std::string_view TakePart(std::string_view& text) {
  const auto separator = text.find(';');
  const std::string_view part = text.substr(0, separator);
  text = separator == std::string_view::npos ? std::string_view{}
                                             : text.substr(separator + 1);
  return part;
}

}  // namespace eelgrassbridge::node
