// Test helpers: an event loop in a thread, servers on loopback, and a blocking
// client.
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

/// @brief An event loop that runs in its own thread.
struct LoopThread {
  LoopThread() : guard(asio::make_work_guard(this->io)) {
    this->thread = std::thread([this] { this->io.run(); });
  }
  ~LoopThread() { this->Stop(); }
  /// @brief Stops the loop and joins the thread; objects that its handlers use
  /// may be destroyed afterwards.
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
  // co_spawn requires default-constructible results.
  const auto wrapped =
      [](asio::awaitable<T> inner) -> asio::awaitable<std::optional<T>> {
    co_return std::optional<T>(co_await std::move(inner));
  };
  return *asio::co_spawn(io, wrapped(std::move(work)), asio::use_future).get();
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

/// @brief A blocking TCP connection that sends and receives raw bytes.
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

  /// @brief Reads until the received bytes contain `text`, the connection ends
  /// or 5 s pass without data. Returns all bytes received by this call.
  std::string ReadUntil(std::string_view text) {
    std::string all;
    char buffer[4096];
    while (all.find(text) == std::string::npos) {
      const auto size =
          ::recv(this->socket.native_handle(), buffer, sizeof(buffer), 0);
      if (size <= 0) {
        break;
      }
      all.append(buffer, static_cast<std::size_t>(size));
    }
    return all;
  }

  /// @brief Reads until the connection ends.
  std::string ReadAll() { return this->ReadUntil("\x01 never sent"); }

  asio::io_context io;
  asio::ip::tcp::socket socket;
};

/// @brief Accepts one connection and replies to each received piece of data
/// with fixed bytes; if `close` is set, closes it after the first reply.
struct ScriptedServer {
  ScriptedServer(std::string reply, bool close)
      : acceptor(this->io, Loopback()) {
    this->port = this->acceptor.local_endpoint().port();
    this->thread = std::thread([this, reply, close] {
      std::error_code error;
      asio::ip::tcp::socket socket(this->io);
      this->acceptor.accept(socket, error);
      while (!error) {
        char buffer[4096];
        const std::size_t size = socket.read_some(asio::buffer(buffer), error);
        this->received.append(buffer, size);
        if (!error) {
          asio::write(socket, asio::buffer(reply), error);
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
