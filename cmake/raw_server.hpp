// A server for tests that sends fixed bytes as its answer to each request, also
// such that no HTTP library would send.
#ifndef EELGRASSBRIDGE_CMAKE_RAW_SERVER_HPP
#define EELGRASSBRIDGE_CMAKE_RAW_SERVER_HPP

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <string>
#include <system_error>
#include <thread>
#include <utility>

namespace eelgrassbridge::test {

enum class RawEnd { kOrderly, kReset };

/// @brief Handles one connection after the other: reads a request head, sends
/// the answer and ends the connection.
struct RawServer {
  explicit RawServer(std::string answer, RawEnd raw_end = RawEnd::kOrderly)
      : bytes(std::move(answer)),
        end(raw_end),
        acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}),
        port(this->acceptor.local_endpoint().port()),
        thread([this] { this->Run(); }) {}
  ~RawServer() {
    this->stopped = true;
    // Ends the wait for a connection.
    asio::ip::tcp::socket last(this->io);
    std::error_code ignored;
    last.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  void Run() {
    while (!this->stopped) {
      std::error_code error;
      asio::ip::tcp::socket socket(this->io);
      this->acceptor.accept(socket, error);
      if (!error && !this->stopped) {
        this->Answer(socket);
      }
    }
  }

  void Answer(asio::ip::tcp::socket& socket) {
    // Bounds the wait for a client that keeps its connection.
    const timeval limit{0, 300'000};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                 sizeof(limit));
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      if (!Receive(socket, request)) {
        return;
      }
    }
    this->requests +=
        request.find(" " + this->counted_path) < request.find('\r') ? 1 : 0;
    std::error_code error;
    asio::write(socket, asio::buffer(this->bytes), error);
    if (this->end == RawEnd::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
      return;
    }
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    // A close with unread input would reset the connection.
    while (Receive(socket, request)) {
    }
  }

  static bool Receive(asio::ip::tcp::socket& socket, std::string& received) {
    char buffer[4096];
    const auto size = ::recv(socket.native_handle(), buffer, sizeof(buffer), 0);
    if (size > 0) {
      received.append(buffer, static_cast<std::size_t>(size));
    }
    return size > 0;
  }

  std::string bytes;
  RawEnd end;
  std::atomic<bool> stopped = false;
  /// Requests whose path starts with `counted_path`.
  std::atomic<int> requests = 0;
  const std::string counted_path = "/s/";
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  std::uint16_t port;
  std::thread thread;
};

}  // namespace eelgrassbridge::test

#endif  // EELGRASSBRIDGE_CMAKE_RAW_SERVER_HPP
