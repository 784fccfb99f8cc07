// Tests the use of snapshots: while the table is unavailable, a daemon routes
// by a snapshot, but does not serve, promise, take over or write based on it.
#include "eelgrassbridge/daemon/control_snapshot.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/daemon/catalogue_store.hpp"
#include "eelgrassbridge/daemon/control_events.hpp"

namespace eelgrassbridge::daemon {

namespace {

const base::GroupId kGroup{"listing", "sur", 0, std::nullopt};
constexpr base::DaemonId kSelf{7};

catalogue::Catalogue MakeCatalogue(std::uint64_t version) {
  catalogue::Catalogue catalogue;
  catalogue.version = version;
  catalogue.site = "astillas";
  catalogue.data_centres = {{"sur-cerro", "sur"}};
  catalogue::Service& service = catalogue.services.emplace_back();
  service.name = "listing";
  service.owner = "stock";
  service.divided_by_key = true;
  service.instances = 1;
  service.groups_per_instance = 1;
  service.regions = {"sur"};
  service.kinds.emplace_back().name = "read";
  return catalogue;
}

settings::Settings MakeSettings() {
  settings::Settings settings;
  settings.site = "astillas";
  settings.name = "d0";
  settings.region = "sur";
  settings.data_centre = "sur-cerro";
  settings.target.service = "listing";
  return settings;
}

struct StartingDaemon {
  StartingDaemon() {
    ownership::GroupRow row;
    row.group = kGroup;
    // The worst case: the snapshot names this daemon itself.
    row.owner = kSelf;
    row.epoch = 4;
    store::Transact(
        this->store,
        {"op",
         {{std::string(kCatalogueKey), 0,
           catalogue::WriteCatalogueJson(MakeCatalogue(3))},
          {ownership::RowKey(kGroup), 0, ownership::EncodeRow(row)}}});
    OnTargetEvent(this->state, this->now, {true, false});
  }

  /// Runs the daemon for the given time. The object store always works; reads
  /// of the table fail unless `is_table_up`.
  void Run(base::Duration duration, bool is_table_up) {
    const base::TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += base::milliseconds{50};
      OnControlTick(this->state, this->now);
      while (!this->state.to_reader.empty()) {
        StoreReadResult result{this->state.to_reader.front(), this->now, {}};
        this->state.to_reader.pop_front();
        this->is_last_since_snapshot =
            std::holds_alternative<ReadSinceSnapshot>(result.read);
        if (is_table_up) {
          result = RunRead(this->store, result.read);
          result.sent_at = this->now;
        }
        OnReadResult(this->state, this->now, result);
      }
      while (!this->state.to_snapshot.empty()) {
        const SnapshotRequest request = this->state.to_snapshot.front();
        this->state.to_snapshot.pop_front();
        this->save_count +=
            std::holds_alternative<SaveSnapshotRequest>(request);
        OnSnapshotResult(this->state, this->now,
                         RunSnapshotRequest(this->store, request));
      }
      FinishRound(this->state, this->now);
    }
  }

  /// Returns whether writes other than of member rows are queued. The daemon
  /// announces its own record in any case.
  bool WritesMoreThanMembers() const {
    return std::ranges::any_of(this->state.to_writer, [](const auto& write) {
      const auto* const transaction = std::get_if<store::Transaction>(&write);
      return transaction == nullptr ||
             !std::ranges::all_of(transaction->writes, [](const auto& row) {
               return row.key.starts_with("member/");
             });
    });
  }

  std::int64_t Counter(std::string_view name) {
    return base::GetCounter(this->context.counters, name).load();
  }

  base::TimePoint now = base::FromMicroseconds(1'000'000'000);
  store::Store store =
      store::MakeMemoryStore(std::make_shared<store::MemoryTable>());
  settings::Settings settings = MakeSettings();
  catalogue::Catalogue initial;
  RequestContext context{settings};
  ControlState state{settings, initial, context, kSelf, now};
  bool is_last_since_snapshot = false;
  int save_count = 0;
};

}  // namespace

TEST_CASE("a daemon without the table only routes by the snapshot") {
  StartingDaemon daemon;
  RunSnapshotRequest(daemon.store, SaveSnapshotRequest{"astillas"});
  daemon.Run(base::seconds{20}, false);
  const auto view = daemon.context.routing.view.load();
  CHECK(view->ready);
  CHECK(view->catalogue->version == 3);
  CHECK(FindOwner(*view, kGroup).owner == kSelf);
  CHECK(daemon.state.gates.open.empty());
  CHECK(daemon.state.ownership.rows.empty());
  CHECK_FALSE(daemon.WritesMoreThanMembers());
  CHECK(daemon.Counter("snapshot_loaded_total") == 1);
  CHECK(daemon.is_last_since_snapshot);
  // Once the table answers, the changes complete the snapshot.
  daemon.Run(base::seconds{1}, true);
  CHECK(daemon.state.table.is_loaded);
  CHECK_FALSE(daemon.state.snapshot.in_use);
  CHECK(daemon.state.ownership.rows.contains(kGroup));
}

TEST_CASE("a daemon loads the snapshot if the first read is not answered") {
  StartingDaemon daemon;
  RunSnapshotRequest(daemon.store, SaveSnapshotRequest{"astillas"});
  OnControlTick(daemon.state, daemon.now);
  OnControlTick(daemon.state, daemon.now + base::milliseconds{1950});
  CHECK(daemon.state.to_snapshot.empty());
  OnControlTick(daemon.state, daemon.now + base::milliseconds{2000});
  CHECK(daemon.state.to_snapshot.size() == 1);
}

TEST_CASE("a snapshot older than the announced catalogue is refused") {
  StartingDaemon daemon;
  RunSnapshotRequest(daemon.store, SaveSnapshotRequest{"astillas"});
  daemon.state.catalogue.announced_version = 4;
  daemon.Run(base::seconds{5}, false);
  CHECK_FALSE(daemon.state.view.next.ready);
  CHECK(daemon.Counter("snapshot_refused_total") > 0);
  CHECK(daemon.Counter("snapshot_loaded_total") == 0);
}

TEST_CASE("a damaged snapshot counts as refused, an absent one does not") {
  StartingDaemon daemon;
  daemon.Run(base::seconds{5}, false);
  CHECK(daemon.Counter("snapshot_refused_total") == 0);
  store::PutObject(daemon.store, "table-snapshot/astillas", "torn").value();
  daemon.Run(base::seconds{5}, false);
  CHECK(daemon.Counter("snapshot_refused_total") > 0);
  CHECK_FALSE(daemon.state.view.next.ready);
}

TEST_CASE("a table that lost its data does not overwrite the snapshot") {
  StartingDaemon daemon;
  daemon.store = store::MakeMemoryStore(std::make_shared<store::MemoryTable>());
  daemon.Run(base::seconds{60}, true);
  CHECK(daemon.state.table.is_loaded);
  CHECK(daemon.save_count == 0);
}

TEST_CASE("the snapshot is written after changes, at most every 30 s") {
  StartingDaemon daemon;
  daemon.Run(base::seconds{29}, true);
  CHECK(daemon.save_count == 1);
  CHECK(daemon.Counter("snapshot_written_total") == 1);
  daemon.Run(base::seconds{120}, true);
  const int after_start = daemon.save_count;
  daemon.Run(base::seconds{100}, true);
  CHECK(daemon.save_count == after_start);
}

}  // namespace eelgrassbridge::daemon
