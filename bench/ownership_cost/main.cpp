// Processor time and memory of the ownership and membership cores against the
// size of the fleet, and churn of ownership.
#include <malloc.h>

#include <ctime>

#include "eelgrassbridge/membership/membership_commands.hpp"
#include "eelgrassbridge/ownership/ownership_commands.hpp"
#include "output.hpp"

namespace eelgrassbridge::ownership_cost {

namespace {

constexpr std::uint32_t kDataCentres = 30;
constexpr std::uint32_t kGroupsPerMember = 4;
constexpr base::Duration kTick = base::milliseconds{50};
/// 4.5 % of a core for each tick of 50 ms, all control work together.
constexpr double kTickBudgetMicroseconds = 2250;
constexpr double kMemoryBudgetBytes = 128.0 * 1024 * 1024;

double ProcessorMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

double AllocatedBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

/// Mean processor time of `step`, in microseconds.
template <typename Step>
double MeanTime(int repeats, Step step) {
  const double start = ProcessorMicroseconds();
  for (int i = 0; i < repeats; ++i) {
    step(i);
  }
  return (ProcessorMicroseconds() - start) / repeats;
}

ownership::PlacementMember MemberOf(std::uint64_t id) {
  return {{id},      "daemon-" + std::to_string(id),
          "listing", "dc" + std::to_string(id % kDataCentres),
          "sur",     true};
}

std::vector<ownership::GroupRow> Rows(std::uint64_t members) {
  std::vector<ownership::GroupRow> rows;
  for (std::uint32_t i = 0; i < members * kGroupsPerMember; ++i) {
    ownership::GroupRow row;
    row.group = {"listing", "sur", i, std::nullopt};
    row.owner = {i % members + 1};
    row.deputy = {(i + 1 + i / members) % members + 1};
    row.epoch = 1;
    row.version = i + 1;
    row.operation_id = "0000000000000001-1";
    rows.push_back(std::move(row));
  }
  return rows;
}

/// Passes the deputies' replies to the promise requests among the actions.
void Promise(ownership::OwnershipState& state,
             base::TimePoint now,
             ownership::Actions& actions) {
  for (const ownership::Action& action : ownership::Actions(actions)) {
    if (const auto* request =
            std::get_if<ownership::SendPromiseRequest>(&action)) {
      ownership::OnPromiseReply(state, now, request->to, request->sent_at,
                                request->groups, actions);
    }
  }
}

void MeasureOwnership(std::uint64_t members) {
  const std::string name = "cost/" + std::to_string(members) + " members, " +
                           std::to_string(members * kGroupsPerMember) + " rows";
  auto catalogue = std::make_shared<catalogue::Catalogue>();
  catalogue->version = 1;
  catalogue::Service service;
  service.name = "listing";
  service.divided_by_key = true;
  service.instances = static_cast<std::uint32_t>(members);
  service.regions = {"sur"};
  catalogue->services.push_back(service);
  base::TimePoint now{base::seconds{100}};
  std::vector<ownership::GroupRow> rows = Rows(members);
  ownership::Actions actions;

  const double before = AllocatedBytes();
  ownership::OwnershipState state =
      ownership::MakeOwnershipState({1}, {}, now - base::seconds{10});
  ownership::OnCatalogue(state, now, catalogue);
  for (std::uint64_t id = 1; id <= members; ++id) {
    ownership::OnMember(state, now, MemberOf(id));
  }
  ownership::OnRowsRead(state, now, {now, {}, true, rows}, actions);
  actions.clear();
  actions.shrink_to_fit();
  Print(name, "memory of ownership", "bytes", AllocatedBytes() - before,
        nullptr, kMemoryBudgetBytes);

  const auto tick = [&](int) {
    now += kTick;
    actions.clear();
    ownership::OnTick(state, now, actions);
    Promise(state, now, actions);
  };
  tick(0);
  Print(name, "ownership tick, steady", "us", MeanTime(2000, tick), nullptr,
        kTickBudgetMicroseconds);
  Print(name, "row change heard, with its share of the balance", "us",
        MeanTime(400,
                 [&](int i) {
                   ownership::GroupRow& row = rows[500 + i];
                   row.version += 1000000;
                   row.epoch += 1;
                   std::swap(row.owner, row.deputy);
                   ownership::OnPeerRows(state, now, {&row, 1}, actions);
                   tick(0);
                 }),
        nullptr, kTickBudgetMicroseconds);
  Print(name, "member change, with the tick after it", "us",
        MeanTime(200,
                 [&](int i) {
                   ownership::PlacementMember member = MemberOf(900 - i);
                   member.serving = false;
                   ownership::OnMember(state, now, member);
                   tick(0);
                 }),
        nullptr, kTickBudgetMicroseconds);
  Print(name, "member loss, with the tick after it", "us",
        MeanTime(50,
                 [&](int i) {
                   ownership::OnMemberLost(
                       state, now, {static_cast<std::uint64_t>(i) + 300});
                   tick(0);
                 }),
        nullptr, kTickBudgetMicroseconds);
}

void MeasureMembership(std::uint64_t members) {
  const std::string name = "cost/" + std::to_string(members) + " members";
  const auto record = [](std::uint64_t id) {
    membership::Member member;
    member.id = {id};
    member.name = "daemon-" + std::to_string(id);
    member.http_address = "10.11.12.13:8080";
    member.peer_address = "10.11.12.13:8081";
    member.data_centre = "dc" + std::to_string(id % kDataCentres);
    member.region = "region" + std::to_string(id % kDataCentres % 9);
    member.service = "listing";
    member.state = membership::MemberState::kServing;
    return member;
  };
  base::TimePoint now{base::seconds{100}};
  membership::Actions actions;
  const double before = AllocatedBytes();
  membership::MembershipState state =
      membership::MakeMembershipState(record(1), {}, now);
  for (std::uint64_t id = 2; id <= members; ++id) {
    const membership::Member member = record(id);
    membership::OnTableMembers(state, now, {&member, 1}, actions);
  }
  actions.clear();
  actions.shrink_to_fit();
  Print(name, "memory of membership", "bytes", AllocatedBytes() - before,
        nullptr, kMemoryBudgetBytes);
  // The records are not new any more: in a fleet the daemons do not all start
  // at the same time.
  now += base::seconds{120};
  const auto tick = [&](int) {
    now += kTick;
    actions.clear();
    membership::OnTick(state, now, actions);
    for (const membership::Action& action : membership::Actions(actions)) {
      if (const auto* ping = std::get_if<membership::SendPing>(&action)) {
        membership::OnPong(state, now, ping->to, ping->sent_at);
      }
      if (const auto* gossip = std::get_if<membership::SendGossip>(&action)) {
        membership::OnGossipAck(state, gossip->to, gossip->sequence);
      }
    }
  };
  tick(0);
  Print(name, "membership tick, steady", "us", MeanTime(2000, tick), nullptr,
        kTickBudgetMicroseconds);
  Print(name, "member loss at membership, with a second of ticks", "us",
        MeanTime(20,
                 [&](int i) {
                   membership::Member lost = record(500 + i);
                   lost.state = membership::MemberState::kLost;
                   const membership::SendGossip gossip{{1}, 1, {lost}, {}};
                   membership::OnGossip(state, now, gossip, {31}, actions);
                   for (int t = 0; t < 20; ++t) {
                     tick(0);
                   }
                 }),
        nullptr, 20 * kTickBudgetMicroseconds);
}

}  // namespace

}  // namespace eelgrassbridge::ownership_cost

int main() {
  namespace cost = eelgrassbridge::ownership_cost;
  for (const std::uint64_t members : {1000, 4000, 8000, 15000}) {
    cost::MeasureOwnership(members);
    cost::MeasureMembership(members);
  }
  cost::MeasureChurn(3, 20);
  cost::MeasureChurn(30, 34);
}
