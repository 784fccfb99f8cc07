// Executes the actions of the membership core.
#include <algorithm>

#include "eelgrassbridge/daemon/control_actions.hpp"
#include "eelgrassbridge/daemon/control_catalogue.hpp"
#include "eelgrassbridge/daemon/control_exchange.hpp"
#include "eelgrassbridge/daemon/peer_thread.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Maximum delay of the next gossip round after a change of an owner, of the
/// catalogue or of suspects. It also limits gossip to ten rounds per second.
constexpr base::Duration kMaxGossipDelay = base::milliseconds{100};

void HandleMemberChange(ControlState& state,
                        base::TimePoint now,
                        const membership::Member& member) {
  ApplyMember(state.view, member);
  OnFleetChange(state, now, member);
  // The record of a lost member is passed on too: the address of a lost deputy
  // shows whether a successor is running there.
  ownership::OnMember(
      state.ownership, now,
      {member.id, member.name, member.service, member.data_centre,
       member.region, member.state == membership::MemberState::kServing,
       member.peer_address});
  if (!membership::IsAlive(member)) {
    // Gossip at once: deputies of the lost daemon's other groups may not know
    // of the loss yet, and start their take-overs only when they do.
    state.membership.next_gossip = std::min(state.membership.next_gossip, now);
    ownership::OnMemberLost(state.ownership, now, member.id);
  }
}

/// Returns whether group rows name the daemon as owner or deputy. A daemon that
/// starts later needs the record of a lost owner or deputy: without the peer
/// address, which shows whether a successor is running there, a take-over waits
/// for the deputy's read bound.
bool IsNamedInRows(const ControlState& state, base::DaemonId id) {
  const auto names = [&](const auto& groups) {
    const auto found = groups.find(id);
    return found != groups.end() && !found->second.empty();
  };
  return names(state.ownership.by_owner) || names(state.ownership.by_deputy);
}

/// Writes member records to the table. Rows of lost and left members are
/// deleted, so that the table does not grow with each restart of a daemon.
void Announce(ControlState& state,
              const std::vector<membership::Member>& members) {
  if (!state.table.announcements.empty()) {
    // A second write would only wait for the first one to finish. The core
    // repeats announcements that are not confirmed.
    return;
  }
  store::Transaction transaction;
  transaction.operation_id = NextOperationId(state);
  PendingAnnouncement pending;
  for (const membership::Member& member : members) {
    const bool is_ended = !membership::IsAlive(member);
    if (is_ended && IsNamedInRows(state, member.id)) {
      // The row is kept for now. The announcement is not confirmed, so the core
      // repeats it.
      continue;
    }
    pending.members.push_back(member.id);
    const auto known = state.table.member_versions.find(member.id);
    const std::uint64_t version =
        known == state.table.member_versions.end() ? 0 : known->second;
    const bool is_alive = !is_ended;
    if (!is_alive && version == 0) {
      continue;
    }
    pending.written.push_back(is_alive ? std::optional(member.id)
                                       : std::nullopt);
    if (!is_alive) {
      state.table.member_versions.erase(member.id);
    }
    transaction.writes.push_back(
        {membership::MemberKey(member.id), version,
         is_alive ? std::optional(membership::EncodeMember(member))
                  : std::nullopt});
  }
  if (transaction.writes.empty()) {
    membership::OnAnnounced(state.membership, pending.members);
    return;
  }
  state.table.announcements.emplace(transaction.operation_id,
                                    std::move(pending));
  state.to_writer.emplace_back(std::move(transaction));
}

struct MembershipVisitor {
  ControlState& state;
  base::TimePoint now;

  void operator()(const membership::SendGossip& action) {
    QueueMessage(this->state, action.to, ToWire(action));
  }
  void operator()(const membership::SendGossipAck& action) {
    QueueMessage(this->state, action.to, wire::GossipAck{action.sequence});
  }
  void operator()(const membership::SendPing& action) {
    QueueMessage(this->state, action.to, wire::Ping{action.sent_at});
  }
  void operator()(const membership::SendPong& action) {
    QueueMessage(this->state, action.to, wire::Pong{action.echoed_sent_at});
  }
  void operator()(const membership::SendSuspicion& action) {
    QueueMessage(this->state, action.to,
                 wire::Suspicion{action.suspect, action.record_version});
  }
  void operator()(const membership::SendJoinRequest& action) {
    const auto& current = this->state.catalogue.current;
    this->state.to_peers.push_back(
        {{},
         action.address,
         wire::JoinRequest{ToWire(action.self),
                           current == nullptr ? 0 : current->version,
                           !this->state.table.is_loaded},
         false});
  }
  void operator()(const membership::SendJoinReply& action) {
    AnswerJoin(this->state, action);
  }
  void operator()(const membership::AnnounceMembers& action) {
    Announce(this->state, action.members);
  }
  void operator()(const membership::MemberChanged& action) {
    HandleMemberChange(this->state, this->now, action.member);
  }
  void operator()(const membership::ItemReceived& action) {
    HandleGossipItem(this->state, this->now, action.from, action.item);
  }
};

void HandleRowItem(ControlState& state,
                   base::TimePoint now,
                   const membership::GossipItem& item) {
  const auto row = ownership::DecodeRow({item.key, item.version, item.payload});
  if (!row) {
    base::GetCounter(state.context.counters, "control_items_invalid_total")
        .fetch_add(1, std::memory_order_relaxed);
    return;
  }
  ownership::Actions actions;
  ownership::OnPeerRows(state.ownership, now, {&row.value(), 1}, actions);
  CarryOut(state, now, actions, RowSource::kOther);
}

}  // namespace

void CarryOut(ControlState& state,
              base::TimePoint now,
              const membership::Actions& actions) {
  MembershipVisitor visitor{state, now};
  for (const membership::Action& action : actions) {
    std::visit(visitor, action);
  }
}

void ScheduleGossip(ControlState& state, base::TimePoint now) {
  state.membership.next_gossip =
      std::min(state.membership.next_gossip, now + kMaxGossipDelay);
}

void HandleGossipItem(ControlState& state,
                      base::TimePoint now,
                      base::DaemonId from,
                      const membership::GossipItem& item) {
  const auto kind = static_cast<ItemKind>(item.kind);
  if (kind != ItemKind::kDemand && kind != ItemKind::kLoad) {
    // Forwarded without waiting for the regular round, so that an item takes at
    // most 100 ms per hop instead of one gossip interval per hop.
    ScheduleGossip(state, now);
  }
  switch (kind) {
    case ItemKind::kRow:
      HandleRowItem(state, now, item);
      return;
    case ItemKind::kCatalogue:
      OnCatalogueVersion(state, now, from, item.version);
      return;
    case ItemKind::kDemand:
      HandleDemandItem(state, now, item);
      return;
    case ItemKind::kSuspect:
      HandleSuspectItem(state, now, item);
      return;
    case ItemKind::kLoad:
      HandleLoadItem(state, item);
      return;
  }
  // Unknown kinds come from newer releases. They are ignored here; the
  // membership core still forwards them.
}

}  // namespace eelgrassbridge::daemon
