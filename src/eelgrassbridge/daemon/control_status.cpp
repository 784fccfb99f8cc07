// Fleet status and metrics of the control thread.
#include "eelgrassbridge/daemon/control_status.hpp"

#include <algorithm>
#include <ctime>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"
#include "eelgrassbridge/ownership/ownership_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1000;

DaemonStatus MakeDaemonStatus(const ControlState& state,
                              const membership::Member& member) {
  DaemonStatus status;
  status.name = member.name;
  status.id = base::ToString(member.id);
  status.data_centre = member.data_centre;
  status.region = member.region;
  status.service = member.service;
  status.state = membership::StateName(member.state);
  status.groups_owned = static_cast<std::uint32_t>(
      ownership::OwnedCount(state.ownership, member.id));
  return status;
}

std::uint32_t CountWithoutOwner(const ControlState& state) {
  std::uint32_t count = 0;
  for (const base::GroupId& group :
       catalogue::AllGroups(*state.catalogue.current)) {
    const ownership::GroupRow* const row =
        ownership::FindRow(state.ownership, group);
    const membership::Member* const owner =
        row == nullptr ? nullptr
                       : membership::FindMember(state.membership, row->owner);
    if (owner == nullptr || !membership::IsAlive(*owner)) {
      ++count;
    }
  }
  return count;
}

void Set(const ControlState& state,
         std::string_view name,
         std::uint64_t value) {
  base::GetCounter(state.context.counters, name)
      .store(static_cast<std::int64_t>(value), std::memory_order_relaxed);
}

std::int64_t ThreadCpuMicroseconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return used.tv_sec * kMicrosecondsPerSecond +
         used.tv_nsec / kNanosecondsPerMicrosecond;
}

}  // namespace

FleetStatus MakeFleetStatus(const ControlState& state) {
  FleetStatus status;
  status.site = state.settings.site;
  status.answered_by = state.settings.name;
  status.ready = state.view.next.ready;
  status.store_reachable = state.table.reachable;
  if (state.catalogue.current != nullptr) {
    status.catalogue_version = state.catalogue.current->version;
    status.groups = static_cast<std::uint32_t>(
        catalogue::AllGroups(*state.catalogue.current).size());
    status.groups_without_owner = CountWithoutOwner(state);
  }
  for (const auto& [id, member] : state.membership.members) {
    if (id != state.self) {
      status.daemons.push_back(MakeDaemonStatus(state, member));
    }
  }
  status.daemons.push_back(MakeDaemonStatus(state, state.membership.self));
  status.daemons.back().catalogue_version = status.catalogue_version;
  std::ranges::sort(status.daemons, {}, &DaemonStatus::name);
  return status;
}

void UpdateGauges(const ControlState& state) {
  const ownership::OwnershipCounters& owned = state.ownership.counters;
  Set(state, "groups_owned", state.gates.open.size());
  const base::TimePoint now = base::BootClock::now();
  Set(state, "groups_serving",
      static_cast<std::uint64_t>(
          std::ranges::count_if(state.gates.open, [&](const auto& entry) {
            return !entry.second->released.load() &&
                   IsLeaseValid(*entry.second, now);
          })));
  Set(state, "hot_keys_owned",
      static_cast<std::uint64_t>(std::ranges::count_if(
          state.gates.open,
          [](const auto& entry) { return entry.first.hot_key.has_value(); })));
  Set(state, "hot_keys_carved_out_total", owned.hot_keys_carved_out);
  Set(state, "hot_keys_moved_total", owned.hot_keys_moved);
  Set(state, "hot_keys_merged_total", owned.hot_keys_merged);
  Set(state, "published_load_per_second",
      static_cast<std::uint64_t>(state.published_load));
  Set(state, "take_overs_begun_total", owned.take_overs_begun);
  Set(state, "take_overs_done_total", owned.take_overs_done);
  Set(state, "take_overs_given_up_total", owned.take_overs_given_up);
  Set(state, "releases_done_total", owned.releases_done);
  Set(state, "deputies_replaced_total", owned.deputies_replaced);
  Set(state, "intents_cleared_total", owned.intents_cleared);
  Set(state, "store_results_unknown_total", owned.unknown_results);
  Set(state, "store_conflicts_total", owned.write_conflicts);
  Set(state, "promises_ignored_total", owned.promises_ignored);
  Set(state, "clock_jumps_total", owned.clock_jumps);
  const membership::MembershipCounters& members = state.membership.counters;
  Set(state, "members_alive", membership::AliveCount(state.membership));
  Set(state, "members_lost_total", members.members_lost);
  Set(state, "refutations_total", members.refutations);
  Set(state, "suspicions_sent_total", members.suspicions_sent);
  Set(state, "stale_records_total", members.stale_records);
  Set(state, "name_collisions_total", members.name_collisions);
  Set(state, "control_cpu_microseconds_total",
      static_cast<std::uint64_t>(ThreadCpuMicroseconds()));
}

}  // namespace eelgrassbridge::daemon
