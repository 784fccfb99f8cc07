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

  auto operator<=>(const ChangeKey&) const = default;
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
  base::TimePoint last_heard;
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
  std::unordered_map<base::DaemonId, Member> members;
  std::map<std::string, std::set<base::DaemonId>, std::less<>> by_data_centre;
  /// Region of each data centre seen.
  std::map<std::string, std::string, std::less<>> region_of;
  /// Members found lost or left, with the time, to be dropped later.
  std::unordered_map<base::DaemonId, base::TimePoint> ended_at;

  std::map<std::pair<std::uint32_t, std::string>, GossipItem> items;
  std::map<std::uint64_t, ChangeKey> log;
  std::map<ChangeKey, std::uint64_t> log_position;
  std::uint64_t next_sequence = 1;
  std::uint64_t next_message = 1;
  std::unordered_map<base::DaemonId, PeerProgress> progress;

  std::unordered_map<base::DaemonId, Watched> watched;
  /// Suspect -> observer -> time of the last report.
  std::unordered_map<base::DaemonId,
                     std::unordered_map<base::DaemonId, base::TimePoint>>
      suspicions;
  /// Who is watched is worked out again after a change of members.
  bool watch_list_stale = true;

  /// A full list came from a peer or from the table.
  bool joined = false;
  std::size_t next_seed = 0;
  base::TimePoint next_join{};
  base::TimePoint next_gossip{};
  base::TimePoint next_announce{};
  base::TimePoint next_forget{};
  /// Records of this data centre that are not in the table yet.
  std::set<base::DaemonId> to_announce;
  /// Another, older daemon uses this daemon's name: this one must not serve.
  bool name_taken = false;
  std::uint64_t random_state = 0;
  MembershipCounters counters;
};

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBERSHIP_STATE_HPP
