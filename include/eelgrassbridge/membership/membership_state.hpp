// The membership state of one daemon. It is changed only on the control thread,
// by the functions of membership_commands.hpp.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_STATE_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_STATE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "eelgrassbridge/membership/member.hpp"
#include "eelgrassbridge/membership/membership_actions.hpp"
#include "eelgrassbridge/membership/membership_options.hpp"

namespace eelgrassbridge::membership {

/// @brief Key of an entry of the change log: a member or an item.
struct ChangeKey {
  /// Unset for an item.
  base::DaemonId member;
  std::uint32_t item_kind = 0;
  std::string item_key;

  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ChangeKey&) const = default;
};

/// @brief An entry of the change log.
struct LoggedChange {
  ChangeKey key;
  /// The daemon that sent the change; it is not sent back there. Unset for a
  /// change that was not received by gossip.
  base::DaemonId learned_from;
  base::TimePoint at;
};

/// @brief How far a gossip partner has acknowledged the change log.
struct PeerProgress {
  /// All changes up to this local sequence number are acknowledged.
  std::uint64_t acknowledged = 0;
  /// Number of the last message sent, and the local sequence number up to which
  /// it covers the log.
  std::uint64_t sent_message = 0;
  std::uint64_t sent_up_to = 0;
};

/// @brief Ping times of a member that this daemon watches or probes.
struct PingState {
  base::TimePoint last_ping{};
  /// Send time of the first unanswered ping; the suspicion timeout starts here.
  std::optional<base::TimePoint> unanswered_since;
  base::TimePoint next_ping;
  base::TimePoint last_report{};
};

struct MembershipCounters {
  std::uint64_t stale_records = 0;
  std::uint64_t refutations = 0;
  std::uint64_t suspicions_sent = 0;
  std::uint64_t members_lost = 0;
  std::uint64_t name_collisions = 0;
  std::uint64_t gossip_messages = 0;
  std::uint64_t gossip_bytes = 0;
};

/// @brief The membership state of one daemon.
///
/// Invariants: `log` holds each key once, at the sequence number of its last
/// local change; `log_position` is its inverse; `by_data_centre` holds the
/// alive members, sorted by id.
struct MembershipState {
  Member self;
  MembershipOptions options;
  base::TimePoint started_at;
  base::TimePoint last_tick;
  std::unordered_map<base::DaemonId, Member> members;
  std::map<std::string, std::set<base::DaemonId>, std::less<>> by_data_centre;
  /// Region of each known data centre.
  std::map<std::string, std::string, std::less<>> region_of;
  /// Lost and left members with the time at which they became so; dropped after
  /// a while.
  std::unordered_map<base::DaemonId, base::TimePoint> ended_at;

  std::map<std::pair<std::uint32_t, std::string>, GossipItem> items;
  std::map<std::uint64_t, LoggedChange> log;
  std::map<ChangeKey, std::uint64_t> log_position;
  std::uint64_t next_sequence = 1;
  std::uint64_t next_message = 1;
  std::unordered_map<base::DaemonId, PeerProgress> progress;

  std::unordered_map<base::DaemonId, PingState> watched;
  /// Members pinged until they answer or are lost although this daemon is not
  /// one of their watchers: chosen at random, or suspected by another observer.
  std::unordered_map<base::DaemonId, PingState> probed;
  base::TimePoint next_probe{};
  /// Number of pseudo-random choices made; input of the next one.
  std::uint64_t choice_count = 0;
  /// For each suspect, the observers with the time of their last report.
  std::unordered_map<base::DaemonId,
                     std::unordered_map<base::DaemonId, base::TimePoint>>
      suspicions;
  /// Watched members and gossip partners are recomputed after a change of
  /// members, at most once per second.
  bool peers_stale = true;
  base::TimePoint next_peer_refresh{};
  /// Gossip partners in the data centre: the members at distances 1, 2, 4, ...
  /// in the ring of ids. Each partner's turn comes every few seconds, so that
  /// its unacknowledged changes fit into one message.
  std::vector<base::DaemonId> partners;
  std::size_t next_partner = 0;

  /// A full member list was received from a peer or read from the table.
  bool joined = false;
  std::size_t next_seed = 0;
  base::TimePoint next_join{};
  base::TimePoint next_gossip{};
  base::TimePoint next_announce{};
  base::TimePoint next_expiry_check{};
  /// Changed records of this data centre and lost members of data centres
  /// without an alive member, with the time of the change. The announcer keeps
  /// them until they are in the table; other daemons keep them for a while in
  /// case they become the announcer.
  std::map<base::DaemonId, base::TimePoint> to_announce;
  /// Record versions in AnnounceMembers actions that are not confirmed yet.
  std::map<base::DaemonId, std::uint64_t> announced_versions;
  /// Other alive daemons with the same name as this daemon.
  std::set<base::DaemonId> same_name_members;
  MembershipCounters counters;
};

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_STATE_HPP
