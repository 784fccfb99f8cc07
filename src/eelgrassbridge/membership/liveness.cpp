// Failure detection: assigns watchers to members, pings watched members,
// exchanges suspicions, and marks a member as lost once enough observers report
// it.
#include <algorithm>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/membership/detail.hpp"
#include "eelgrassbridge/membership/membership_commands.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"

namespace eelgrassbridge::membership {

namespace {

constexpr base::Duration kRefreshInterval = base::seconds{1};
/// With fewer alive members than this, one observer is enough.
constexpr std::size_t kMembersForTwoObservers = 3;

std::uint64_t Score(base::DaemonId watched, base::DaemonId watcher) {
  const std::string_view item(reinterpret_cast<const char*>(&watched.value),
                              sizeof watched.value);
  return base::RendezvousScore(item, watcher);
}

std::uint64_t DataCentreScore(base::DaemonId watched,
                              std::string_view data_centre) {
  return base::Hash64(data_centre, watched.value);
}

/// Returns the data centre of a member's outside watchers: preferably another
/// one in its region, so that pings do not cross the billed link. Empty if
/// there is no other data centre with alive members.
std::string_view OutsideDataCentre(const MembershipState& state,
                                   base::DaemonId watched,
                                   std::string_view data_centre,
                                   std::string_view region) {
  std::string_view best;
  std::pair<bool, std::uint64_t> best_score{};
  for (const auto& [name, alive] : state.by_data_centre) {
    if (name == data_centre || alive.empty()) {
      continue;
    }
    const std::pair score{state.region_of.find(name)->second == region,
                          DataCentreScore(watched, name)};
    if (best.empty() || score > best_score) {
      best = name;
      best_score = score;
    }
  }
  return best;
}

/// Returns whether fewer than `places` members of the set score higher than
/// `self`. Stops at the first `places` of them, which keeps the check of all
/// members cheap.
bool IsAmongHighest(const std::set<base::DaemonId>& alive,
                    base::DaemonId watched,
                    base::DaemonId self,
                    std::uint32_t places) {
  const std::uint64_t own = Score(watched, self);
  std::uint32_t higher = 0;
  for (const base::DaemonId id : alive) {
    if (id != watched && id != self && Score(watched, id) > own &&
        ++higher >= places) {
      return false;
    }
  }
  return true;
}

bool WatchesHere(const MembershipState& state, const Member& member) {
  const Member& self = state.self;
  const auto own = state.by_data_centre.find(self.data_centre);
  if (member.id == self.id || !IsAlive(member) ||
      own == state.by_data_centre.end()) {
    return false;
  }
  if (member.data_centre == self.data_centre) {
    return IsAmongHighest(own->second, member.id, self.id,
                          state.options.watchers_in_data_centre);
  }
  return OutsideDataCentre(state, member.id, member.data_centre,
                           member.region) == self.data_centre &&
         IsAmongHighest(own->second, member.id, self.id,
                        state.options.watchers_outside_data_centre);
}

void RefreshPartners(MembershipState& state) {
  state.partners.clear();
  const auto found = state.by_data_centre.find(state.self.data_centre);
  if (found == state.by_data_centre.end()) {
    return;
  }
  const std::vector<base::DaemonId> ring(found->second.begin(),
                                         found->second.end());
  const auto self = std::ranges::find(ring, state.self.id);
  if (self == ring.end()) {
    return;
  }
  const auto position = static_cast<std::size_t>(self - ring.begin());
  for (std::size_t step = 1; step < ring.size(); step *= 2) {
    state.partners.push_back(ring[(position + step) % ring.size()]);
  }
}

/// Inserts an entry into a list of the `places` highest scores, sorted in
/// descending order.
void InsertRanked(std::vector<std::pair<std::uint64_t, base::DaemonId>>& best,
                  std::uint64_t score,
                  base::DaemonId id,
                  std::size_t places) {
  best.emplace_back(score, id);
  std::ranges::sort(best, std::ranges::greater{});
  if (best.size() > places) {
    best.pop_back();
  }
}

void AddHighest(const std::set<base::DaemonId>& alive,
                base::DaemonId watched,
                std::size_t places,
                std::vector<base::DaemonId>& watchers) {
  std::vector<std::pair<std::uint64_t, base::DaemonId>> best;
  for (const base::DaemonId id : alive) {
    if (id != watched) {
      InsertRanked(best, Score(watched, id), id, places);
    }
  }
  for (const auto& [score, id] : best) {
    watchers.push_back(id);
  }
}

bool IsUnresponsive(const MembershipOptions& options,
                    const PingState& watched,
                    base::TimePoint now) {
  return watched.unanswered_since &&
         now - *watched.unanswered_since > options.suspicion_timeout;
}

/// Returns the ping state of a watched or probed member, or null if this daemon
/// does not ping it.
PingState* FindPinged(MembershipState& state, base::DaemonId id) {
  for (auto* pinged : {&state.watched, &state.probed}) {
    const auto found = pinged->find(id);
    if (found != pinged->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

/// Marks the suspect as lost if enough observers reported it within the
/// lifetime of a suspicion.
void MarkLostIfConfirmed(MembershipState& state,
                         base::TimePoint now,
                         base::DaemonId suspect,
                         Actions& actions) {
  const auto found = state.suspicions.find(suspect);
  const Member* known = FindMember(state, suspect);
  if (found == state.suspicions.end() || known == nullptr || !IsAlive(*known)) {
    return;
  }
  std::erase_if(found->second, [&](const auto& report) {
    return now - report.second > state.options.suspicion_lifetime;
  });
  const std::size_t needed =
      AliveCount(state) < kMembersForTwoObservers ? 1 : 2;
  if (found->second.size() < needed) {
    return;
  }
  Member lost = *known;
  lost.state = MemberState::kLost;
  detail::MergeMember(state, now, lost, {}, actions);
}

void ReportUnresponsive(MembershipState& state,
                        base::TimePoint now,
                        const Member& suspect,
                        Actions& actions) {
  state.suspicions[suspect.id][state.self.id] = now;
  std::vector<base::DaemonId> receivers = Watchers(state, suspect.id);
  // All watchers may be lost as well, which would leave a deputy as the only
  // observer.
  for (const base::DaemonId helper : detail::ChooseHelpers(state, suspect.id)) {
    if (std::ranges::find(receivers, helper) == receivers.end()) {
      receivers.push_back(helper);
    }
  }
  // The suspect is informed as well, so that it can refute if it is alive.
  receivers.push_back(suspect.id);
  for (const base::DaemonId receiver : receivers) {
    if (receiver != state.self.id) {
      ++state.counters.suspicions_sent;
      actions.emplace_back(
          SendSuspicion{receiver, suspect.id, suspect.record_version});
    }
  }
  MarkLostIfConfirmed(state, now, suspect.id, actions);
}

}  // namespace

std::vector<base::DaemonId> Watchers(const MembershipState& state,
                                     base::DaemonId watched) {
  std::vector<base::DaemonId> watchers;
  const Member* member = FindMember(state, watched);
  if (member == nullptr) {
    return watchers;
  }
  const auto inside = state.by_data_centre.find(member->data_centre);
  if (inside != state.by_data_centre.end()) {
    AddHighest(inside->second, watched, state.options.watchers_in_data_centre,
               watchers);
  }
  const auto outside = state.by_data_centre.find(
      OutsideDataCentre(state, watched, member->data_centre, member->region));
  if (outside != state.by_data_centre.end()) {
    AddHighest(outside->second, watched,
               state.options.watchers_outside_data_centre, watchers);
  }
  return watchers;
}

namespace detail {

void UpdateWatch(MembershipState& state,
                 base::TimePoint now,
                 const Member& member) {
  if (WatchesHere(state, member)) {
    state.watched.try_emplace(member.id, PingState{{}, {}, now, {}});
  } else {
    state.watched.erase(member.id);
  }
}

void RefreshPeers(MembershipState& state, base::TimePoint now) {
  if (!state.peers_stale || now < state.next_peer_refresh) {
    return;
  }
  state.peers_stale = false;
  state.next_peer_refresh = now + kRefreshInterval;
  RefreshPartners(state);
  std::unordered_map<base::DaemonId, PingState> watched;
  for (const auto& [id, member] : state.members) {
    if (WatchesHere(state, member)) {
      const auto known = state.watched.find(id);
      watched[id] = known == state.watched.end() ? PingState{{}, {}, now, {}}
                                                 : known->second;
    }
  }
  state.watched = std::move(watched);
}

void TickLiveness(MembershipState& state,
                  base::TimePoint now,
                  Actions& actions) {
  // After a pause of this daemon, pongs may still wait to be processed: its own
  // pause must not count as missing answers of the members that it pings.
  const base::Duration gap = now - state.last_tick;
  state.last_tick = now;
  std::vector<base::DaemonId> unresponsive;
  for (auto* pinged : {&state.watched, &state.probed}) {
    for (auto& [id, watched] : *pinged) {
      if (gap > state.options.ping_interval && watched.unanswered_since) {
        *watched.unanswered_since += gap;
      }
      if (now >= watched.next_ping) {
        watched.next_ping = now + state.options.ping_interval;
        watched.last_ping = now;
        watched.unanswered_since = watched.unanswered_since.value_or(now);
        actions.emplace_back(SendPing{id, now});
      }
      if (IsUnresponsive(state.options, watched, now) &&
          now - watched.last_report >= state.options.ping_interval) {
        watched.last_report = now;
        unresponsive.push_back(id);
      }
    }
  }
  for (const base::DaemonId id : unresponsive) {
    const Member* member = FindMember(state, id);
    if (member != nullptr && IsAlive(*member)) {
      ReportUnresponsive(state, now, Member(*member), actions);
    }
  }
}

}  // namespace detail

void OnPing(MembershipState& state,
            base::TimePoint now,
            base::DaemonId from,
            base::TimePoint sent_at,
            Actions& actions) {
  OnMessageReceived(state, now, from);
  actions.emplace_back(SendPong{from, sent_at});
  const Member* member = FindMember(state, from);
  if (member != nullptr && member->state == MemberState::kLost) {
    // The member is running and does not know yet that it was marked as lost.
    actions.emplace_back(SendSuspicion{from, from, member->record_version});
  }
}

void OnPong(MembershipState& state,
            base::TimePoint now,
            base::DaemonId from,
            base::TimePoint echoed_sent_at) {
  PingState* watched = FindPinged(state, from);
  // A pong proves that the member was running when the ping was sent, not when
  // the pong arrives: it may have waited in a queue.
  if (watched == nullptr || echoed_sent_at > now ||
      !watched->unanswered_since ||
      echoed_sent_at < *watched->unanswered_since) {
    return;
  }
  const bool is_last = echoed_sent_at >= watched->last_ping;
  watched->unanswered_since =
      is_last ? std::nullopt : std::optional(watched->last_ping);
  state.probed.erase(from);
}

void OnMessageReceived(MembershipState& state,
                       base::TimePoint now,
                       base::DaemonId from) {
  const auto watched = state.watched.find(from);
  if (watched != state.watched.end()) {
    watched->second.unanswered_since.reset();
    watched->second.next_ping = now + state.options.ping_interval;
  }
  state.probed.erase(from);
}

void OnSuspicion(MembershipState& state,
                 base::TimePoint now,
                 base::DaemonId observer,
                 base::DaemonId suspect,
                 std::uint64_t record_version,
                 Actions& actions) {
  OnMessageReceived(state, now, observer);
  if (suspect == state.self.id) {
    if (record_version >= state.self.record_version && IsAlive(state.self)) {
      state.self.record_version = record_version + 1;
      ++state.counters.refutations;
      detail::PublishSelf(state, now, actions);
    }
    return;
  }
  const Member* known = FindMember(state, suspect);
  if (known == nullptr || record_version < known->record_version) {
    ++state.counters.stale_records;
    return;
  }
  if (!IsAlive(*known)) {
    // The member is already marked as lost. The observer gets the record, not a
    // suspicion: it would answer a suspicion with another one.
    if (known->state == MemberState::kLost &&
        record_version == known->record_version) {
      actions.emplace_back(SendGossip{observer, 0, {*known}, {}});
    }
    return;
  }
  state.suspicions[suspect][observer] = now;
  // Has no effect if the member is already pinged.
  detail::StartProbe(state, now, suspect);
  const PingState* pinged = FindPinged(state, suspect);
  const bool is_own =
      pinged != nullptr && IsUnresponsive(state.options, *pinged, now);
  if (is_own) {
    state.suspicions[suspect][state.self.id] = now;
    // The observer, e.g. the deputy, needs a second report before it may act.
    actions.emplace_back(
        SendSuspicion{observer, suspect, known->record_version});
  }
  MarkLostIfConfirmed(state, now, suspect, actions);
}

void ReportSuspicion(MembershipState& state,
                     base::TimePoint now,
                     base::DaemonId suspect,
                     Actions& actions) {
  const Member* known = FindMember(state, suspect);
  if (known != nullptr && IsAlive(*known) && suspect != state.self.id) {
    ReportUnresponsive(state, now, Member(*known), actions);
  }
}

}  // namespace eelgrassbridge::membership
