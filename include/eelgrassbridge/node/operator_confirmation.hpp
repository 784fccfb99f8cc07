// How a daemon that does not poll the store learns whether the operator's rows
// have changed.
//
// A relay polls the store for the operator's rows at short intervals; a data
// centre has one for 64 daemons. The others hold a request open at it, which it
// answers with each confirmation and each change: with the version of the
// latest change and the age of the read on which that rests. A relay whose
// reads of the store fail refuses at once. A daemon that gets nothing more
// recent from a relay asks the next one, and it reads the store itself when
// what it knows is too old.
//
// These answers carry no rows; see operator_relay.hpp for those.
#ifndef EELGRASSBRIDGE_NODE_OPERATOR_CONFIRMATION_HPP
#define EELGRASSBRIDGE_NODE_OPERATOR_CONFIRMATION_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Limits that follow from the bounds in the settings.
FreshnessOptions FreshnessLimits(const Node& node);

/// @brief Whether this daemon polls the store for changes of the operator's
/// rows: it is the first relay of its data centre, was asked by another daemon
/// lately, or has no routes yet. A daemon that knows no relay only reads them
/// when what it knows is too old.
bool PollsOperatorRows(const Node& node);

/// @brief Takes a statement over and wakes the daemons that wait for one.
void RecordConfirmation(Node& node, const Confirmation& statement);

/// @brief Records the end of a read of the operator's rows from the store.
void RecordOperatorRead(Node& node, bool succeeded);

/// @brief Keeps the knowledge of this daemon confirmed by relays while it does
/// not read the store itself, until the process ends.
asio::awaitable<void> FollowConfirmations(Node& node);

/// @brief Asks daemons that have failed as relays whether they can answer
/// again, until the process ends. Changes do not arrive on this way, so a
/// daemon that stays silent delays none.
asio::awaitable<void> ProbeFailedRelays(Node& node);

/// @brief Whether the request of another daemon asks for a confirmation.
bool IsConfirmationRequest(const http::RequestHead& head);

/// @brief Answers such a request at the next confirmation or change, or refuses
/// it once this daemon cannot give one.
asio::awaitable<void> HandleConfirmationRequest(Node& node,
                                                http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_OPERATOR_CONFIRMATION_HPP
