// Runs a node from its start to its planned stop.
#ifndef EELGRASSBRIDGE_NODE_RUN_NODE_HPP
#define EELGRASSBRIDGE_NODE_RUN_NODE_HPP

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/node/platform_port.hpp"
#include "eelgrassbridge/node/settings.hpp"

namespace eelgrassbridge::node {

struct Node;

/// @brief Binds the addresses and starts all loops of the node on its event
/// loop. Throws std::system_error if an address cannot be bound.
void StartNode(Node& node);

/// @brief Performs a planned stop: continues to serve until callers have had
/// time to notice it and no request is active, or until the grace period is
/// nearly over. The process may exit afterwards.
asio::awaitable<void> StopGracefully(Node& node);

/// @brief Creates the platform port for an event loop and settings.
using MakePort =
    std::function<PlatformPort(asio::io_context&, const NodeSettings&)>;
/// @brief Reads the settings again; called on SIGHUP.
using ReadSettings = std::function<base::Result<NodeSettings>()>;

/// @brief Runs the node until a planned stop is complete and then exits the
/// process. Returns only with kSettingsInvalid, if an address cannot be bound.
base::Result<void> RunNode(const NodeSettings& settings,
                           const MakePort& make_port,
                           const ReadSettings& read_settings);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_RUN_NODE_HPP
