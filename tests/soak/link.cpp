// Relay of the proxy, with one coroutine per direction of a connection.
#include "link.hpp"

#include <array>
#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

namespace eelgrassbridge::soak {

namespace {

using asio::awaitable;
using asio::ip::tcp;
using SessionPointer = std::shared_ptr<Session>;

constexpr std::size_t kChunkBytes = std::size_t{32} * 1024;

void Reset(tcp::socket& socket) {
  std::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void ResetBoth(Session& session) {
  Reset(session.downstream);
  Reset(session.upstream);
}

bool IsCut(const Link& link, bool to_server) {
  return link.fault == LinkFault::kCutBoth ||
         link.fault ==
             (to_server ? LinkFault::kCutToServer : LinkFault::kCutToClient);
}

awaitable<void> Relay(Link& link, SessionPointer session, bool to_server) {
  tcp::socket& from = to_server ? session->downstream : session->upstream;
  tcp::socket& to = to_server ? session->upstream : session->downstream;
  std::array<char, kChunkBytes> chunk{};
  std::error_code error;
  while (!error) {
    const std::size_t size = co_await from.async_read_some(
        asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
    if (link.fault == LinkFault::kDelay) {
      co_await http::Sleep(link.io, link.delay);
    }
    while (IsCut(link, to_server)) {
      co_await http::Wait(link.changed);
    }
    if (size > 0) {
      std::error_code failed;
      co_await asio::async_write(
          to, asio::buffer(chunk.data(), size),
          asio::redirect_error(asio::use_awaitable, failed));
      error = error ? error : failed;
    }
  }
  if (error == asio::error::eof) {
    std::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
  } else {
    ResetBoth(*session);
  }
}

awaitable<void> Connect(Link& link, SessionPointer session) {
  std::error_code error;
  co_await session->upstream.async_connect(
      link.server, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    ResetBoth(*session);
    co_return;
  }
  std::error_code ignored;
  session->downstream.set_option(tcp::no_delay(true), ignored);
  session->upstream.set_option(tcp::no_delay(true), ignored);
  for (const bool to_server : {true, false}) {
    asio::co_spawn(link.io, Relay(link, session, to_server), asio::detached);
  }
}

awaitable<void> Accept(Link& link) {
  while (true) {
    std::error_code error;
    tcp::socket socket = co_await link.acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      continue;
    }
    auto session = std::make_shared<Session>(std::move(socket));
    link.sessions.remove_if([](const auto& old) { return old.expired(); });
    link.sessions.push_back(session);
    asio::co_spawn(link.io, Connect(link, session), asio::detached);
  }
}

}  // namespace

void Start(Link& link, const tcp::endpoint& server) {
  link.server = server;
  link.acceptor = std::make_unique<tcp::acceptor>(
      link.io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0});
  link.address =
      "127.0.0.1:" + std::to_string(link.acceptor->local_endpoint().port());
  asio::co_spawn(link.io, Accept(link), asio::detached);
}

void SetFault(Link& link, LinkFault fault, std::chrono::milliseconds delay) {
  link.fault = fault;
  link.delay = delay;
  link.undisturbed_since = fault == LinkFault::kNone
                               ? base::BootClock::now()
                               : base::TimePoint::max() - base::seconds{60};
  http::Notify(link.changed);
}

void ResetAll(Link& link) {
  for (const auto& weak : link.sessions) {
    if (const SessionPointer session = weak.lock()) {
      ResetBoth(*session);
    }
  }
}

}  // namespace eelgrassbridge::soak
