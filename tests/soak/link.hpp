// Loopback proxy between two programs, which spoils what passes.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_LINK_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_LINK_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "eelgrassbridge/http/event.hpp"

namespace eelgrassbridge::soak {

enum class LinkFault : std::uint8_t {
  kNone,
  /// Each piece of bytes arrives later.
  kDelay,
  /// Nothing passes towards the server.
  kCutToServer,
  /// Nothing passes back.
  kCutToClient,
  /// Nothing passes either way; new connections are accepted.
  kCutBoth,
};

struct Session {
  explicit Session(asio::ip::tcp::socket accepted)
      : near(std::move(accepted)), far(near.get_executor()) {}
  asio::ip::tcp::socket near;
  asio::ip::tcp::socket far;
};

struct Link {
  explicit Link(asio::io_context& event_loop)
      : io(event_loop), changed(event_loop) {}

  asio::io_context& io;
  asio::ip::tcp::endpoint server;
  std::string address;
  LinkFault fault = LinkFault::kNone;
  std::chrono::milliseconds delay{0};
  http::Event changed;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
  std::list<std::weak_ptr<Session>> sessions;
};

/// @brief Listens on a free loopback port and relays to the server.
void Start(Link& link, const asio::ip::tcp::endpoint& server);

void SetFault(Link& link,
              LinkFault fault,
              std::chrono::milliseconds delay = {});

/// @brief Resets all open connections.
void ResetAll(Link& link);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_LINK_HPP
