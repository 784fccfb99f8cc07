// Merging of member records, joining, announcements to the table, and expiry of
// old records.
#include "eelgrassbridge/membership/membership_commands.hpp"

#include <algorithm>

#include "eelgrassbridge/membership/detail.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"

namespace eelgrassbridge::membership {

namespace {

constexpr base::Duration kExpiryInterval = base::seconds{60};

/// Queues the lost and left members of a data centre without alive members for
/// announcement. Every daemon does so, because any of them may be the
/// announcer.
void NoteEmptyDataCentre(MembershipState& state,
                         base::TimePoint now,
                         std::string_view data_centre) {
  for (const auto& [id, ended_at] : state.ended_at) {
    const auto member = state.members.find(id);
    if (member != state.members.end() &&
        member->second.data_centre == data_centre) {
      state.to_announce.try_emplace(id, now);
    }
  }
}

/// Updates the indexes that are derived from the records.
void Reindex(MembershipState& state,
             base::TimePoint now,
             const Member& member) {
  auto& alive = state.by_data_centre[member.data_centre];
  state.region_of[member.data_centre] = member.region;
  const bool was_empty = alive.empty();
  const bool is_changed = IsAlive(member) ? alive.insert(member.id).second
                                          : alive.erase(member.id) > 0;
  if (is_changed) {
    // A member of another data centre does not change which members of this one
    // watch the others; checking all members each time would cost 35 ms at
    // 15,000 members.
    if (member.data_centre == state.self.data_centre ||
        was_empty != alive.empty()) {
      state.peers_stale = true;
    } else {
      detail::UpdateWatch(state, now, member);
    }
  }
  if (IsAlive(member)) {
    state.ended_at.erase(member.id);
  } else {
    state.ended_at.try_emplace(member.id, now);
    state.suspicions.erase(member.id);
    state.progress.erase(member.id);
  }
  if (member.name == state.self.name && member.id != state.self.id) {
    if (IsAlive(member)) {
      if (state.same_name_members.insert(member.id).second) {
        ++state.counters.name_collisions;
      }
    } else {
      state.same_name_members.erase(member.id);
    }
  }
  if (member.data_centre == state.self.data_centre) {
    state.to_announce[member.id] = now;
  } else if (alive.empty()) {
    NoteEmptyDataCentre(state, now, member.data_centre);
  }
}

/// Returns the daemon that writes a record to the table: the relay of its data
/// centre; without alive members there, the relay of its region; without alive
/// members there, the alive member with the lowest id.
base::DaemonId Announcer(const MembershipState& state, const Member& member) {
  base::DaemonId relay = DataCentreRelay(state, member.data_centre);
  if (!relay) {
    relay = RegionRelay(state, member.region);
  }
  if (relay) {
    return relay;
  }
  for (const auto& [name, alive] : state.by_data_centre) {
    if (!alive.empty() && (!relay || *alive.begin() < relay)) {
      relay = *alive.begin();
    }
  }
  return relay;
}

void TickJoin(MembershipState& state, base::TimePoint now, Actions& actions) {
  const std::vector<std::string>& seeds = state.options.seeds;
  if (state.joined || seeds.empty() || now < state.next_join) {
    return;
  }
  state.next_join = now + state.options.join_interval;
  const std::string& seed = seeds[state.next_seed++ % seeds.size()];
  if (seed != state.self.peer_address) {
    actions.emplace_back(SendJoinRequest{seed, state.self});
  }
}

void TickAnnounce(MembershipState& state,
                  base::TimePoint now,
                  Actions& actions) {
  if (now < state.next_announce || state.to_announce.empty()) {
    return;
  }
  state.next_announce = now + state.options.announce_interval;
  std::vector<Member> alive;
  std::vector<Member> ended;
  std::erase_if(state.to_announce, [&](const auto& item) {
    const auto member = state.members.find(item.first);
    if (member == state.members.end()) {
      return true;
    }
    if (Announcer(state, member->second) != state.self.id) {
      return now - item.second > state.options.announce_retention;
    }
    (IsAlive(member->second) ? alive : ended).push_back(member->second);
    return false;
  });
  // Ended members come last: the driver may defer the deletion of their rows,
  // and they must not keep alive members out of the batch meanwhile.
  AnnounceMembers announce{std::move(alive)};
  announce.members.insert(announce.members.end(), ended.begin(), ended.end());
  if (announce.members.size() > state.options.announce_batch) {
    announce.members.resize(state.options.announce_batch);
  }
  for (const Member& member : announce.members) {
    state.announced_versions[member.id] = member.record_version;
  }
  if (!announce.members.empty()) {
    actions.emplace_back(std::move(announce));
  }
}

/// Drops old log entries with their items, and records of members that ended
/// long ago.
void TickExpiry(MembershipState& state, base::TimePoint now) {
  if (now < state.next_expiry_check) {
    return;
  }
  state.next_expiry_check = now + kExpiryInterval;
  const base::Duration limit = state.options.retention;
  while (!state.log.empty() && now - state.log.begin()->second.at > limit) {
    const ChangeKey& key = state.log.begin()->second.key;
    if (!key.member) {
      state.items.erase({key.item_kind, key.item_key});
    }
    state.log_position.erase(key);
    state.log.erase(state.log.begin());
  }
  std::erase_if(state.ended_at, [&](const auto& item) {
    const bool is_old = now - item.second > limit;
    if (is_old) {
      state.members.erase(item.first);
      state.to_announce.erase(item.first);
      state.announced_versions.erase(item.first);
    }
    return is_old;
  });
}

/// Returns whether a record belongs to an earlier incarnation of this daemon.
/// This daemon listens at its peer address, so any other daemon recorded with
/// that address has ended. Its data centre may have no other member that would
/// detect this.
bool IsPredecessor(const MembershipState& state, const Member& member) {
  return IsAlive(member) && !member.peer_address.empty() &&
         member.peer_address == state.self.peer_address;
}

}  // namespace

namespace detail {

void LogChange(MembershipState& state,
               base::TimePoint now,
               ChangeKey key,
               base::DaemonId from) {
  const auto known = state.log_position.find(key);
  if (known != state.log_position.end()) {
    state.log.erase(known->second);
  }
  const std::uint64_t sequence = state.next_sequence++;
  state.log_position[key] = sequence;
  state.log[sequence] = {std::move(key), from, now};
}

void PublishSelf(MembershipState& state,
                 base::TimePoint now,
                 Actions& actions) {
  state.members[state.self.id] = state.self;
  Reindex(state, now, state.self);
  LogChange(state, now, {state.self.id, 0, {}}, {});
  actions.emplace_back(MemberChanged{state.self});
}

void MergeMember(MembershipState& state,
                 base::TimePoint now,
                 const Member& member,
                 base::DaemonId from,
                 Actions& actions) {
  if (member.id == state.self.id) {
    // Another daemon considers this one lost: refute with a higher version.
    if (!IsAlive(member) && IsAlive(state.self) &&
        member.record_version >= state.self.record_version) {
      state.self.record_version = member.record_version + 1;
      ++state.counters.refutations;
      PublishSelf(state, now, actions);
    }
    return;
  }
  if (IsPredecessor(state, member)) {
    Member ended = member;
    ended.state = MemberState::kLost;
    MergeMember(state, now, ended, {}, actions);
    return;
  }
  const auto known = state.members.find(member.id);
  if (known != state.members.end() && !IsNewer(member, known->second)) {
    ++state.counters.stale_records;
    return;
  }
  if (member.state == MemberState::kLost) {
    ++state.counters.members_lost;
  }
  state.members[member.id] = member;
  Reindex(state, now, member);
  LogChange(state, now, {member.id, 0, {}}, from);
  actions.emplace_back(MemberChanged{member});
}

}  // namespace detail

MembershipState MakeMembershipState(Member self,
                                    MembershipOptions options,
                                    base::TimePoint now) {
  MembershipState state;
  state.self = std::move(self);
  state.options = std::move(options);
  state.started_at = now;
  state.last_tick = now;
  Actions ignored;
  detail::PublishSelf(state, now, ignored);
  return state;
}

void OnTick(MembershipState& state, base::TimePoint now, Actions& actions) {
  TickJoin(state, now, actions);
  detail::RefreshPeers(state, now);
  detail::TickProbes(state, now);
  detail::TickLiveness(state, now, actions);
  detail::TickGossip(state, now, actions);
  TickAnnounce(state, now, actions);
  TickExpiry(state, now);
}

void OnJoinRequest(MembershipState& state,
                   base::TimePoint now,
                   const Member& joining,
                   Actions& actions) {
  if (!state.joined || joining.id == state.self.id) {
    return;
  }
  detail::MergeMember(state, now, joining, {}, actions);
  SendJoinReply reply{joining.id, {}, false};
  std::size_t bytes = 0;
  for (const auto& [id, member] : state.members) {
    const std::size_t size = EstimatedSize(member);
    if (bytes + size > state.options.join_bytes && !reply.members.empty()) {
      actions.emplace_back(reply);
      reply.members.clear();
      bytes = 0;
    }
    reply.members.push_back(member);
    bytes += size;
  }
  reply.last = true;
  actions.emplace_back(std::move(reply));
}

void OnJoinReply(MembershipState& state,
                 base::TimePoint now,
                 const SendJoinReply& message,
                 Actions& actions) {
  for (const Member& member : message.members) {
    detail::MergeMember(state, now, member, {}, actions);
  }
  state.joined = state.joined || message.last;
}

void OnTableMembers(MembershipState& state,
                    base::TimePoint now,
                    std::span<const Member> members,
                    Actions& actions) {
  for (const Member& member : members) {
    detail::MergeMember(state, now, member, {}, actions);
  }
  state.joined = true;
}

void OnAnnounced(MembershipState& state, std::span<const base::DaemonId> ids) {
  for (const base::DaemonId id : ids) {
    const auto member = state.members.find(id);
    const auto written = state.announced_versions.find(id);
    if (member == state.members.end() ||
        (written != state.announced_versions.end() &&
         written->second == member->second.record_version)) {
      state.to_announce.erase(id);
    }
    state.announced_versions.erase(id);
  }
}

void SetSelfState(MembershipState& state,
                  base::TimePoint now,
                  MemberState new_state,
                  Actions& actions) {
  if (state.self.state == new_state || state.self.state == MemberState::kLeft) {
    return;
  }
  state.self.state = new_state;
  ++state.self.record_version;
  detail::PublishSelf(state, now, actions);
}

void PublishItem(MembershipState& state, base::TimePoint now, GossipItem item) {
  GossipItem& known = state.items[{item.kind, item.key}];
  if (item.version > known.version) {
    detail::LogChange(state, now, {{}, item.kind, item.key}, {});
    known = std::move(item);
  }
}

}  // namespace eelgrassbridge::membership
