// Members of the fleet, as stored in the rows of the store.
#ifndef EELGRASSBRIDGE_NODE_MEMBER_HPP
#define EELGRASSBRIDGE_NODE_MEMBER_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"

namespace eelgrassbridge::node {

/// @brief A daemon and the target beside it. The daemon writes the row at the
/// first report of its target and at each change.
struct Member {
  /// Address for requests of other daemons, "IP:PORT".
  std::string address;
  std::string data_centre;
  std::string service;
  std::string target;
  /// Start of the target, Unix time in milliseconds.
  std::int64_t born = 0;
  std::uint32_t slots = 0;
  /// Rate of the VM's link in Mbit/s; 0 if unknown.
  double link_mbps = 0;
  /// The target accepts requests: it has reported and is not leaving.
  bool serving = false;

  bool operator==(const Member&) const = default;
};

std::string EncodeMember(const Member& member);
/// @brief Fails with kFrameInvalid if a field is missing, has another type or a
/// value that no daemon writes.
base::Result<Member> DecodeMember(std::string_view text);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_MEMBER_HPP
