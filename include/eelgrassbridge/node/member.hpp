// Daemons of the site as the store's rows tell of them.
#ifndef EELGRASSBRIDGE_NODE_MEMBER_HPP
#define EELGRASSBRIDGE_NODE_MEMBER_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"

namespace eelgrassbridge::node {

/// @brief A daemon and the target beside it. Written by that daemon, when it
/// first hears of its target and at each change.
struct Member {
  /// Where the daemon takes requests of other daemons, "IP:PORT".
  std::string address;
  std::string data_centre;
  std::string service;
  std::string target;
  std::int64_t born = 0;
  std::uint32_t slots = 0;
  /// The target takes requests: it has reported itself and does not leave.
  bool serving = false;

  bool operator==(const Member&) const = default;
};

std::string EncodeMember(const Member& member);
base::Result<Member> DecodeMember(std::string_view text);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_MEMBER_HPP
