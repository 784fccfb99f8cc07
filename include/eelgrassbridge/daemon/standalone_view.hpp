// The routing view of a single daemon that uses the in-memory store.
#ifndef EELGRASSBRIDGE_DAEMON_STANDALONE_VIEW_HPP
#define EELGRASSBRIDGE_DAEMON_STANDALONE_VIEW_HPP

#include <memory>

#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/daemon/routing_view.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// @brief Returns a view in which this daemon owns every group of its service.
/// Only for `store: memory`, where there are no other owners.
std::shared_ptr<const RoutingView> MakeStandaloneView(
    const settings::Settings& settings,
    const catalogue::Catalogue& catalogue);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_STANDALONE_VIEW_HPP
