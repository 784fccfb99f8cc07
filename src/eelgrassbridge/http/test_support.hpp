// A server on a loop of its own and a plain socket, for tests.
#ifndef EELGRASSBRIDGE_HTTP_TEST_SUPPORT_HPP
#define EELGRASSBRIDGE_HTTP_TEST_SUPPORT_HPP

#include <asio/co_spawn.hpp>
#include <asio/connect.hpp>
#include <asio/detached.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/use_future.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "eelgrassbridge/http/server.hpp"

namespace eelgrassbridge::http::test {

/// @brief An event loop in a thread.
struct LoopThread {
  LoopThread() : guard(asio::make_work_guard(this->io)) {
    this->thread = std::thread([this] { this->io.run(); });
  }
  ~LoopThread() { this->Stop(); }
  /// @brief Ends the loop; what it works on may be destroyed afterwards.
  void Stop() {
    this->io.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard;
  std::thread thread;
};

/// @brief Runs a coroutine on the loop and returns its result.
template <typename T>
T Await(asio::io_context& io, asio::awaitable<T> work) {
  // co_spawn needs results that can be made from nothing.
  const auto boxed =
      [](asio::awaitable<T> inner) -> asio::awaitable<std::optional<T>> {
    co_return std::optional<T>(co_await std::move(inner));
  };
  return *asio::co_spawn(io, boxed(std::move(work)), asio::use_future).get();
}

inline asio::ip::tcp::endpoint Loopback(std::uint16_t port = 0) {
  return {asio::ip::make_address("127.0.0.1"), port};
}

/// @brief A listening server on a free port.
struct TestServer {
  explicit TestServer(Handler handler) : server(this->loop.io) {
    this->server.handler = std::move(handler);
    Listen(this->server, Loopback());
    this->port = this->server.acceptor->local_endpoint().port();
    asio::co_spawn(this->loop.io, Serve(this->server), asio::detached);
  }
  ~TestServer() { this->loop.Stop(); }
  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  LoopThread loop;
  Server server;
  std::uint16_t port = 0;
};

/// @brief A blocking connection that sends and receives plain bytes.
struct RawClient {
  explicit RawClient(std::uint16_t port) : socket(this->io) {
    this->socket.connect(Loopback(port));
    timeval limit{5, 0};
    ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                 sizeof(limit));
  }

  void Send(std::string_view text) {
    asio::write(this->socket, asio::buffer(text));
  }

  /// @brief Reads until the text has been seen, or the end; all that came.
  std::string ReadUntil(std::string_view text) {
    std::string all;
    char piece[4096];
    while (all.find(text) == std::string::npos) {
      const auto size =
          ::recv(this->socket.native_handle(), piece, sizeof(piece), 0);
      if (size <= 0) {
        break;
      }
      all.append(piece, static_cast<std::size_t>(size));
    }
    return all;
  }

  /// @brief Reads to the end of the connection.
  std::string ReadAll() { return this->ReadUntil("\x01 never sent"); }

  asio::io_context io;
  asio::ip::tcp::socket socket;
};

/// @brief Answers each connection with fixed bytes, whatever it is sent, and
/// closes it if asked.
struct ScriptedServer {
  ScriptedServer(std::string answer, bool close)
      : acceptor(this->io, Loopback()) {
    this->port = this->acceptor.local_endpoint().port();
    this->thread = std::thread([this, answer, close] {
      std::error_code error;
      asio::ip::tcp::socket socket(this->io);
      this->acceptor.accept(socket, error);
      while (!error) {
        char piece[4096];
        const std::size_t size = socket.read_some(asio::buffer(piece), error);
        this->received.append(piece, size);
        if (!error) {
          asio::write(socket, asio::buffer(answer), error);
        }
        if (close) {
          break;
        }
      }
    });
  }
  ~ScriptedServer() { this->thread.join(); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  std::uint16_t port = 0;
  std::string received;
  std::thread thread;
};

}  // namespace eelgrassbridge::http::test

#endif  // EELGRASSBRIDGE_HTTP_TEST_SUPPORT_HPP
