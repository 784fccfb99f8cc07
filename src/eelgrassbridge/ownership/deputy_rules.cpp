// Rules of the deputy: when it promises and when it stops (rules 2, 3 and 8 of
// the design page).
#include <algorithm>

#include "eelgrassbridge/ownership/detail/core.hpp"
#include "eelgrassbridge/ownership/ownership_commands.hpp"

namespace eelgrassbridge::ownership {

namespace {

/// Number of reads of each row within the read bound H, so that a few failed
/// reads do not end the promises.
constexpr int kReadsPerBound = 6;

bool HasStoppedPromising(const OwnershipState& state, const GroupRow& row) {
  const auto stopped = state.stopped_at_version.find(row.group);
  return stopped != state.stopped_at_version.end() &&
         row.version <= stopped->second;
}

bool MayPromise(const OwnershipState& state,
                const DeputyGroup& entry,
                base::DaemonId owner,
                std::uint64_t epoch,
                base::TimePoint now) {
  const BrokenRules& broken = state.options.broken;
  if (entry.row.owner != owner || entry.row.epoch != epoch ||
      now < state.started_at + TakerLeaseWait(state.options)) {
    return false;
  }
  if (!broken.deputy_promises_during_take_over &&
      (entry.row.intent || HasStoppedPromising(state, entry.row))) {
    return false;
  }
  return broken.no_deputy_read_bound ||
         now - entry.read_sent_at <= DeputyReadBound(state.options);
}

}  // namespace

namespace detail {

void TickDeputy(OwnershipState& state, base::TimePoint now) {
  if (now < state.next_deputy_read) {
    return;
  }
  state.next_deputy_read =
      now + state.options.deputy_read_bound / kReadsPerBound;
  for (const auto& [group, entry] : state.deputy_of) {
    state.to_read.insert(group);
  }
}

}  // namespace detail

void OnPromiseRequest(OwnershipState& state,
                      base::TimePoint now,
                      base::DaemonId from,
                      base::TimePoint sent_at,
                      std::span<const GroupEpoch> groups,
                      Actions& actions) {
  std::vector<GroupEpoch> granted;
  for (const GroupEpoch& request : groups) {
    const auto found = state.deputy_of.find(request.group);
    if (found == state.deputy_of.end() ||
        found->second.row.epoch < request.epoch) {
      // The owner has seen a newer row than this daemon.
      state.to_read.insert(request.group);
      continue;
    }
    if (found->second.row.owner == from) {
      found->second.last_request_at = now;
    }
    if (MayPromise(state, found->second, from, request.epoch, now)) {
      found->second.last_promise_at = now;
      granted.push_back(request);
    }
  }
  if (!granted.empty()) {
    actions.emplace_back(SendPromiseReply{from, sent_at, std::move(granted)});
  }
}

void OnStopPromising(OwnershipState& state,
                     base::TimePoint /*now*/,
                     base::DaemonId from,
                     const GroupEpoch& group,
                     std::uint64_t row_version,
                     Actions& actions) {
  std::uint64_t& stopped = state.stopped_at_version[group.group];
  stopped = std::max(stopped, row_version);
  // If the row has a newer version that this daemon has not seen, reading it
  // allows promises again.
  state.to_read.insert(group.group);
  actions.emplace_back(SendStoppedPromising{from, group, row_version});
}

}  // namespace eelgrassbridge::ownership
