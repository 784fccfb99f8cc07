// Messages and notifications that the membership functions return to their
// driver, which sends or handles them.
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

/// @brief Data other than member records that is also spread by gossip: a group
/// row, a catalogue version, a poison fingerprint, or demand.
///
/// Invariant: for one kind and key only the highest version is kept and sent.
struct GossipItem {
  /// Kind number, assigned by the driver.
  std::uint32_t kind = 0;
  std::string key;  ///< "NAME@litoral+sur" restricts it to these regions.
  std::uint64_t version = 0;
  std::string payload;

  bool operator==(const GossipItem&) const = default;
};

/// @brief Changes that the receiver has not acknowledged yet.
struct SendGossip {
  base::DaemonId to;
  /// Echoed in the acknowledgement; zero if none is expected.
  std::uint64_t sequence = 0;
  std::vector<Member> members;
  std::vector<GossipItem> items;
};
struct SendGossipAck {
  base::DaemonId to;
  std::uint64_t sequence = 0;
};

/// @brief Ping to a watched or probed member; the pong echoes sent_at.
struct SendPing {
  base::DaemonId to;
  base::TimePoint sent_at;
};
struct SendPong {
  base::DaemonId to;
  base::TimePoint echoed_sent_at;
};

/// @brief Reports that this daemon gets no response from the suspect.
struct SendSuspicion {
  base::DaemonId to;
  base::DaemonId suspect;
  std::uint64_t record_version = 0;
};

/// @brief Request to join through a seed. It is sent to an address because the
/// id of the seed is not known yet.
struct SendJoinRequest {
  std::string address;
  Member self;
};

/// @brief One part of the full member list for a joining daemon; `last` marks
/// the final part. The driver adds the catalogue and the group rows.
struct SendJoinReply {
  base::DaemonId to;
  std::vector<Member> members;
  bool last = false;
};

/// @brief Member records that this daemon, as relay, has to write to the table.
/// The driver confirms the write with OnAnnounced.
struct AnnounceMembers {
  std::vector<Member> members;
};

/// @brief Notifies routing, ownership and the peer bus of a new or changed
/// record.
struct MemberChanged {
  Member member;
};

/// @brief Notifies the driver of an item that is newer than the known version.
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
