// The record that a daemon publishes about itself.
#ifndef EELGRASSBRIDGE_MEMBERSHIP_MEMBER_HPP
#define EELGRASSBRIDGE_MEMBERSHIP_MEMBER_HPP

#include <cstdint>
#include <string>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/store/row.hpp"

namespace eelgrassbridge::membership {

enum class MemberState : std::uint8_t {
  kJoining,
  kServing,
  kDraining,
  kLeft,
  kLost,
};

/// @brief One daemon with its target.
///
/// Invariants: only the daemon itself raises record_version, except that other
/// members set kLost under the version they know; a daemon that is alive
/// answers with a higher version. kLeft is final.
struct Member {
  base::DaemonId id;
  std::string name;
  /// "ip:port" for callers and forwarding daemons.
  std::string http_address;
  /// "ip:port" for messages between daemons.
  std::string peer_address;
  std::string data_centre;
  std::string region;
  /// Service of the target beside the daemon.
  std::string service;
  /// Whether the target checks the fencing token.
  bool fencing_checked = false;
  MemberState state = MemberState::kJoining;
  std::uint64_t record_version = 1;

  bool operator==(const Member&) const = default;
};

/// @brief Whether a member is counted as running.
bool IsAlive(const Member& member);

/// @brief Whether `other` replaces `known`: a higher version, or the same
/// version found lost or left.
bool IsNewer(const Member& other, const Member& known);

/// @brief Name of a state, as used in the table and the status command.
std::string_view StateName(MemberState state);

/// @brief Key "member/<id>" and JSON value for the table.
std::string MemberKey(base::DaemonId id);
std::string EncodeMember(const Member& member);
base::Result<Member> DecodeMember(const store::Row& row);

/// @brief Bytes that the record takes in a message, for the byte bound.
std::size_t EstimatedSize(const Member& member);

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBER_HPP
