// The operators' endpoints on the HTTP library's server.
#ifndef EELGRASSBRIDGE_DAEMON_ADMIN_HTTP_HPP
#define EELGRASSBRIDGE_DAEMON_ADMIN_HTTP_HPP

#include <vector>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/daemon/admin_handler.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace httplib {
class Server;
}  // namespace httplib

namespace eelgrassbridge::daemon {

/// @brief Serves /admin/. All arguments must outlive the server. Bodies are
/// bounded, and are read only for a valid token.
void AddAdminHandlers(httplib::Server& server,
                      const std::vector<settings::OperatorToken>& operators,
                      const AdminHooks& hooks,
                      base::CounterRegistry& counters);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ADMIN_HTTP_HPP
