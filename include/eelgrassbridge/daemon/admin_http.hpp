// Registers the admin endpoints with the HTTP library's server.
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

/// @brief Registers the handlers of /admin/. All arguments must outlive the
/// server. The body size is limited, and a body is read only if the token is
/// valid.
void AddAdminHandlers(httplib::Server& server,
                      const std::vector<settings::OperatorToken>& operators,
                      const AdminHooks& hooks,
                      base::CounterRegistry& counters);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ADMIN_HTTP_HPP
