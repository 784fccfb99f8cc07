// Tests the parts of the control thread that do not use the cores: gates,
// routing views, transfer of request ids, target health and the history of the
// catalogue.
#include <doctest/doctest.h>

#include "eelgrassbridge/daemon/catalogue_store.hpp"
#include "eelgrassbridge/daemon/control_gates.hpp"
#include "eelgrassbridge/daemon/control_view.hpp"
#include "eelgrassbridge/daemon/request_id_transfer.hpp"
#include "eelgrassbridge/daemon/target_watch.hpp"

namespace eelgrassbridge::daemon {

namespace {

const base::GroupId kParentGroup{"listing", "sur", 3, std::nullopt};
const base::GroupId kHotGroup{"listing", "sur", 3, 77};

ownership::OpenGate OpenAt(const base::GroupId& group, std::int64_t end) {
  return {{group, 4}, base::FromMicroseconds(end), {}};
}

ownership::GroupRow RowOf(const base::GroupId& group, std::uint64_t owner) {
  ownership::GroupRow row;
  row.group = group;
  row.owner = base::DaemonId{owner};
  row.epoch = 4;
  row.version = 9;
  return row;
}

}  // namespace

TEST_CASE("a group is drained only when its last request has left") {
  ControlGates gates;
  OpenGroupGate(gates, OpenAt(kParentGroup, 100));
  const auto gate = gates.open.at(kParentGroup);
  REQUIRE(TryEnter(*gate, base::FromMicroseconds(50)));
  BeginGateDrain(gates, {kParentGroup, 4});
  CHECK_FALSE(TryEnter(*gate, base::FromMicroseconds(50)));
  CHECK(TakeFinishedDrains(gates).empty());
  Leave(*gate);
  CHECK(TakeFinishedDrains(gates).size() == 1);
  CHECK(TakeFinishedDrains(gates).empty());
}

TEST_CASE("a carved-out key waits for requests in the parent's old gate") {
  ControlGates gates;
  OpenGroupGate(gates, OpenAt(kParentGroup, 100));
  const auto old_gate = gates.open.at(kParentGroup);
  REQUIRE(TryEnter(*old_gate, base::FromMicroseconds(50)));
  OpenGroupGate(gates, OpenAt(kParentGroup, 100));
  CHECK_FALSE(TryEnter(*old_gate, base::FromMicroseconds(50)));
  OpenGroupGate(gates, OpenAt(kHotGroup, 100));
  BeginGateDrain(gates, {kHotGroup, 4});
  CHECK(TakeFinishedDrains(gates).empty());
  Leave(*old_gate);
  CHECK(TakeFinishedDrains(gates).size() == 1);
}

TEST_CASE("a lease is not extended for another epoch, nor shortened") {
  ControlGates gates;
  OpenGroupGate(gates, OpenAt(kParentGroup, 100));
  ExtendGate(gates, {{kParentGroup, 3}, base::FromMicroseconds(200)});
  ExtendGate(gates, {{kParentGroup, 4}, base::FromMicroseconds(50)});
  CHECK(gates.open.at(kParentGroup)->lease_end == 100);
  ExtendGate(gates, {{kParentGroup, 4}, base::FromMicroseconds(200)});
  CHECK(gates.open.at(kParentGroup)->lease_end == 200);
  const auto gate = gates.open.at(kParentGroup);
  CloseGroupGate(gates, {kParentGroup, 4});
  CHECK_FALSE(IsLeaseValid(*gate, base::FromMicroseconds(1)));
}

TEST_CASE(
    "a changed row replaces only its chunk and does not modify old views") {
  ViewBuilder builder;
  RoutingViewSlot slot;
  const base::GroupId far{"listing", "sur", 600, std::nullopt};
  ApplyRow(builder, RowOf(kParentGroup, 1));
  ApplyRow(builder, RowOf(far, 1));
  REQUIRE(PublishView(builder, slot, base::FromMicroseconds(1)));
  const auto before = slot.view.load();
  ApplyRow(builder, RowOf(kParentGroup, 2));
  REQUIRE(PublishView(builder, slot, base::FromMicroseconds(2)));
  const auto after = slot.view.load();
  CHECK(FindOwner(*before, kParentGroup).owner == base::DaemonId{1});
  CHECK(FindOwner(*after, kParentGroup).owner == base::DaemonId{2});
  CHECK(before->groups.at("listing/sur").chunks.at(2) ==
        after->groups.at("listing/sur").chunks.at(2));
  CHECK_FALSE(PublishView(builder, slot, base::FromMicroseconds(3)));
}

TEST_CASE("a carved-out key is not served by the parent until it is merged") {
  ViewBuilder builder;
  ownership::GroupRow parent = RowOf(kParentGroup, 1);
  parent.carved_out = {77};
  ApplyRow(builder, parent);
  const auto contains = [&] {
    const auto& hot_keys = builder.next.groups.at("listing/sur").hot_keys;
    return hot_keys != nullptr && hot_keys->contains(77);
  };
  CHECK(contains());
  ApplyRow(builder, RowOf(kHotGroup, 2));
  CHECK(FindOwner(builder.next, kHotGroup).owner == base::DaemonId{2});
  ownership::GroupRow deleted = RowOf(kHotGroup, 0);
  deleted.version = 0;
  ApplyRow(builder, deleted);
  CHECK(contains());
  CHECK_FALSE(FindOwner(builder.next, kHotGroup).owner);
  ApplyRow(builder, RowOf(kParentGroup, 1));
  CHECK_FALSE(contains());
}

// A deleted row carries the version of its deletion. It used to be treated as a
// row without an owner, so that no daemon served the key after a merge.
TEST_CASE("a merged key returns to the parent in either order of the rows") {
  for (const bool is_parent_first : {true, false}) {
    ViewBuilder builder;
    ownership::GroupRow parent = RowOf(kParentGroup, 1);
    parent.carved_out = {77};
    ApplyRow(builder, parent);
    ApplyRow(builder, RowOf(kHotGroup, 2));
    ownership::GroupRow deleted = RowOf(kHotGroup, 0);
    deleted.version = 10;
    for (const bool is_parent : {is_parent_first, !is_parent_first}) {
      ApplyRow(builder, is_parent ? RowOf(kParentGroup, 1) : deleted);
    }
    CHECK(builder.next.groups.at("listing/sur").hot_keys->empty());
  }
}

TEST_CASE("members out of service get no work, and lost ones are removed") {
  ViewBuilder builder;
  RoutingViewSlot slot;
  membership::Member member;
  member.id = base::DaemonId{5};
  member.name = "d5";
  member.http_address = "127.0.0.1:8005";
  member.data_centre = "sur-cerro";
  member.state = membership::MemberState::kServing;
  ApplyMember(builder, member);
  CHECK(builder.peers.at(member.id).accepts_requests);
  CHECK(builder.peers.at(member.id).http ==
        settings::Address{"127.0.0.1", 8005});
  catalogue::Catalogue out;
  out.version = 2;
  out.out_of_service = {{catalogue::OutOfService::What::kTarget, "d5", false}};
  ApplyCatalogue(builder, std::make_shared<const catalogue::Catalogue>(out));
  CHECK_FALSE(builder.peers.at(member.id).accepts_requests);
  out.out_of_service.clear();
  ApplyCatalogue(builder, std::make_shared<const catalogue::Catalogue>(out));
  CHECK(builder.peers.at(member.id).accepts_requests);
  member.state = membership::MemberState::kLost;
  ApplyMember(builder, member);
  CHECK(builder.peers.empty());
}

TEST_CASE("request ids survive a transfer without answers that do not fit") {
  limits::IdGeneration generation;
  generation.issuer = base::DaemonId{7};
  generation.epoch = 4;
  generation.first_sequence = 10;
  generation.low_water = 11;
  generation.next_sequence = 20;
  generation.entries[12] = {
      "ab",
      {1, 2},
      limits::StoredAnswer{201, "text/plain", std::string(2000, '\xff')}};
  generation.entries[13] = {
      "cd", {3, 4}, limits::EndedUnknown{base::ErrorKind::kTargetTimeout}};
  const std::vector<limits::IdGeneration> list = {generation};
  CHECK(DecodeGenerations(EncodeGenerations(list)) == list);
  const auto cut = DecodeGenerations(EncodeGenerations(list, 1000));
  REQUIRE(cut);
  CHECK(std::holds_alternative<limits::EndedUnknown>(
      cut->front().entries.at(12).state));
  CHECK(EncodeGenerations(list, 10).empty());
  CHECK_FALSE(DecodeGenerations(""));
  CHECK_FALSE(DecodeGenerations("\x81\x01"));
}

TEST_CASE(
    "a target becomes unusable without answers and usable after a delay") {
  const TargetWatchOptions options;
  TargetHealth health;
  base::TimePoint now = base::FromMicroseconds(0);
  const auto poll = [&](bool answered, base::Duration later,
                        bool draining = false) {
    now += later;
    return UpdateHealth(health, {answered, draining, false}, options, now);
  };
  CHECK(poll(true, base::seconds{1}));
  CHECK(health.usable);
  CHECK_FALSE(poll(false, base::milliseconds{900}));
  CHECK(poll(false, base::milliseconds{200}));
  CHECK_FALSE(health.usable);
  CHECK_FALSE(poll(true, base::seconds{1}));
  CHECK_FALSE(poll(true, base::milliseconds{1900}));
  CHECK(poll(true, base::milliseconds{100}));
  CHECK(poll(true, base::milliseconds{100}, true));
  CHECK_FALSE(health.usable);
}

TEST_CASE("of two changes from one version, only one is accepted") {
  auto table = std::make_shared<store::MemoryTable>();
  store::Store store = store::MakeMemoryStore(table);
  CatalogueChange change;
  change.operation_id = "first";
  change.next.site = "astillas";
  change.next.data_centres = {{"sur-cerro", "sur"}};
  catalogue::Service service;
  service.name = "listing";
  service.owner = "stock";
  service.regions = {"sur"};
  service.kinds.emplace_back().name = "read";
  change.next.services = {service};
  const ChangeResult first = SubmitCatalogue(store, change);
  REQUIRE(first.status == ChangeResult::Status::kAccepted);
  CHECK(first.current.version == 1);
  change.operation_id = "second";
  const ChangeResult second = SubmitCatalogue(store, change);
  CHECK(second.status == ChangeResult::Status::kConflict);
  CHECK(second.current.version == 1);
  change.expected_version = 1;
  CHECK(SubmitCatalogue(store, change).status ==
        ChangeResult::Status::kAccepted);
  const auto history = ReadHistory(store, 10);
  REQUIRE(history);
  REQUIRE(history.value().size() == 2);
  CHECK(history.value().front().version == 2);
  CHECK(history.value().front().operation_id == "second");
}

}  // namespace eelgrassbridge::daemon
