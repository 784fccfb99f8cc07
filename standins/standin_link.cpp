// Stand-in of a network link: relays TCP connections with a delay and a rate
// limit, and can be cut while it runs.
#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <deque>
#include <fstream>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "serve.hpp"

namespace eelgrassbridge::standins {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kChunkBytes = 64UL * 1024;
constexpr std::size_t kMaxQueuedChunks = 64;
constexpr auto kPollPause = std::chrono::milliseconds{5};

enum class Cut : std::uint8_t {
  kNone,
  kHold,   ///< Nothing passes, connections stay: a partition.
  kClose,  ///< Connections are closed and new ones refused after accepting.
};

/// @brief Used by the thread of the io_context only.
struct Link {
  std::chrono::milliseconds delay{0};
  /// For both directions together; 0: no limit.
  std::uint64_t bytes_per_second = 0;
  Cut cut = Cut::kNone;
  Clock::time_point line_free_at;
  std::list<std::weak_ptr<struct Session>> sessions;
  std::atomic<std::uint64_t> bytes = 0;
  /// Start of the names of the files that take the bytes of each direction of
  /// each session; empty: nothing is recorded.
  std::string record;
  std::uint64_t recorded = 0;
};

struct Session {
  explicit Session(tcp::socket accepted)
      : near(std::move(accepted)), far(near.get_executor()) {}

  tcp::socket near;
  tcp::socket far;
};

/// @brief Bytes on their way, and when they arrive.
struct Chunk {
  Clock::time_point due;
  std::vector<char> data;
};

/// @brief One direction of a session. Reading goes on while earlier chunks
/// wait for their time, so a delay does not lower the rate.
struct Direction {
  Direction(std::shared_ptr<Session> owner,
            tcp::socket& source,
            tcp::socket& sink)
      : session(std::move(owner)),
        from(source),
        to(sink),
        send_timer(source.get_executor()),
        receive_timer(source.get_executor()) {}

