// Guards the use of snapshots: a daemon routes by one while the table fails,
// and neither serves, promises, takes over nor writes by it.
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

catalogue::Catalogue SomeCatalogue(std::uint64_t version) {
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

settings::Settings SomeSettings() {
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
           catalogue::WriteCatalogueJson(SomeCatalogue(3))},
          {ownership::RowKey(kGroup), 0, ownership::EncodeRow(row)}}});
    OnTargetEvent(this->state, this->now, {true, false});
  }

  /// Runs for some time; the object store works, the table fails or not.
  void Run(base::Duration time, bool is_table_up) {
    const base::TimePoint end = this->now + time;
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
        this->saves += std::holds_alternative<SaveSnapshotRequest>(request);
        OnSnapshotResult(this->state, this->now,
                         RunSnapshotRequest(this->store, request));
      }
      FinishRound(this->state, this->now);
    }
  }

  /// The record of this daemon is announced in any case.
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
  settings::Settings settings = SomeSettings();
  catalogue::Catalogue initial;
  RequestContext context{settings};
  ControlState state{settings, initial, context, kSelf, now};
  bool is_last_since_snapshot = false;
  int saves = 0;
};

}  // namespace

TEST_CASE("a daemon whose table fails routes by the snapshot and no more") {
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
  // The table answers: the changes complete the snapshot, and the row is read.
  daemon.Run(base::seconds{1}, true);
  CHECK(daemon.state.table.is_loaded);
  CHECK_FALSE(daemon.state.snapshot.in_use);
  CHECK(daemon.state.ownership.rows.contains(kGroup));
}

TEST_CASE("an unanswered first read makes a daemon load the snapshot") {
  StartingDaemon daemon;
  RunSnapshotRequest(daemon.store, SaveSnapshotRequest{"astillas"});
  OnControlTick(daemon.state, daemon.now);
  OnControlTick(daemon.state, daemon.now + base::milliseconds{1950});
  CHECK(daemon.state.to_snapshot.empty());
  OnControlTick(daemon.state, daemon.now + base::milliseconds{2000});
  CHECK(daemon.state.to_snapshot.size() == 1);
}

TEST_CASE("a snapshot older than the catalogue heard of is refused") {
  StartingDaemon daemon;
  RunSnapshotRequest(daemon.store, SaveSnapshotRequest{"astillas"});
  daemon.state.catalogue.announced_version = 4;
  daemon.Run(base::seconds{5}, false);
  CHECK_FALSE(daemon.state.view.next.ready);
  CHECK(daemon.Counter("snapshot_refused_total") > 0);
  CHECK(daemon.Counter("snapshot_loaded_total") == 0);
}

TEST_CASE("a damaged snapshot is refused, an absent one is not counted so") {
  StartingDaemon daemon;
  daemon.Run(base::seconds{5}, false);
  CHECK(daemon.Counter("snapshot_refused_total") == 0);
  store::PutObject(daemon.store, "table-snapshot/astillas", "torn").value();
  daemon.Run(base::seconds{5}, false);
  CHECK(daemon.Counter("snapshot_refused_total") > 0);
  CHECK_FALSE(daemon.state.view.next.ready);
}

TEST_CASE("a table that was lost does not replace the snapshot") {
  StartingDaemon daemon;
  daemon.store = store::MakeMemoryStore(std::make_shared<store::MemoryTable>());
  daemon.Run(base::seconds{60}, true);
  CHECK(daemon.state.table.is_loaded);
  CHECK(daemon.saves == 0);
}

TEST_CASE("the snapshot is written after changes, at most every 30 s") {
  StartingDaemon daemon;
  daemon.Run(base::seconds{29}, true);
  CHECK(daemon.saves == 1);
  CHECK(daemon.Counter("snapshot_written_total") == 1);
  daemon.Run(base::seconds{120}, true);
  const int after_start = daemon.saves;
  daemon.Run(base::seconds{100}, true);
  CHECK(daemon.saves == after_start);
}

}  // namespace eelgrassbridge::daemon
