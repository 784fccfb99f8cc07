// Choice of the daemon and target for an attempt.
#ifndef EELGRASSBRIDGE_NODE_DESTINATION_HPP
#define EELGRASSBRIDGE_NODE_DESTINATION_HPP

#include <optional>
#include <span>
#include <string>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Daemon and target of an attempt.
struct Destination {
  std::string daemon;
  std::string target;
};

/// @brief Returns the owner of the request's key or, for a service that is not
/// divided by key, the best member that has not been tried. None if no daemon
/// may serve the request.
std::optional<Destination> ChooseDestination(
    Node& node,
    const catalogue::Route& route,
    const RequestTerms& terms,
    std::span<const base::DaemonId> tried);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_DESTINATION_HPP
