// The HTTP side of a daemon: callers, forwarding daemons, metrics, operators.
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

  /// Outlives the server, which reads it at each handshake.
  TlsCredentials tls;
  std::unique_ptr<httplib::Server> server;
  std::thread acceptor;
  /// Listening socket.
  int listener = -1;
};

/// @brief Binds the address of the settings and starts to serve.
/// @param admin hooks of the operators' endpoints; must outlive the server.
base::Result<void> StartHttpServer(HttpServer& server,
                                   RequestContext& context,
                                   const AdminHooks& admin);

/// @brief Refuses new connections and serves the accepted ones until each was
/// told by an answer to close or has been idle for the keep-alive time. Needs
/// RequestContext::draining.
void DrainConnections(HttpServer& server);

/// @brief Stops accepting, lets running requests finish and joins all threads.
/// Idle connections are closed at once.
void StopHttpServer(HttpServer& server);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_HTTP_SERVER_HPP
