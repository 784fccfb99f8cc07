// Main function of a daemon process: start, serving and planned stop.
#ifndef EELGRASSBRIDGE_DAEMON_RUN_DAEMON_HPP
#define EELGRASSBRIDGE_DAEMON_RUN_DAEMON_HPP

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// @brief Serves until SIGTERM or SIGINT, then drains and returns.
/// @param initial_catalogue written if the store holds no catalogue yet.
base::Result<void> RunDaemon(const settings::Settings& settings,
                             const catalogue::Catalogue& initial_catalogue);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_RUN_DAEMON_HPP
