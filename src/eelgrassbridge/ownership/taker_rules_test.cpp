// Tests of the rules of the deputy and of takers in fixed sequences of events.
#include "rules_test_support.hpp"

namespace eelgrassbridge::ownership {
namespace {

/// Number of promises that the deputy grants for a request at that time.
std::size_t GrantedCount(OwnershipState& state,
                         base::TimePoint now,
                         base::DaemonId from = kOwner,
                         std::uint64_t epoch = 1) {
  Actions actions;
  const GroupEpoch group{kGroup, epoch};
  OnPromiseRequest(state, now, from, now, {&group, 1}, actions);
  const auto reply = Find<SendPromiseReply>(actions);
  return reply ? reply->granted.size() : 0;
}

TEST_CASE(
    "deputy: promises only for the row it read, for at most H after the read") {
  OwnershipState state = MakeCore(kDeputy);
  Actions actions;
  const GroupRow row = Row(7);
  OnPeerRows(state, T(2500), {&row, 1}, actions);
  CHECK(GrantedCount(state, T(2500)) == 0);
  Read(state, T(2500), row, actions);
  CHECK(GrantedCount(state, T(2600)) == 1);
  CHECK(GrantedCount(state, T(2600), kThird) == 0);
  CHECK(GrantedCount(state, T(2600), kOwner, 2) == 0);
  CHECK(GrantedCount(state, T(2500) + seconds{890}) == 1);
  CHECK(GrantedCount(state, T(2500) + seconds{892}) == 0);
}

TEST_CASE("deputy: gives no promise until a lease has passed since its start") {
  OwnershipState state = MakeCore(kDeputy);
  Actions actions;
  Read(state, T(100), Row(7), actions);
  CHECK(GrantedCount(state, T(2019)) == 0);
  CHECK(GrantedCount(state, T(2021)) == 1);
}

TEST_CASE("deputy: takes over after the intent and both waits") {
  OwnershipState state = MakeCore(kDeputy);
  Actions actions;
  Read(state, T(2900), Row(7), actions);
  CHECK(GrantedCount(state, T(3000)) == 1);
  OnMemberLost(state, T(3100), kOwner);
  actions = RunTick(state, T(3100));
  const GroupRow intent = WrittenRow(actions);
  CHECK(intent.intent == kDeputy);
  CHECK(GrantedCount(state, T(3110)) == 0);
  OnTransactionResult(state, T(3120), SubmittedId(actions),
                      {Status::kApplied, {8}, {}}, actions);
  // L(1 + rho), and the run limit for a taker's clock that may be fast.
  const base::TimePoint due = T(3120) + milliseconds{2020 + 1030};
  CHECK_FALSE(Find<SubmitTransaction>(RunTick(state, due - milliseconds{1}))
                  .has_value());
  actions = RunTick(state, due);
  const GroupRow final_row = WrittenRow(actions);
  CHECK(final_row.owner == kDeputy);
  CHECK(final_row.epoch == 2);
  CHECK(final_row.version == 8);
  actions.clear();
  CHECK_FALSE(ServingUntil(state, kGroup, due).has_value());
}

TEST_CASE(
    "deputy: abandons a take-over when the owner has cleared the intent") {
  OwnershipState state = MakeCore(kDeputy);
  Actions actions;
  Read(state, T(2900), Row(7), actions);
  OnMemberLost(state, T(3100), kOwner);
  actions = RunTick(state, T(3100));
  OnTransactionResult(state, T(3120), SubmittedId(actions),
                      {Status::kApplied, {8}, {}}, actions);
  Read(state, T(3500), Row(9), actions);
  CHECK(state.take_overs.empty());
  CHECK(state.counters.take_overs_given_up == 1);
}

TEST_CASE("deputy: reads the row after a lost reply to its intent") {
  OwnershipState state = MakeCore(kDeputy);
  Actions actions;
  Read(state, T(2900), Row(7), actions);
  OnMemberLost(state, T(3100), kOwner);
  actions = RunTick(state, T(3100));
  const GroupRow intent = WrittenRow(actions);
  const std::string intent_id = SubmittedId(actions);
  Read(state, T(3100), Row(7), actions);
  OnTransactionResult(state, T(4100), intent_id, {Status::kUnknown, {}, {}},
                      actions);
  actions = RunTick(state, T(4200));
  CHECK_FALSE(Find<SubmitTransaction>(actions).has_value());
  REQUIRE(Find<ReadRows>(actions).has_value());
  GroupRow applied = intent;
  applied.version = 8;
  Read(state, T(4200), applied, actions);
  CHECK(state.take_overs.at(kGroup).phase == TakeOver::Phase::kWaiting);
}

TEST_CASE(
    "third party: waits for the deputy's read bound or its confirmation") {
  OwnershipState state = MakeCore(kThird);
  Actions actions;
  Read(state, T(2900), Row(7), actions);
  OnMemberLost(state, T(3000), kOwner);
  OnMemberLost(state, T(3000), kDeputy);
  actions = RunTick(state, T(3100));
  OnTransactionResult(state, T(3120), SubmittedId(actions),
                      {Status::kApplied, {8}, {}}, actions);
  actions = RunTick(state, T(3200));
  const auto stop = Find<SendStopPromising>(actions);
  REQUIRE(stop.has_value());
  CHECK(stop->row_version == 8);
  CHECK_FALSE(Find<SubmitTransaction>(RunTick(state, T(3200) + seconds{900}))
                  .has_value());
  // A confirmation about an older intent does not count.
  OnStoppedPromising(state, T(904000), kDeputy, {kGroup, 1}, 7);
  CHECK_FALSE(Find<SubmitTransaction>(RunTick(state, T(908000))).has_value());
  OnStoppedPromising(state, T(908000), kDeputy, {kGroup, 1}, 8);
  CHECK_FALSE(Find<SubmitTransaction>(RunTick(state, T(911049))).has_value());
  CHECK(WrittenRow(RunTick(state, T(911050))).owner == kThird);
}

TEST_CASE("third party: takes over soon after it has become eligible") {
  // Guards against groups that wait up to 5 s for the next check of all owners
  // because their owner was found lost before this daemon began to serve.
  OwnershipState state = MakeCore(kThird);
  Actions actions;
  Read(state, T(2900), Row(7), actions);
  PlacementMember self = state.placement.members.at(kThird);
  self.serving = false;
  OnMember(state, T(2900), self);
  OnMemberLost(state, T(3000), kOwner);
  OnMemberLost(state, T(3000), kDeputy);
  CHECK_FALSE(Find<SubmitTransaction>(RunTick(state, T(3250))).has_value());
  self.serving = true;
  OnMember(state, T(3300), self);
  for (int at = 3350; at <= 3550; at += 50) {
    for (Action& action : RunTick(state, T(at))) {
      actions.push_back(std::move(action));
    }
  }
  REQUIRE(Find<SubmitTransaction>(actions).has_value());
  CHECK(WrittenRow(actions).intent == kThird);
}

TEST_CASE(
    "deputy: does not promise after StopPromising until the row changes") {
  OwnershipState state = MakeCore(kDeputy);
  Actions actions;
  Read(state, T(2900), Row(7), actions);
  OnStopPromising(state, T(3000), kThird, {kGroup, 1}, 8, actions);
  CHECK(Find<SendStoppedPromising>(actions).has_value());
  CHECK(GrantedCount(state, T(3100)) == 0);
  Read(state, T(3200), Row(9), actions);
  CHECK(GrantedCount(state, T(3300)) == 1);
}

TEST_CASE(
    "third party: an operator's confirmation that the deputy is stopped "
    "shortens the wait") {
  OwnershipState state = MakeCore(kThird);
  Actions actions;
  Read(state, T(2900), Row(7), actions);
  OnMemberLost(state, T(3000), kOwner);
  OnMemberLost(state, T(3000), kDeputy);
  actions = RunTick(state, T(3100));
  OnTransactionResult(state, T(3120), SubmittedId(actions),
                      {Status::kApplied, {8}, {}}, actions);
  auto catalogue = *TestCatalogue();
  catalogue.version = 2;
  catalogue.out_of_service.push_back(
      {catalogue::OutOfService::What::kDataCentre, "dc-b", true});
  OnCatalogue(state, T(6000),
              std::make_shared<const catalogue::Catalogue>(catalogue));
  RunTick(state, T(6000));
  CHECK_FALSE(Find<SubmitTransaction>(RunTick(state, T(9049))).has_value());
  CHECK(WrittenRow(RunTick(state, T(9050))).owner == kThird);
}

TEST_CASE(
    "third party: a new daemon at the deputy's address shortens the wait") {
  // Guards against a site that is not served for 900 s after a restart of all
  // its daemons.
  for (const bool is_same_address : {true, false}) {
    OwnershipState state = MakeCore(kThird);
    Actions actions;
    Read(state, T(2900), Row(7), actions);
    PlacementMember deputy = state.placement.members.at(kDeputy);
    deputy.peer_address = "127.0.0.1:1";
    OnMember(state, T(2900), deputy);
    OnMemberLost(state, T(3000), kOwner);
    OnMemberLost(state, T(3000), kDeputy);
    deputy.id = base::DaemonId{77};
    deputy.peer_address = is_same_address ? "127.0.0.1:1" : "127.0.0.1:2";
    OnMember(state, T(3050), deputy);
    actions = RunTick(state, T(3100));
    if (!Find<SubmitTransaction>(actions)) {
      // The new daemon is the preferred owner of this group.
      actions = RunTick(state, T(3150));
    }
    OnTransactionResult(state, T(3200), SubmittedId(actions),
                        {Status::kApplied, {8}, {}}, actions);
    RunTick(state, T(3200));
    CHECK_FALSE(Find<SubmitTransaction>(RunTick(state, T(6200))).has_value());
    CHECK(Find<SubmitTransaction>(RunTick(state, T(6400))).has_value() ==
          is_same_address);
  }
}

}  // namespace
}  // namespace eelgrassbridge::ownership
