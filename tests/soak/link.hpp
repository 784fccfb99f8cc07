// Loopback TCP proxy between two programs that simulates network faults.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_LINK_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_LINK_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/http/event.hpp"

namespace eelgrassbridge::soak {

enum class LinkFault : std::uint8_t {
  kNone,
  /// Each chunk of bytes is delayed.
  kDelay,
  /// No data passes to the server.
  kCutToServer,
  /// No data passes to the client.
  kCutToClient,
  /// No data passes in either direction; connections are still accepted.
  kCutBoth,
};

struct Session {
  explicit Session(asio::ip::tcp::socket accepted)
      : downstream(std::move(accepted)), upstream(downstream.get_executor()) {}
  /// To the client.
  asio::ip::tcp::socket downstream;
  /// To the server.
  asio::ip::tcp::socket upstream;
};

struct Link {
  explicit Link(asio::io_context& event_loop)
      : io(event_loop), changed(event_loop) {}

  asio::io_context& io;
  asio::ip::tcp::endpoint server;
  std::string address;
  LinkFault fault = LinkFault::kNone;
  std::chrono::milliseconds delay{0};
  /// End of the last fault; far in the future while one lasts.
  base::TimePoint undisturbed_since{};
  http::Event changed;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
  std::list<std::weak_ptr<Session>> sessions;
};

/// @brief Listens on a free loopback port, relays to the server and sets
/// `address`.
void Start(Link& link, const asio::ip::tcp::endpoint& server);

void SetFault(Link& link,
              LinkFault fault,
              std::chrono::milliseconds delay = {});

/// @brief Resets all open connections.
void ResetAll(Link& link);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_LINK_HPP
