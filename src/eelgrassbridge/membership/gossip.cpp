// Gossip of changes to partners and relays: sends deltas since the last
// acknowledgement, limited in size.
#include <algorithm>

#include "eelgrassbridge/membership/detail.hpp"
#include "eelgrassbridge/membership/membership_commands.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"

namespace eelgrassbridge::membership {

namespace {

/// Bytes of kind, version and field headers of one item in a message.
constexpr std::size_t kItemFixedBytes = 20;

PeerProgress& ProgressOf(MembershipState& state,
                         base::TimePoint now,
                         base::DaemonId peer) {
  const auto [at, is_new] = state.progress.try_emplace(peer);
  if (is_new) {
    // The peer received older changes with its full list.
    for (auto entry = state.log.rbegin(); entry != state.log.rend(); ++entry) {
      if (now - entry->second.at > state.options.new_partner_window) {
        at->second.acknowledged = entry->first;
        break;
      }
    }
  }
  return at->second;
}

/// Returns whether an item may be sent to a member: data about a client account
/// with home regions does not leave these regions.
bool MayReceive(const MembershipState& state,
                base::DaemonId id,
                std::string_view key) {
  const std::size_t at = key.rfind('@');
  if (at == std::string_view::npos) {
    return true;
  }
  const Member* const member = FindMember(state, id);
  std::string_view regions = key.substr(at + 1);
  while (member != nullptr && !regions.empty()) {
    const std::size_t end = regions.find('+');
    if (regions.substr(0, end) == member->region) {
      return true;
    }
    regions.remove_prefix(end == std::string_view::npos ? regions.size()
                                                        : end + 1);
  }
  return false;
}

/// Adds one change to the message. Returns its size in bytes, or zero if the
/// change is not for this receiver or no longer exists.
std::size_t AddChange(const MembershipState& state,
                      const LoggedChange& change,
                      SendGossip& message) {
  if (change.learned_from == message.to) {
    return 0;
  }
  if (change.key.member) {
    const auto member = state.members.find(change.key.member);
    if (member == state.members.end()) {
      return 0;
    }
    message.members.push_back(member->second);
    return EstimatedSize(member->second);
  }
  const auto item =
      state.items.find({change.key.item_kind, change.key.item_key});
  if (item == state.items.end() ||
      !MayReceive(state, message.to, item->second.key)) {
    return 0;
  }
  message.items.push_back(item->second);
  return kItemFixedBytes + item->second.key.size() +
         item->second.payload.size();
}

void GossipTo(MembershipState& state,
              base::TimePoint now,
              base::DaemonId peer,
              Actions& actions) {
  PeerProgress& progress = ProgressOf(state, now, peer);
  SendGossip message{peer, 0, {}, {}};
  std::size_t bytes = 0;
  std::uint64_t up_to = progress.acknowledged;
  for (auto entry = state.log.upper_bound(progress.acknowledged);
       entry != state.log.end() && bytes < state.options.gossip_bytes;
       ++entry) {
    const std::size_t size = AddChange(state, entry->second, message);
    if (bytes > 0 && bytes + size > state.options.gossip_bytes) {
      // Only the first change of a message may exceed the limit.
      entry->second.key.member ? message.members.pop_back()
                               : message.items.pop_back();
      break;
    }
    bytes += size;
    up_to = entry->first;
  }
  if (message.members.empty() && message.items.empty()) {
    progress.acknowledged = up_to;
    return;
  }
  message.sequence = state.next_message++;
  progress.sent_message = message.sequence;
  progress.sent_up_to = up_to;
  ++state.counters.gossip_messages;
  state.counters.gossip_bytes += bytes;
  actions.emplace_back(std::move(message));
}

}  // namespace

namespace detail {

void TickGossip(MembershipState& state, base::TimePoint now, Actions& actions) {
  if (now < state.next_gossip) {
    return;
  }
  state.next_gossip = now + state.options.gossip_interval;
  const std::size_t count =
      std::min<std::size_t>(state.options.gossip_fanout, state.partners.size());
  for (std::size_t i = 0; i < count; ++i) {
    GossipTo(state, now,
             state.partners[state.next_partner++ % state.partners.size()],
             actions);
  }
  for (const base::DaemonId relay : RelayPeers(state)) {
    GossipTo(state, now, relay, actions);
  }
}

}  // namespace detail

void OnGossip(MembershipState& state,
              base::TimePoint now,
              const SendGossip& message,
              base::DaemonId from,
              Actions& actions) {
  OnMessageReceived(state, now, from);
  for (const Member& member : message.members) {
    detail::MergeMember(state, now, member, from, actions);
  }
  for (const GossipItem& item : message.items) {
    GossipItem& known = state.items[{item.kind, item.key}];
    if (item.version > known.version) {
      detail::LogChange(state, now, {{}, item.kind, item.key}, from);
      known = item;
      actions.emplace_back(ItemReceived{from, item});
    } else {
      ++state.counters.stale_records;
    }
  }
  actions.emplace_back(SendGossipAck{from, message.sequence});
}

void OnGossipAck(MembershipState& state,
                 base::DaemonId from,
                 std::uint64_t sequence) {
  const auto progress = state.progress.find(from);
  if (progress != state.progress.end() && sequence != 0 &&
      progress->second.sent_message == sequence) {
    progress->second.acknowledged = progress->second.sent_up_to;
  }
}

}  // namespace eelgrassbridge::membership
