// Membership as one daemon knows it. Only the control thread touches it,
// through membership_commands.hpp.
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

/// @brief Name of an entry of the change log: a member or an item.
struct ChangeKey {
  /// None for an item.
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
  /// Who told it; it is not sent back there. None: a change of this daemon.
  base::DaemonId learned_from;
  base::TimePoint at;
};

/// @brief What a gossip partner has confirmed.
struct PeerProgress {
  /// Every change up to this local sequence has been confirmed.
  std::uint64_t acknowledged = 0;
  /// The last message that was sent and the local sequence it reaches.
  std::uint64_t sent_message = 0;
  std::uint64_t sent_up_to = 0;
};

/// @brief A member that this daemon pings.
struct Watched {
  base::TimePoint last_ping{};
  /// Send time of the first ping that is not answered; silence counts from it.
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

/// @brief Invariants: `log` holds each key once, at the sequence of its last
/// change here; `log_position` is its inverse; `by_data_centre` holds the
/// members that are alive, sorted.
struct MembershipState {
  Member self;
  MembershipOptions options;
  base::TimePoint started_at;
  base::TimePoint last_tick;
  std::unordered_map<base::DaemonId, Member> members;
  std::map<std::string, std::set<base::DaemonId>, std::less<>> by_data_centre;
  /// Region of each data centre seen.
  std::map<std::string, std::string, std::less<>> region_of;
  /// Members found lost or left, with the time, to be dropped later.
  std::unordered_map<base::DaemonId, base::TimePoint> ended_at;

  std::map<std::pair<std::uint32_t, std::string>, GossipItem> items;
  std::map<std::uint64_t, LoggedChange> log;
  std::map<ChangeKey, std::uint64_t> log_position;
  std::uint64_t next_sequence = 1;
  std::uint64_t next_message = 1;
  std::unordered_map<base::DaemonId, PeerProgress> progress;

  std::unordered_map<base::DaemonId, Watched> watched;
  /// Members pinged until they answer or are lost, though this daemon is none
  /// of their watchers: chosen at random, or suspected by another observer.
  std::unordered_map<base::DaemonId, Watched> probed;
  base::TimePoint next_probe{};
  /// Random choices made, so that each differs from the one before.
  std::uint64_t choices = 0;
  /// Suspect -> observer -> time of the last report.
  std::unordered_map<base::DaemonId,
                     std::unordered_map<base::DaemonId, base::TimePoint>>
      suspicions;
  /// Who is watched and gossiped with is worked out again after a change of
  /// members, at most once a second.
  bool peers_stale = true;
  base::TimePoint next_peers{};
  /// Gossip partners in the data centre: at distances 1, 2, 4, ... in the order
  /// of ids. A partner comes round every few seconds, so that what it has not
  /// confirmed yet stays within one message.
  std::vector<base::DaemonId> partners;
  std::size_t next_partner = 0;

  /// A full list came from a peer or from the table.
  bool joined = false;
  std::size_t next_seed = 0;
  base::TimePoint next_join{};
  base::TimePoint next_gossip{};
  base::TimePoint next_announce{};
  base::TimePoint next_forget{};
  /// Changed records of this data centre and losses of data centres without an
  /// alive member, with the time of the change. Whoever announces them keeps
  /// them until they are in the table, the others for a while in case it
  /// becomes their turn.
  std::map<base::DaemonId, base::TimePoint> to_announce;
  /// Versions given out with AnnounceMembers.
  std::map<base::DaemonId, std::uint64_t> announcing;
  /// Other daemons alive under this daemon's name.
  std::set<base::DaemonId> name_rivals;
  MembershipCounters counters;
};

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_STATE_HPP
