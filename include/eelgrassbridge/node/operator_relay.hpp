// How the operator's rows reach the daemons of a data centre.
//
// A version of the routes may have hundreds of kilobytes, and links between
// regions carry all requests as well, so only a few daemons of each data
// centre, the relays, read the operator's rows from the store. A relay that has
// received a change announces its version in a small row of the fleet's table,
// which all daemons follow; those of its data centre learn it sooner, see
// operator_confirmation.hpp. The others then fetch the changed rows from a
// relay of their data centre. They read the store themselves if no relay has
// the change in time, and when what they know is too old.
#ifndef EELGRASSBRIDGE_NODE_OPERATOR_RELAY_HPP
#define EELGRASSBRIDGE_NODE_OPERATOR_RELAY_HPP

#include <asio/awaitable.hpp>
#include <string>
#include <vector>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Relays of the data centre, in a fixed order: the members with the
/// fastest links, apart from those that have failed to answer lately.
std::vector<std::string> OperatorRelays(const Node& node);

/// @brief Whether this daemon reads changes of the operator's rows from the
/// store: it is a relay of its data centre, knows none, or has no routes yet.
bool IsOperatorRelay(const Node& node);

/// @brief Keeps the rows of a page for other daemons of the data centre.
void KeepOperatorPage(Node& node, const RowPage& page);

/// @brief Announces the latest change of the operator's rows, unless another
/// relay does.
asio::awaitable<void> AnnounceOperatorRows(Node& node);

/// @brief Fetches the changes after a version from the relays, or all rows if
/// `after` is 0. Fails with kNotFound if a relay does not know all rows that
/// were removed since, and with kStoreUnavailable if none of them has begun to
/// send the change `needed` by `latest`.
asio::awaitable<base::Result<RowPage>> FetchFromRelays(
    Node& node,
    std::uint64_t after,
    std::uint64_t needed,
    base::TimePoint latest = base::TimePoint::max());

/// @brief Whether the request of another daemon asks for the operator's rows.
bool IsOperatorRowsRequest(const http::RequestHead& head);

/// @brief Answers such a request once this daemon has the change that it needs,
/// or refuses it after a short wait.
asio::awaitable<void> HandleOperatorRowsRequest(Node& node,
                                                http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_OPERATOR_RELAY_HPP