  std::shared_ptr<Session> session;
  tcp::socket& from;
  tcp::socket& to;
  asio::steady_timer send_timer;
  asio::steady_timer receive_timer;
  std::vector<char> buffer = std::vector<char>(kChunkBytes);
  std::deque<Chunk> queue;
  bool is_sending = false;
  bool ended = false;
  std::ofstream record;
};

using Way = std::shared_ptr<Direction>;

Clock::time_point Arrival(Link& link, std::size_t size) {
  link.line_free_at = std::max(link.line_free_at, Clock::now());
  if (link.bytes_per_second > 0) {
    link.line_free_at += std::chrono::microseconds(size * std::micro::den /
                                                   link.bytes_per_second);
  }
  return link.line_free_at + link.delay;
}

void SendNext(Link& link, const Way& way);

void WaitToSend(Link& link, const Way& way, Clock::time_point until) {
  way->send_timer.expires_at(until);
  way->send_timer.async_wait(
      [&link, way](asio::error_code) { SendNext(link, way); });
}

void SendNext(Link& link, const Way& way) {
  way->is_sending = !way->queue.empty();
  if (!way->is_sending) {
    if (way->ended) {
      asio::error_code ignored;
      way->to.shutdown(tcp::socket::shutdown_send, ignored);
    }
    return;
  }
  const auto now = Clock::now();
  if (link.cut == Cut::kHold) {
    WaitToSend(link, way, now + kPollPause);
    return;
  }
  if (way->queue.front().due > now) {
    WaitToSend(link, way, way->queue.front().due);
    return;
  }
  asio::async_write(way->to, asio::buffer(way->queue.front().data),
                    [&link, way](asio::error_code error, std::size_t) {
                      way->queue.pop_front();
                      if (!error) {
                        SendNext(link, way);
                      }
                    });
}

void StartSending(Link& link, const Way& way) {
  if (!way->is_sending) {
    SendNext(link, way);
  }
}

void Receive(Link& link, const Way& way) {
  if (way->queue.size() >= kMaxQueuedChunks) {
    way->receive_timer.expires_after(kPollPause);
    way->receive_timer.async_wait(
        [&link, way](asio::error_code) { Receive(link, way); });
    return;
  }
  way->from.async_read_some(
      asio::buffer(way->buffer),
      [&link, way](asio::error_code error, std::size_t size) {
        if (error) {
          way->ended = true;
        } else {
          link.bytes += size;
          way->record.write(way->buffer.data(),
                            static_cast<std::streamsize>(size));
          way->record.flush();
          way->queue.push_back(
              {Arrival(link, size),
               {way->buffer.begin(),
                way->buffer.begin() + static_cast<std::ptrdiff_t>(size)}});
        }
        StartSending(link, way);
        if (!error) {
          Receive(link, way);
        }
      });
}

void Relay(Link& link, const std::shared_ptr<Session>& session) {
  asio::error_code ignored;
  session->near.set_option(tcp::no_delay(true), ignored);
  session->far.set_option(tcp::no_delay(true), ignored);
  const auto forth =
      std::make_shared<Direction>(session, session->near, session->far);
  const auto back =
      std::make_shared<Direction>(session, session->far, session->near);
  if (!link.record.empty()) {
    const std::string name =
        link.record + "-" + std::to_string(++link.recorded);
    forth->record.open(name + ".forth", std::ios::binary);
    back->record.open(name + ".back", std::ios::binary);
  }
  Receive(link, forth);
  Receive(link, back);
}

void Accept(Link& link, tcp::acceptor& acceptor, const tcp::endpoint& remote) {
  acceptor.async_accept(
      [&link, &acceptor, remote](asio::error_code error, tcp::socket accepted) {
        if (!error && link.cut != Cut::kClose) {
          auto session = std::make_shared<Session>(std::move(accepted));
          std::erase_if(link.sessions,
                        [](const auto& old) { return old.expired(); });
          link.sessions.push_back(session);
          session->far.async_connect(remote,
                                     [&link, session](asio::error_code failed) {
                                       if (!failed) {
                                         Relay(link, session);
                                       }
                                     });
        }
        Accept(link, acceptor, remote);
      });
}

void Change(Link& link, const nlohmann::json& wanted) {
  const std::string cut = wanted.value("cut", "none");
  link.cut = cut == "hold"    ? Cut::kHold
             : cut == "close" ? Cut::kClose
                              : Cut::kNone;
  link.delay = std::chrono::milliseconds(
      wanted.value("delay_ms", std::int64_t{link.delay.count()}));
  link.bytes_per_second =
      wanted.value("bytes_per_second", link.bytes_per_second);
  if (link.cut == Cut::kClose) {
    for (const auto& weak : link.sessions) {
      if (const auto session = weak.lock()) {
        asio::error_code ignored;
        session->near.close(ignored);
        session->far.close(ignored);
      }
    }
  }
}

int Run(int count, const char* const* arguments) {
  cxxopts::Options options("standin_link", "A TCP relay that can be cut.");
  const auto number = [](const char* value) {
    return cxxopts::value<std::int64_t>()->default_value(value);
  };
  options.add_options()("port", "Port", cxxopts::value<std::uint16_t>())(
      "to-port", "Port on 127.0.0.1 that is relayed to",
      cxxopts::value<std::uint16_t>())("admin-port", "Port of POST /admin/link",
                                       cxxopts::value<int>())(
      "delay-ms", "Delay in each direction", number("0"))(
      "bytes-per-second", "Rate limit", number("0"))(
      "record", "Start of the names of files with what passes",
      cxxopts::value<std::string>()->default_value(""));
  const auto parsed = options.parse(count, arguments);
  static Link link;
  link.delay = std::chrono::milliseconds(parsed["delay-ms"].as<std::int64_t>());
  link.bytes_per_second =
      static_cast<std::uint64_t>(parsed["bytes-per-second"].as<std::int64_t>());
  link.record = parsed["record"].as<std::string>();
  static asio::io_context context(1);
  const auto address = asio::ip::make_address("127.0.0.1");
  static tcp::acceptor acceptor(
      context, tcp::endpoint(address, parsed["port"].as<std::uint16_t>()));
  const tcp::endpoint remote(address, parsed["to-port"].as<std::uint16_t>());
  Accept(link, acceptor, remote);
  std::thread relay([] { context.run(); });
  relay.detach();
  StandinServer server;
  server.Post("/admin/link", [](const auto& request, auto& response) {
    const auto wanted = nlohmann::json::parse(request.body, nullptr, false);
    if (!wanted.is_object()) {
      response.status = 400;
      return;
    }
    asio::post(context, [wanted] { Change(link, wanted); });
  });
  server.Get("/admin/counts", [](const auto&, auto& response) {
    response.set_content(nlohmann::json{{"bytes", link.bytes.load()}}.dump(),
                         "application/json");
  });
  return Serve(server, {.port = parsed["admin-port"].as<int>(), .workers = 8});
}

}  // namespace
}  // namespace eelgrassbridge::standins

int main(int count, char** arguments) {
  return eelgrassbridge::standins::Run(count, arguments);
}
