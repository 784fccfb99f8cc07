// Messages and notices that the membership core produces.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_ACTIONS_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_ACTIONS_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/membership/member.hpp"

namespace eelgrassbridge::membership {

/// @brief Something other than a member record that is spread on the same
/// channel: a group row, a catalogue version, a poison fingerprint, demand.
///
/// Invariant: for one kind and key only the highest version is kept and sent.
struct GossipItem {
  /// The driver's own numbering of the kinds.
  std::uint32_t kind = 0;
  std::string key;  ///< "NAME@litoral+sur" is sent to these regions only.
  std::uint64_t version = 0;
  std::string payload;

  bool operator==(const GossipItem&) const = default;
};

/// @brief Changes since the receiver's last acknowledgement.
struct SendGossip {
  base::DaemonId to;
  /// To be echoed in the acknowledgement.
  std::uint64_t sequence = 0;
  std::vector<Member> members;
  std::vector<GossipItem> items;
};
struct SendGossipAck {
  base::DaemonId to;
  std::uint64_t sequence = 0;
};

/// @brief Ping to a watched member; the answer echoes sent_at.
struct SendPing {
  base::DaemonId to;
  base::TimePoint sent_at;
};
struct SendPong {
  base::DaemonId to;
  base::TimePoint echoed_sent_at;
};

/// @brief This daemon, an observer, does not hear the suspect.
struct SendSuspicion {
  base::DaemonId to;
  base::DaemonId suspect;
  std::uint64_t record_version = 0;
};

/// @brief Sent to an address, since the id behind it is not known yet.
struct SendJoinRequest {
  std::string address;
  Member self;
};

/// @brief A part of the full list. Sent once to a joining daemon. The driver
/// adds catalogue and rows.
struct SendJoinReply {
  base::DaemonId to;
  std::vector<Member> members;
  bool last = false;
};

/// @brief The relay writes these announcements to the table.
struct AnnounceMembers {
  std::vector<Member> members;
};

/// @brief A record is new or changed; for routing, ownership and the peer bus.
struct MemberChanged {
  Member member;
};

/// @brief An item of another daemon that is newer than what was known here.
struct ItemReceived {
  base::DaemonId from;
  GossipItem item;
};

using Action = std::variant<SendGossip,
                            SendGossipAck,
                            SendPing,
                            SendPong,
                            SendSuspicion,
                            SendJoinRequest,
                            SendJoinReply,
                            AnnounceMembers,
                            MemberChanged,
                            ItemReceived>;
using Actions = std::vector<Action>;

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_ACTIONS_HPP
