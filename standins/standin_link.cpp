// Stand-in for a network link: a TCP relay with a delay and a rate limit, which
// can be cut at run time.
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
  kHold,   ///< No data passes and connections stay open, as in a partition.
  kClose,  ///< Connections are closed; new ones are accepted and closed.
};

/// @brief Only the io_context's thread uses it, apart from `bytes`.
struct Link {
  std::chrono::milliseconds delay{0};
  /// Rate limit of both directions of all sessions together; 0: no limit.
  std::uint64_t bytes_per_second = 0;
  Cut cut = Cut::kNone;
  /// When the data read so far has been transmitted at the rate limit.
  Clock::time_point transmitter_free_at;
  std::list<std::weak_ptr<struct Session>> sessions;
  std::atomic<std::uint64_t> bytes = 0;
  /// Prefix of the names of the files to which the bytes of each direction of
  /// each session are written; empty: nothing is recorded.
  std::string record;
  std::uint64_t recorded = 0;
};

struct Session {
  explicit Session(tcp::socket accepted)
      : downstream(std::move(accepted)), upstream(downstream.get_executor()) {}

  tcp::socket downstream;
  tcp::socket upstream;
};

/// @brief Bytes in transit.
struct Chunk {
  /// When they arrive.
  Clock::time_point due;
  std::vector<char> data;
};

/// @brief One direction of a session. Reading continues while earlier chunks
/// are in transit, so a delay does not lower the throughput.
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

using DirectionPointer = std::shared_ptr<Direction>;

// Time at which a chunk of this size, read now, arrives.
Clock::time_point ArrivalTime(Link& link, std::size_t size) {
  link.transmitter_free_at = std::max(link.transmitter_free_at, Clock::now());
  if (link.bytes_per_second > 0) {
    link.transmitter_free_at += std::chrono::microseconds(
        size * std::micro::den / link.bytes_per_second);
  }
  return link.transmitter_free_at + link.delay;
}

void SendNext(Link& link, const DirectionPointer& direction);

void WaitToSend(Link& link,
                const DirectionPointer& direction,
                Clock::time_point until) {
  direction->send_timer.expires_at(until);
  direction->send_timer.async_wait(
      [&link, direction](asio::error_code) { SendNext(link, direction); });
}

void SendNext(Link& link, const DirectionPointer& direction) {
  direction->is_sending = !direction->queue.empty();
  if (!direction->is_sending) {
    if (direction->ended) {
      asio::error_code ignored;
      direction->to.shutdown(tcp::socket::shutdown_send, ignored);
    }
    return;
  }
  const auto now = Clock::now();
  if (link.cut == Cut::kHold) {
    WaitToSend(link, direction, now + kPollPause);
    return;
  }
  if (direction->queue.front().due > now) {
    WaitToSend(link, direction, direction->queue.front().due);
    return;
  }
  asio::async_write(direction->to, asio::buffer(direction->queue.front().data),
                    [&link, direction](asio::error_code error, std::size_t) {
                      direction->queue.pop_front();
                      if (!error) {
                        SendNext(link, direction);
                      }
                    });
}

void StartSending(Link& link, const DirectionPointer& direction) {
  if (!direction->is_sending) {
    SendNext(link, direction);
  }
}

void Receive(Link& link, const DirectionPointer& direction) {
  if (direction->queue.size() >= kMaxQueuedChunks) {
    direction->receive_timer.expires_after(kPollPause);
    direction->receive_timer.async_wait(
        [&link, direction](asio::error_code) { Receive(link, direction); });
    return;
  }
  direction->from.async_read_some(
      asio::buffer(direction->buffer),
      [&link, direction](asio::error_code error, std::size_t size) {
        if (error) {
          direction->ended = true;
        } else {
          link.bytes += size;
          direction->record.write(direction->buffer.data(),
                                  static_cast<std::streamsize>(size));
          direction->record.flush();
          direction->queue.push_back({ArrivalTime(link, size),
                                      {direction->buffer.begin(),
                                       direction->buffer.begin() +
                                           static_cast<std::ptrdiff_t>(size)}});
        }
        StartSending(link, direction);
        if (!error) {
          Receive(link, direction);
        }
      });
}

void Relay(Link& link, const std::shared_ptr<Session>& session) {
  asio::error_code ignored;
  session->downstream.set_option(tcp::no_delay(true), ignored);
  session->upstream.set_option(tcp::no_delay(true), ignored);
  const auto to_upstream = std::make_shared<Direction>(
      session, session->downstream, session->upstream);
  const auto to_downstream = std::make_shared<Direction>(
      session, session->upstream, session->downstream);
  if (!link.record.empty()) {
    const std::string name =
        link.record + "-" + std::to_string(++link.recorded);
    to_upstream->record.open(name + ".forth", std::ios::binary);
    to_downstream->record.open(name + ".back", std::ios::binary);
  }
  Receive(link, to_upstream);
  Receive(link, to_downstream);
}

void Accept(Link& link, tcp::acceptor& acceptor, const tcp::endpoint& remote) {
  acceptor.async_accept(
      [&link, &acceptor, remote](asio::error_code error, tcp::socket accepted) {
        if (!error && link.cut != Cut::kClose) {
          auto session = std::make_shared<Session>(std::move(accepted));
          std::erase_if(link.sessions,
                        [](const auto& old) { return old.expired(); });
          link.sessions.push_back(session);
          session->upstream.async_connect(
              remote, [&link, session](asio::error_code failed) {
                if (!failed) {
                  Relay(link, session);
                }
              });
        }
        Accept(link, acceptor, remote);
      });
}

void Configure(Link& link, const nlohmann::json& wanted) {
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
        session->downstream.close(ignored);
        session->upstream.close(ignored);
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
      "record", "Prefix of the files that record the relayed bytes",
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
    asio::post(context, [wanted] { Configure(link, wanted); });
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
