// The departure of the target beside the daemon. It is acknowledged only once
// the daemon's member row has it: a process that is started again reads the row
// and gives the target no more work, although the target still reports.
#ifndef EELGRASSBRIDGE_NODE_DEPARTURE_HPP
#define EELGRASSBRIDGE_NODE_DEPARTURE_HPP

#include <asio/awaitable.hpp>
#include <string_view>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Logs that the target leaves, and wakes the loops that act on it.
void AnnounceDeparture(Node& node, std::string_view cause);

/// @brief Marks the target as leaving if the member row of this daemon says so
/// of the target's present incarnation. Must be called when the row has been
/// read and when an incarnation has sent its first report.
void ApplyRecordedDeparture(Node& node);

/// @brief Waits until the store has confirmed a member row in which the target
/// leaves. Returns false if that takes too long to acknowledge the departure;
/// the target then repeats its call.
asio::awaitable<bool> AwaitRecordedDeparture(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_DEPARTURE_HPP
