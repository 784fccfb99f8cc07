// Schedules writes and loads of snapshots, and applies loaded ones.
#include "eelgrassbridge/daemon/control_snapshot.hpp"

#include <algorithm>

#include "eelgrassbridge/base/log.hpp"
#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/daemon/catalogue_store.hpp"
#include "eelgrassbridge/daemon/control_catalogue.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"
#include "eelgrassbridge/ownership/ownership_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr base::Duration kWriteInterval = base::seconds{30};
/// Number of times that an unchanged snapshot is rewritten within its maximum
/// age, so that its age shows for how long the table has not been read.
constexpr int kRefreshesPerMaxAge = 3;
constexpr base::Duration kLoadRetryInterval = base::seconds{2};
/// For a site of 15,000 daemons, reading the whole table takes 77 calls. A
/// table that has not answered them within this time is slow or down.
constexpr base::Duration kSlowReadAfter = base::seconds{2};

void IncrementCounter(ControlState& state, std::string_view name) {
  base::GetCounter(state.context.counters, name)
      .fetch_add(1, std::memory_order_relaxed);
}

bool IsSnapshotWriter(const ControlState& state) {
  return std::ranges::all_of(
      state.membership.region_of, [&](const auto& entry) {
        const base::DaemonId relay =
            membership::DataCentreRelay(state.membership, entry.first);
        return !relay || state.self <= relay;
      });
}

void TickWrite(ControlState& state, base::TimePoint now) {
  SnapshotControl& snapshot = state.snapshot;
  const bool is_due = state.table.revision > snapshot.written_revision ||
                      now >= snapshot.refresh_at;
  // A table without a catalogue is new or has lost its data, and must not
  // overwrite the snapshot from which it could be restored.
  if (!state.table.reachable || state.table.has_no_catalogue || !is_due ||
      !IsSnapshotWriter(state)) {
    return;
  }
  snapshot.request_pending = true;
  snapshot.next_request = now + kWriteInterval;
  state.to_snapshot.emplace_back(SaveSnapshotRequest{state.settings.site});
}

void TickLoad(ControlState& state, base::TimePoint now) {
  const bool is_late = now - state.started_at >= kSlowReadAfter ||
                       state.phase == StartPhase::kRunning;
  if (!is_late || state.view.next.ready || state.snapshot.in_use) {
    return;
  }
  state.snapshot.request_pending = true;
  state.snapshot.next_request = now + kLoadRetryInterval;
  // Deputies' promises end H (the deputy read bound) after the rows were last
  // read, so no owner in an older snapshot can still be serving.
  state.to_snapshot.emplace_back(LoadSnapshotRequest{
      state.settings.site, state.settings.lease.deputy_read_bound});
}

/// Returns the snapshot's catalogue, unless a newer version is in use or was
/// announced.
std::optional<catalogue::Catalogue> FindUsableCatalogue(
    const ControlState& state,
    const store::TableSnapshot& snapshot) {
  const auto row =
      std::ranges::find(snapshot.rows, kCatalogueKey, &store::Row::key);
  if (row == snapshot.rows.end()) {
    return std::nullopt;
  }
  auto read = catalogue::ReadCatalogueJson(row->value);
  const auto& current = state.catalogue.current;
  const std::uint64_t known =
      std::max(current == nullptr ? 0 : current->version,
               state.catalogue.announced_version);
  if (!read || read.value().version < known) {
    return std::nullopt;
  }
  return std::move(read).value();
}

void ApplySnapshot(ControlState& state,
                   base::TimePoint now,
                   const store::TableSnapshot& snapshot) {
  auto catalogue = FindUsableCatalogue(state, snapshot);
  if (!catalogue) {
    IncrementCounter(state, "snapshot_refused_total");
    return;
  }
  AdoptCatalogue(state, now, std::move(*catalogue));
  for (const store::Row& row : snapshot.rows) {
    auto group = ownership::DecodeRow(row);
    if (!group) {
      continue;
    }
    if (ownership::FindRow(state.ownership, group.value().group) == nullptr) {
      ApplyRow(state.view, group.value());
    }
    state.snapshot.rows.push_back(std::move(group).value());
  }
  state.snapshot.in_use = true;
  state.snapshot.revision = snapshot.revision;
  state.phase = StartPhase::kRunning;
  IncrementCounter(state, "snapshot_loaded_total");
  base::LogEvent("snapshot_loaded",
                 {{"rows", std::to_string(state.snapshot.rows.size())}},
                 base::LogLevel::kWarning);
}

}  // namespace

void TickSnapshot(ControlState& state, base::TimePoint now) {
  if (state.snapshot.request_pending || now < state.snapshot.next_request) {
    return;
  }
  if (state.table.is_loaded) {
    TickWrite(state, now);
  } else {
    TickLoad(state, now);
  }
}

void OnSnapshotResult(ControlState& state,
                      base::TimePoint now,
                      SnapshotResult result) {
  state.snapshot.request_pending = false;
  if (const auto* const saved = std::get_if<SnapshotSaved>(&result)) {
    if (saved->revision) {
      state.snapshot.written_revision = *saved->revision;
      state.snapshot.refresh_at =
          now + state.settings.lease.deputy_read_bound / kRefreshesPerMaxAge;
      IncrementCounter(state, "snapshot_written_total");
    } else {
      IncrementCounter(state, "snapshot_write_failed_total");
    }
    return;
  }
  const auto& loaded = std::get<SnapshotLoaded>(result);
  if (loaded.is_refused) {
    IncrementCounter(state, "snapshot_refused_total");
  } else if (!loaded.snapshot) {
    IncrementCounter(state, "snapshot_load_failed_total");
  } else if (!state.table.is_loaded) {
    ApplySnapshot(state, now, *loaded.snapshot);
  }
}

}  // namespace eelgrassbridge::daemon
