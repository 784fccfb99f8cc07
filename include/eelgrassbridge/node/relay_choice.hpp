// Which daemons of a data centre read the store for the others, and how often
// the others read it themselves. Decisions on plain data.
#ifndef EELGRASSBRIDGE_NODE_RELAY_CHOICE_HPP
#define EELGRASSBRIDGE_NODE_RELAY_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::node {

/// @brief A daemon of the data centre that may serve as a relay.
struct RelayCandidate {
  std::string_view address;
  /// Rate of the VM's link in Mbit/s; 0 if unknown.
  double link_mbps = 0;
};

struct RelayOptions {
  /// Daemons that one relay serves. A change is sent to each of them, so the
  /// time to send it grows with their number.
  std::size_t followers_per_relay = 64;
  /// Shortest interval at which a daemon reads the store itself though nobody
  /// has reported a change.
  base::Duration min_unreported_interval{base::seconds{8}};
  /// Part of that interval for each daemon of the data centre, so that together
  /// they read about once in this time, however many they are.
  base::Duration unreported_interval_per_daemon{base::seconds{1}};
};

/// @brief The first `count` candidates by the rate of their links; those with
/// equal links stay in the given order.
std::vector<std::string> RankRelays(std::span<const RelayCandidate> candidates,
                                    std::size_t count);

/// @brief The relay of a daemon; empty if it reads the store itself, because it
/// is a relay or there is none. Daemons with the same candidates choose the
/// same relays, and each relay gets about the same number of them.
/// @param hash Hash of the daemon's address.
std::string RelayOf(std::span<const RelayCandidate> candidates,
                    std::string_view self,
                    std::uint64_t hash,
                    const RelayOptions& options = {});

/// @brief Interval at which a daemon reads the store itself though nobody has
/// reported a change, in a data centre of so many daemons.
base::Duration UnreportedReadInterval(std::size_t daemons,
                                      const RelayOptions& options = {});

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_RELAY_CHOICE_HPP
