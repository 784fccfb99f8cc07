// Ports and servers for tests that use real sockets.
#ifndef EELGRASSBRIDGE_DAEMON_HTTP_TEST_SUPPORT_HPP
#define EELGRASSBRIDGE_DAEMON_HTTP_TEST_SUPPORT_HPP

#include <httplib.h>

#include <cstdint>
#include <thread>

#include "test_ports.hpp"

namespace eelgrassbridge::daemon {

/// @brief Returns a port for a daemon of the test, below the ephemeral range
/// and in a range that no other process has, since test programs with fixed
/// ports failed when two of them ran at the same time.
inline std::uint16_t TestPort(std::uint16_t offset) {
  return static_cast<std::uint16_t>(test::ProcessPorts().first + offset);
}

/// @brief Starts a server on any free port and returns the port once the server
/// is running. The library ignores an earlier stop(), so the thread would never
/// end.
inline int StartTestServer(httplib::Server& server, std::thread& thread) {
  const int port = server.bind_to_any_port("127.0.0.1");
  thread = std::thread([&server] { server.listen_after_bind(); });
  while (!server.is_running()) {
    std::this_thread::yield();
  }
  return port;
}

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_HTTP_TEST_SUPPORT_HPP
