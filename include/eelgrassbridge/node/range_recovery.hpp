// Recovery of the range map after the store was restored from an older copy,
// and its creation at the first start; see ranges/recovery.hpp.
#ifndef EELGRASSBRIDGE_NODE_RANGE_RECOVERY_HPP
#define EELGRASSBRIDGE_NODE_RANGE_RECOVERY_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Creates the recovery row of the present era, unless it exists.
/// @param first_start Whether no process can hold a right under a lease of a
/// former era, so that nobody has to wait for claims.
asio::awaitable<void> BeginRecovery(Node& node, bool first_start);

/// @brief Makes the next step of the recovery, if it is this daemon's turn.
/// Returns the time until the next call.
asio::awaitable<base::Duration> RecoverRanges(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_RANGE_RECOVERY_HPP
