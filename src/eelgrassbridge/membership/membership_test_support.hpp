// Test fixture: daemons that exchange membership messages in memory, on one
// thread and a simulated clock.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_TEST_SUPPORT_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_TEST_SUPPORT_HPP

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "eelgrassbridge/membership/membership_commands.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"

namespace eelgrassbridge::membership {

using base::milliseconds;
using base::TimePoint;

inline constexpr base::Duration kStep = milliseconds{50};

inline Member MakeMember(std::uint64_t id) {
  Member member;
  member.id = {id};
  member.name = "d" + std::to_string(id);
  member.peer_address = "127.0.0.1:" + std::to_string(id);
  member.data_centre = "dc" + std::to_string(id % 3);
  member.region = id % 3 == 2 ? "litoral" : "sur";
  member.service = "listing";
  member.state = MemberState::kServing;
  return member;
}

/// Daemons with a simulated clock. Every message is delivered at once unless
/// its sender or receiver is unreachable.
struct Fleet {
  std::map<base::DaemonId, MembershipState> daemons;
  std::set<base::DaemonId> unreachable;
  std::map<base::DaemonId, std::set<base::DaemonId>> marked_lost_by;
  std::size_t largest_message = 0;
  TimePoint now{milliseconds{1000}};
};

inline void Deliver(Fleet& fleet, base::DaemonId from, const Actions& actions);

template <typename Step>
void DeliverTo(Fleet& fleet,
               base::DaemonId from,
               base::DaemonId to,
               Step step) {
  const auto receiver = fleet.daemons.find(to);
  if (receiver == fleet.daemons.end() || fleet.unreachable.contains(to) ||
      fleet.unreachable.contains(from)) {
    return;
  }
  Actions actions;
  step(receiver->second, actions);
  Deliver(fleet, to, actions);
}

inline void Deliver(Fleet& fleet, base::DaemonId from, const Actions& actions) {
  const TimePoint now = fleet.now;
  for (const Action& action : actions) {
    if (const auto* gossip = std::get_if<SendGossip>(&action)) {
      std::size_t bytes = 0;
      for (const Member& member : gossip->members) {
        bytes += EstimatedSize(member);
      }
      fleet.largest_message = std::max(fleet.largest_message, bytes);
      DeliverTo(fleet, from, gossip->to,
                [&](auto& s, auto& a) { OnGossip(s, now, *gossip, from, a); });
    } else if (const auto* ack = std::get_if<SendGossipAck>(&action)) {
      DeliverTo(fleet, from, ack->to,
                [&](auto& s, auto&) { OnGossipAck(s, from, ack->sequence); });
    } else if (const auto* ping = std::get_if<SendPing>(&action)) {
      DeliverTo(fleet, from, ping->to, [&](auto& s, auto& a) {
        OnPing(s, now, from, ping->sent_at, a);
      });
    } else if (const auto* pong = std::get_if<SendPong>(&action)) {
      DeliverTo(fleet, from, pong->to, [&](auto& s, auto&) {
        OnPong(s, now, from, pong->echoed_sent_at);
      });
    } else if (const auto* report = std::get_if<SendSuspicion>(&action)) {
      DeliverTo(fleet, from, report->to, [&](auto& s, auto& a) {
        OnSuspicion(s, now, from, report->suspect, report->record_version, a);
      });
    } else if (const auto* reply = std::get_if<SendJoinReply>(&action)) {
      DeliverTo(fleet, from, reply->to,
                [&](auto& s, auto& a) { OnJoinReply(s, now, *reply, a); });
    } else if (const auto* change = std::get_if<MemberChanged>(&action)) {
      if (change->member.state == MemberState::kLost) {
        fleet.marked_lost_by[change->member.id].insert(from);
      }
    } else if (const auto* join = std::get_if<SendJoinRequest>(&action)) {
      const auto port = join->address.substr(join->address.find(':') + 1);
      DeliverTo(fleet, from, {std::stoull(port)}, [&](auto& s, auto& a) {
        OnJoinRequest(s, now, join->self, a);
      });
    }
  }
}

inline void Run(Fleet& fleet, base::Duration length) {
  const TimePoint end = fleet.now + length;
  for (; fleet.now < end; fleet.now += kStep) {
    for (auto& [id, state] : fleet.daemons) {
      if (!fleet.unreachable.contains(id)) {
        Actions actions;
        OnTick(state, fleet.now, actions);
        Deliver(fleet, id, actions);
      }
    }
  }
}

inline Fleet MakeFleet(std::uint64_t count) {
  Fleet fleet;
  std::vector<Member> members;
  for (std::uint64_t id = 1; id <= count; ++id) {
    members.push_back(MakeMember(id));
  }
  for (const Member& member : members) {
    MembershipState state = MakeMembershipState(member, {}, fleet.now);
    Actions ignored;
    OnTableMembers(state, fleet.now, members, ignored);
    fleet.daemons.emplace(member.id, std::move(state));
  }
  return fleet;
}

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_TEST_SUPPORT_HPP
