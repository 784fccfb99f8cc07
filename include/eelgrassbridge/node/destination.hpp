// Choice of the daemon and target that an attempt goes to.
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

/// @brief Where an attempt goes.
struct Destination {
  std::string daemon;
  std::string target;
};

/// @brief The owner of the request's key, or the best member of an undivided
/// service that was not tried yet; none if nobody may take the request.
std::optional<Destination> ChooseDestination(
    Node& node,
    const catalogue::Route& route,
    const RequestTerms& terms,
    std::span<const base::DaemonId> tried);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_DESTINATION_HPP
