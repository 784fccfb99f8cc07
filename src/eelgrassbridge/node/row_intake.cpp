// Applies rows of the operator and of the fleet to the node's state. Invalid
// rows and older versions change nothing.
#include "eelgrassbridge/node/row_intake.hpp"

#include <algorithm>
#include <utility>

#include "eelgrassbridge/node/crash_watch.hpp"
#include "eelgrassbridge/node/departure.hpp"
#include "eelgrassbridge/node/quota_rows.hpp"
#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_era.hpp"
#include "eelgrassbridge/node/target_run.hpp"

namespace eelgrassbridge::node {

namespace {

void ApplyRoutes(Node& node, const StoredRow& row) {
  auto decoded = node.port.decode_routes(row.value);
  if (!decoded) {
    Count(node, "routes_rejected_total");
    Log(node.log, EventKind::kRoutesRejected,
        {{"cause", decoded.error().detail},
         {"row_version", static_cast<std::int64_t>(row.version)}});
    return;
  }
  // The routes never return to an older version while the process runs, even if
  // a row is delayed or damaged.
  if (node.routes && decoded.value().version <= node.routes->version) {
    return;
  }
  node.routes =
      std::make_shared<const catalogue::RouteTable>(std::move(decoded.value()));
  const catalogue::CallerLimits& limits = node.routes->limits;
  http::SetMaxHeadBytes(limits.max_head_bytes);
  http::ServerLimits& server = node.callers_server.limits;
  server.max_body_bytes = limits.max_body_bytes;
  server.head_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      limits.head_timeout);
  server.idle_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      limits.idle_timeout);
  node.peers_server.limits.max_body_bytes = limits.max_body_bytes;
  RefreshAdmission(node);
  RefreshQuotaLimits(node);
  http::Notify(node.lease_inputs_changed);
  Log(node.log, EventKind::kRoutesInForce,
      {{"version", static_cast<std::int64_t>(node.routes->version)},
       {"hosts", static_cast<std::int64_t>(node.routes->by_host.size())}});
}

/// Why a member does not belong to its row; empty if it does.
std::string_view MemberMismatch(const StoredRow& row,
                                const Member& member,
                                std::string_view address) {
  if (member.address != address) {
    return "the address differs from the row key";
  }
  if (member.service != row.name.partition) {
    return "the service differs from the partition";
  }
  return {};
}

void ApplyMember(Node& node, const StoredRow& row) {
  const std::string address = row.name.key.substr(kMemberPrefix.size());
  std::uint64_t& version = node.fleet.versions[address];
  if (row.version < version) {
    return;
  }
  version = row.removed ? 0 : row.version;
  if (address == node.settings.peers) {
    // Another writer may have changed the row; this daemon then writes it
    // again.
    http::Notify(node.member_inputs_changed);
  }
  if (row.removed) {
    node.fleet.members.erase(address);
    Log(node.log, EventKind::kMemberRemoved, {{"address", address}});
    node.fleet.target_tables_stale = true;
    return;
  }
  auto member = DecodeMember(row.value);
  const std::string_view fault =
      member ? MemberMismatch(row, member.value(), address)
             : std::string_view(member.error().detail);
  if (!fault.empty()) {
    Log(node.log, EventKind::kRowRejected,
        {{"row", row.name.key}, {"cause", fault}});
    if (address == node.settings.peers) {
      node.fleet.members.erase(address);
      node.fleet.target_tables_stale = true;
    }
    return;
  }
  Log(node.log, EventKind::kMemberChanged,
      {{"address", address},
       {"service", member.value().service},
       {"target", member.value().target},
       {"serving", std::int64_t{member.value().serving}},
       {"row_version", static_cast<std::int64_t>(row.version)}});
  node.fleet.members[address] = std::move(member.value());
  node.fleet.target_tables_stale = true;
  if (address == node.settings.peers) {
    ApplyRecordedDeparture(node);
  }
}

/// Acquires the lease with the first map of an era. A map that was written
/// after the last renewal stays valid during the lease, because no other daemon
/// can take over ranges meanwhile; any other map is read again under the lease.
void AcquireLease(Node& node, std::uint64_t map_version) {
  LeaseState& lease = node.lease;
  if (map_version <= lease.version ||
      !ranges::IsValid(lease.pending_right, base::BootClock::now())) {
    http::Notify(node.lease_inputs_changed);
    return;
  }
  lease.right = std::exchange(lease.pending_right, {});
  lease.held = true;
  lease.held_era = node.store.era;
  Log(node.log, EventKind::kLeaseAcquired,
      {{"target", node.target.id},
       {"version", static_cast<std::int64_t>(lease.version)}});
}

