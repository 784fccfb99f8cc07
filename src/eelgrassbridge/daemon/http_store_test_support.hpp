// A local HTTP server with handlers set by the test, and store clients for it.
#ifndef EELGRASSBRIDGE_DAEMON_HTTP_STORE_TEST_SUPPORT_HPP
#define EELGRASSBRIDGE_DAEMON_HTTP_STORE_TEST_SUPPORT_HPP

#include <httplib.h>

#include <thread>

#include "eelgrassbridge/store/store.hpp"

namespace eelgrassbridge::daemon {

/// Data used by the handlers must be declared before the fixture, so that it
/// outlives the server.
struct HttpStoreFixture {
  HttpStoreFixture() {
    this->port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
  }
  ~HttpStoreFixture() {
    this->server.stop();
    this->thread.join();
  }
  HttpStoreFixture(const HttpStoreFixture&) = delete;
  HttpStoreFixture& operator=(const HttpStoreFixture&) = delete;

  store::Store MakeStore() const {
    return store::MakeHttpStore(
        {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(this->port)});
  }

  httplib::Server server;
  int port = 0;
  std::thread thread;
};

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_HTTP_STORE_TEST_SUPPORT_HPP
