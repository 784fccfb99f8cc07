// Event handlers of the ownership core that do not belong to a single rule.
#include "eelgrassbridge/ownership/ownership_commands.hpp"

#include <algorithm>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/ownership/detail/core.hpp"

namespace eelgrassbridge::ownership {

namespace {

constexpr base::Duration kReadBackoff = base::milliseconds{200};
/// An operation without a result after this many store timeouts is treated as
/// one of unknown result.
constexpr int kLostOperationTimeouts = 5;

void FlushReads(OwnershipState& state, base::TimePoint now, Actions& actions) {
  std::erase_if(state.outstanding_reads, [&](const auto& item) {
    return now - item.second > 2 * state.options.store_timeout;
  });
  if (now < state.reads_blocked_until || state.to_read.empty()) {
    return;
  }
  // A row with an outstanding read stays in the list: the store may have
  // answered that read before the event that requires a new one.
  ReadRows read;
  std::erase_if(state.to_read, [&](const base::GroupId& group) {
    const bool is_requested =
        state.outstanding_reads.try_emplace(group, now).second;
    if (is_requested) {
      read.groups.push_back(group);
    }
    return is_requested;
  });
  if (!read.groups.empty()) {
    actions.emplace_back(std::move(read));
  }
}

void ExpireOperations(OwnershipState& state,
                      base::TimePoint now,
                      Actions& actions) {
  std::vector<std::string> expired;
  for (const auto& [id, operation] : state.operations) {
    if (now - operation.sent_at >
        kLostOperationTimeouts * state.options.store_timeout) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    OnTransactionResult(state, now, id,
                        {store::TransactionResult::Status::kUnknown, {}, {}},
                        actions);
  }
}

void RecordLoss(OwnershipState& state,
                base::TimePoint now,
                base::DaemonId member) {
  if (state.last_loss == base::TimePoint{} ||
      now - state.last_loss > state.options.loss_burst_gap) {
    state.lost_owner_groups.clear();
    state.lost_deputy_groups = 0;
    state.first_loss = now;
  }
  state.last_loss = now;
  const auto owned = state.by_owner.find(member);
  if (owned != state.by_owner.end()) {
    for (const base::GroupId& group : owned->second) {
      const auto demand = state.demand.find(group);
      state.lost_owner_groups.push_back(
          {demand == state.demand.end() ? 0 : demand->second, group});
    }
  }
  const auto deputy_of = state.by_deputy.find(member);
  if (deputy_of != state.by_deputy.end()) {
    state.lost_deputy_groups +=
        static_cast<std::uint32_t>(deputy_of->second.size());
  }
}

void CollectMissing(OwnershipState& state) {
  if (state.catalogue == nullptr || !state.table_known) {
    return;
  }
  state.missing.clear();
  for (base::GroupId& group : catalogue::AllGroups(*state.catalogue)) {
    if (!state.rows.contains(group)) {
      state.missing.push_back(std::move(group));
    }
  }
}

}  // namespace

OwnershipState MakeOwnershipState(base::DaemonId self,
                                  OwnershipOptions options,
                                  base::TimePoint now) {
  OwnershipState state;
  state.self = self;
  state.started_at = now;
  state.last_tick = now;
  state.tokens = options.write_burst;
  state.tokens_updated_at = now;
  state.options = options;
  return state;
}

void OnTick(OwnershipState& state, base::TimePoint now, Actions& actions) {
  if (now - state.last_tick > state.options.lease) {
    // The process was suspended. Leases expire by their end times, and nothing
    // else depends on regular ticks.
    ++state.counters.clock_jumps;
  }
  state.last_tick = now;
  ExpireOperations(state, now, actions);
  detail::TickTakeOvers(state, now, actions);
  detail::TickReleases(state, now, actions);
  detail::TickOwned(state, now, actions);
  detail::TickDeputy(state, now);
  detail::TickHotKeys(state, now, actions);
  detail::TickPlacement(state, now, actions);
  FlushReads(state, now, actions);
}

void OnRowsRead(OwnershipState& state,
                base::TimePoint now,
                const RowsReadEvent& event,
                Actions& actions) {
  for (const GroupRow& row : event.rows) {
    state.outstanding_reads.erase(row.group);
    detail::ProcessRow(state, now, row, event.read_sent_at, actions);
  }
  for (const base::GroupId& group : event.requested) {
    if (state.outstanding_reads.erase(group) > 0 &&
        std::ranges::find(event.rows, group, &GroupRow::group) ==
            event.rows.end()) {
      detail::ProcessAbsence(state, now, group, event.read_sent_at, actions);
    }
  }
  if (event.whole_table && !state.table_known) {
    state.table_known = true;
    CollectMissing(state);
  }
}

void OnReadFailed(OwnershipState& state, base::TimePoint now) {
  for (const auto& [group, requested_at] : state.outstanding_reads) {
    state.to_read.insert(group);
  }
  state.outstanding_reads.clear();
  state.reads_blocked_until = now + kReadBackoff;
}

void OnPeerRows(OwnershipState& state,
                base::TimePoint now,
                std::span<const GroupRow> rows,
                Actions& actions) {
  for (const GroupRow& row : rows) {
    detail::ProcessRow(state, now, row, std::nullopt, actions);
  }
}

void OnMember(OwnershipState& state,
              base::TimePoint now,
              const PlacementMember& member) {
  PlacementView& view = state.placement;
  const auto [at, is_added] = view.members.try_emplace(member.id, member);
  const bool is_changed = is_added || at->second != member;
  at->second = member;
  view.unknown_since.erase(member.id);
  const bool is_back = member.serving && view.gone.erase(member.id) > 0;
  if (is_changed || is_back) {
    if (state.catalogue != nullptr) {
      UpdateCandidates(view, *state.catalogue, member.id);
    }
    state.balance_stale = true;
    // This daemon may have become eligible for a take-over, or the daemon that
    // was to take over may no longer be.
    detail::ScheduleEarlySweep(state, now);
  }
}

void OnMemberLost(OwnershipState& state,
                  base::TimePoint now,
                  base::DaemonId member) {
  if (member == state.self ||
      !state.placement.gone.try_emplace(member, now).second) {
    return;
  }
  if (state.catalogue != nullptr) {
    UpdateCandidates(state.placement, *state.catalogue, member);
  }
  state.balance_stale = true;
  detail::ScheduleEarlySweep(state, now);
  RecordLoss(state, now, member);
  for (auto* index : {&state.by_owner, &state.by_deputy}) {
    const auto groups = index->find(member);
    if (groups != index->end()) {
      for (const base::GroupId& group : groups->second) {
        detail::ConsiderTakeOver(state, now, group);
      }
    }
  }
}

void OnCatalogue(OwnershipState& state,
                 base::TimePoint /*now*/,
                 std::shared_ptr<const catalogue::Catalogue> catalogue) {
  if (catalogue == nullptr ||
      (state.catalogue != nullptr &&
       catalogue->version <= state.catalogue->version)) {
    return;
  }
  state.catalogue = std::move(catalogue);
  state.placement.candidates.clear();
  state.balance_stale = true;
  CollectMissing(state);
}

void SetDraining(OwnershipState& state,
                 base::TimePoint /*now*/,
                 bool draining) {
  state.draining = draining;
}

void SetTargetUsable(OwnershipState& state,
                     base::TimePoint /*now*/,
                     bool usable) {
  state.target_usable = usable;
}

}  // namespace eelgrassbridge::ownership