void ApplyRangeMap(Node& node, const StoredRow& row) {
  ServiceRanges& ranges = node.ranges[row.name.partition];
  if (row.version <= ranges.version || row.removed) {
    return;
  }
  auto map = ranges::DecodeMap(row.value);
  if (!map) {
    Log(node.log, EventKind::kRowRejected,
        {{"row", row.name.key}, {"cause", map.error().detail}});
    return;
  }
  ranges.map = std::move(map.value());
  ranges.version = row.version;
  Log(node.log, EventKind::kRangesChanged,
      {{"service", row.name.partition},
       {"entries", static_cast<std::int64_t>(ranges.map.entries.size())},
       {"version", static_cast<std::int64_t>(row.version)}});
  http::Notify(node.ranges_changed);
  http::Notify(node.target_changed);
  http::Notify(node.release_possible);
  if (row.name.partition == node.settings.service && !node.lease.held) {
    AcquireLease(node, row.version);
  }
}

void ApplyRecovery(Node& node, const StoredRow& row) {
  if (row.version <= node.recovery.version || row.removed) {
    return;
  }
  const auto record = ranges::DecodeRecovery(row.value);
  if (!record) {
    Log(node.log, EventKind::kRowRejected,
        {{"row", row.name.key}, {"cause", record.error().detail}});
    return;
  }
  node.recovery = {record.value(), row.version, base::BootClock::now()};
}

/// Notes that the operator's rows have changed, which makes this daemon fetch
/// them.
void ApplyOperatorVersion(Node& node, const StoredRow& row) {
  // The next announcement replaces the row, whatever it says.
  node.operator_copy.announcement_row_version = row.removed ? 0 : row.version;
  std::string_view value = row.value;
  const auto version = http::ParseNumber(TakePart(value));
  const auto era = http::ParseNumber(TakePart(value));
  if (era && era != node.store.era) {
    return;
  }
  // The change was in the store before its announcement, which has a version of
  // the same counter.
  if (!version || !era || *version > row.version) {
    Log(node.log, EventKind::kRowRejected,
        {{"row", row.name.key},
         {"cause", "the value is not a version with an era"}});
    return;
  }
  std::uint64_t& announced = node.operator_copy.announced_version;
  announced = std::max(announced, *version);
  RecordPeerVersion(node, node.store.operator_rows, *version);
}

}  // namespace

void SetOutOfService(Node& node, const std::string& data_centre, bool out) {
  const bool was_out = node.data_centres_out.contains(data_centre);
  if (was_out == out) {
    return;
  }
  if (out) {
    node.data_centres_out.insert(data_centre);
  } else {
    node.data_centres_out.erase(data_centre);
  }
  Log(node.log, out ? EventKind::kDataCentreOut : EventKind::kDataCentreBack,
      {{"data_centre", data_centre}});
  RebuildTargetTables(node);
  RefreshAdmission(node);
  http::Notify(node.lease_inputs_changed);
  http::Notify(node.target_changed);
}

void ApplyOperatorRow(Node& node, const StoredRow& row) {
  const OperatorRow meaning = node.port.operator_row(row.name);
  std::uint64_t& applied_version = node.store.operator_rows.applied_version;
  applied_version = std::max(applied_version, row.version);
  switch (meaning.kind) {
    case OperatorRow::Kind::kRoutes:
      if (!row.removed) {
        ApplyRoutes(node, row);
      }
      break;
    case OperatorRow::Kind::kOutOfService:
      SetOutOfService(node, meaning.data_centre, !row.removed);
      break;
    case OperatorRow::Kind::kOther:
      break;
  }
}

void ApplyFleetRow(Node& node, const StoredRow& row) {
  std::uint64_t& applied_version = node.store.fleet_rows.applied_version;
  applied_version = std::max(applied_version, row.version);
  // Maps and recovery rows of former eras are ignored: an older copy of the
  // store may hold a former version of them.
  const std::uint64_t era = node.store.era;
  if (row.name == RangeMapRow(row.name.partition, era)) {
    ApplyRangeMap(node, row);
  } else if (row.name == RecoveryRow(node.settings.service, era)) {
    ApplyRecovery(node, row);
  } else if (row.name.key.starts_with(kMemberPrefix)) {
    ApplyMember(node, row);
  } else if (row.name.key.starts_with(kCrashPrefix)) {
    ApplyCrashRow(node, row);
  } else if (row.name == QuotaCoordinatorRow(era)) {
    ApplyQuotaRow(node, row);
  } else if (row.name.key == kOperatorVersionKey) {
    ApplyOperatorVersion(node, row);
  }
}

}  // namespace eelgrassbridge::node
