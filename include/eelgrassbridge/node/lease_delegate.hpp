// Renewals of the leases of a data centre in common transactions.
//
// An owner sends its renewal to the relay of its data centre, the delegate,
// which joins those that arrive at about the same time into one transaction.
// Owners that were answered together renew together next time, so their calls
// to the store become one. Nothing else changes: the right of an owner counts
// from before it sent its renewal, each lease row is replaced under its own
// version, and a renewal that the delegate delays has no effect once the owner
// has renewed its lease itself.
#ifndef EELGRASSBRIDGE_NODE_LEASE_DELEGATE_HPP
#define EELGRASSBRIDGE_NODE_LEASE_DELEGATE_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/renewal_batch.hpp"

namespace eelgrassbridge::node {

/// @brief Commits a renewal in a batch if the delegate answers, else with a
/// call of this daemon's own. Fails as Commit() does.
asio::awaitable<base::Result<CommitResult>> CommitRenewal(Node& node,
                                                          Renewal renewal);

/// @brief Whether the request of another daemon is a renewal of its lease.
bool IsRenewalRequest(const http::RequestHead& head);

/// @brief Adds the renewal to the next batch, and answers with its outcome.
asio::awaitable<void> HandleRenewalRequest(Node& node,
                                           http::Exchange& exchange);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_LEASE_DELEGATE_HPP
