// The record that a daemon publishes about itself, and its JSON form in the
// table.
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
/// Invariants: only the daemon itself raises record_version. Other members may
/// only set kLost, with the version that they know; a daemon that is still
/// alive refutes this with a higher version. kLeft is final.
struct Member {
  base::DaemonId id;
  std::string name;
  /// "ip:port" for HTTP requests of callers and forwarding daemons.
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

/// @brief Returns whether a member counts as running, i.e. is neither left nor
/// lost.
bool IsAlive(const Member& member);

/// @brief Returns whether `other` supersedes `known`: it has a higher version,
/// or the same version and is newly lost or left.
bool IsNewer(const Member& other, const Member& known);

/// @brief Returns the name of a state as used in the table and the status
/// command.
std::string_view StateName(MemberState state);

/// @brief Returns the table key "member/<id>".
std::string MemberKey(base::DaemonId id);
/// @brief Returns the JSON value of the table row.
std::string EncodeMember(const Member& member);
/// @brief Parses a table row. Fails with kInternal on a bad key, invalid JSON
/// or an unknown state.
base::Result<Member> DecodeMember(const store::Row& row);

/// @brief Estimates the size of a record in a message in bytes, for the limits
/// on message sizes.
std::size_t EstimatedSize(const Member& member);

}  // namespace eelgrassbridge::membership

#endif  // EELGRASSBRIDGE_MEMBERSHIP_MEMBER_HPP
