// How changes of the fleet's rows reach the daemons of a data centre.
//
// One daemon of each data centre, the relay, polls the store for the fleet's
// rows, and the others poll the relay. A daemon that is asked for changes
// becomes a relay if it was none, so daemons that know different members never
// wait for each other. A follower reads the store itself if its relay fails, if
// another daemon reports a change that the relay does not deliver in time, and
// now and then without a report.
#ifndef EELGRASSBRIDGE_NODE_FLEET_RELAY_HPP
#define EELGRASSBRIDGE_NODE_FLEET_RELAY_HPP

#include <asio/awaitable.hpp>
#include <string>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Address of the relay that this daemon polls; empty if it polls the
/// store.
std::string FleetRelayOf(const Node& node);

/// @brief Whether the time has come to read the store without a report.
bool IsUnreportedReadDue(const Node& node);

/// @brief Keeps the changes of a page for other daemons of the data centre.
void KeepFleetPage(Node& node, const RowPage& page);

/// @brief Polls a relay for changes after a version. Fails if the relay fails,
/// if it does not have the change that another daemon has reported in time, and
/// if this daemon becomes a relay.
asio::awaitable<base::Result<RowPage>> PollRelay(Node& node,
                                                 std::string relay,
                                                 std::uint64_t after);

/// @brief Whether the request of another daemon asks for the fleet's rows.
bool IsFleetRowsRequest(const http::RequestHead& head);

/// @brief Answers such a request at the next change, or after a longest wait.
asio::awaitable<void> HandleFleetRowsRequest(Node& node,
                                             http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_FLEET_RELAY_HPP
