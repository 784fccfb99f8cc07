// The HTTP server of a daemon, for callers, forwarding daemons, metrics and
// operators.
#ifndef EELGRASSBRIDGE_DAEMON_HTTP_SERVER_HPP
#define EELGRASSBRIDGE_DAEMON_HTTP_SERVER_HPP

#include <memory>
#include <thread>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/daemon/admin_handler.hpp"
#include "eelgrassbridge/daemon/request_context.hpp"
#include "eelgrassbridge/daemon/tls_credentials.hpp"

namespace httplib {
class Server;
}  // namespace httplib

namespace eelgrassbridge::daemon {

/// @brief A listening server with its accepting thread and worker pool.
struct HttpServer {
  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Declared before the server, which reads it at each handshake.
  TlsCredentials tls;
  std::unique_ptr<httplib::Server> server;
  std::thread acceptor;
  /// Listening socket.
  int listener = -1;
};

/// @brief Binds the configured address and starts serving. Fails with
/// kSettingsInvalid if the address cannot be bound.
/// @param admin hooks of the operators' endpoints; must outlive the server.
base::Result<void> StartHttpServer(HttpServer& server,
                                   RequestContext& context,
                                   const AdminHooks& admin);

/// @brief Stops accepting connections and returns once each accepted one is
/// closed, after a response with "Connection: close" or after the keep-alive
/// timeout. RequestContext::draining must be set before.
void DrainConnections(HttpServer& server);

/// @brief Stops accepting connections, closes idle ones at once, waits for
/// running requests and joins all threads.
void StopHttpServer(HttpServer& server);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_HTTP_SERVER_HPP
