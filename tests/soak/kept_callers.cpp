// Load on kept connections: pauses around the idle timeout, and heads in two
// pieces around the head timeout.
#include "kept_callers.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "eelgrassbridge/http/endpoint.hpp"
#include "requests.hpp"

namespace eelgrassbridge::soak {

namespace {

using asio::awaitable;
using base::Duration;
using base::TimePoint;

constexpr Duration kReconnectPause = base::milliseconds{50};
constexpr Duration kLongestShortPause = base::milliseconds{40};
/// Arrivals are swept over this time before and after a timeout. The wider one
/// covers a daemon whose event loop is busy.
constexpr Duration kNarrowSweep = base::microseconds{600};
constexpr Duration kWideSweep = base::milliseconds{8};

std::uint64_t Draw(Callers& callers, std::uint64_t below) {
  return callers.random() % below;
}

/// A time around the timeout.
Duration DrawAround(Callers& callers, Duration timeout) {
  const Duration sweep = Draw(callers, 2) == 0 ? kNarrowSweep : kWideSweep;
  const auto width = static_cast<std::uint64_t>(2 * sweep.count());
  const Duration offset{static_cast<std::int64_t>(Draw(callers, width))};
  return std::max(Duration{0}, timeout - sweep + offset);
}

/// A connection may still have the limits of the version before.
ConnectionLimits DrawLimits(Callers& callers) {
  const Fleet& fleet = callers.checker.fleet;
  return Draw(callers, 4) == 0 ? fleet.previous_limits : fleet.limits;
}

Duration DrawPause(Callers& callers) {
  if (Draw(callers, 4) == 0) {
    return Duration{static_cast<std::int64_t>(
        Draw(callers, static_cast<std::uint64_t>(kLongestShortPause.count())))};
  }
  return DrawAround(callers, DrawLimits(callers).idle_timeout);
}

/// Sends the message, sometimes with its head in two pieces.
awaitable<bool> SendMessage(Callers& callers,
                            http::ClientConnection& connection,
                            const OpenRequest& request) {
  const http::BufferedRequest& message = request.message;
  const std::string head = http::FormatRequestHead(
      message.method, message.target, message.headers,
      {http::Framing::Kind::kLength, message.body.size()});
  std::string_view rest = head;
  if (Draw(callers, 4) == 0) {
    const std::size_t split = 1 + Draw(callers, head.size() - 1);
    const Duration pause =
        DrawAround(callers, DrawLimits(callers).head_timeout);
    ++callers.checker.kept.split_heads;
    const bool sent = co_await http::Send(connection, rest.substr(0, split));
    if (!sent) {
      co_return false;
    }
    co_await http::Sleep(callers.checker.fleet.io, pause);
    rest.remove_prefix(split);
  }
  MarkSent(callers.checker, request);
  co_return co_await http::Send(connection, rest, message.body);
}

struct Received {
  Answer answer;
  KeptEnd end = KeptEnd::kClosed;
  bool reusable = false;
};

awaitable<Received> ReadAnswer(http::ClientConnection& connection) {
  Received received;
  auto head = co_await http::ReadResponseHead(connection, false);
  if (!head) {
    co_return received;
  }
  received.end = KeptEnd::kAnswerCut;
  http::ResponseRead read = http::ResponseRead::kMore;
  while (read == http::ResponseRead::kMore) {
    read = co_await http::ReadResponseBody(connection);
    received.answer.body += connection.parser.body;
    connection.parser.body.clear();
  }
  if (read == http::ResponseRead::kTruncated) {
    co_return received;
  }
  received.end = KeptEnd::kAnswered;
  received.answer.status = head.value().status;
  received.answer.headers = std::move(head.value().headers);
  received.reusable = head.value().keep_alive && connection.input.empty();
  co_return received;
}

/// Sends a request and reads its answer. Returns whether the connection can be
/// used for another one.
awaitable<bool> AskOn(Callers& callers,
                      const Vm& vm,
                      const http::ClientConnectionPtr& connection) {
  Checker& checker = callers.checker;
  const Kind& kind = kKinds[Draw(callers, kKinds.size())];
  const OpenRequest request = BeginRequest(callers, vm, kind);
  bool gave_up = false;
  http::Alarm alarm(checker.fleet.io);
  http::Arm(alarm, 2 * kResponseTimeout, [connection, &gave_up] {
    gave_up = true;
    http::Close(*connection);
  });
  const bool sent = co_await SendMessage(callers, *connection, request);
  Received received;
  if (sent) {
    received = co_await ReadAnswer(*connection);
  }
  http::Disarm(alarm);
  EndRequest(checker, vm, request, received.answer);
  EndKept(checker, vm, request.generation, request.id,
          gave_up ? KeptEnd::kGaveUp : received.end);
  co_return received.reusable;
}

awaitable<void> RunKeptCaller(Callers& callers, const Vm& vm) {
  asio::io_context& io = callers.checker.fleet.io;
  // Only the daemon and the timeout of the request end a connection.
  http::PoolOptions options;
  options.unacknowledged_timeout = base::milliseconds{0};
  http::ConnectionPool pool(io, options);
  const auto endpoint = http::ParseEndpoint(vm.callers_address);
  while (callers.running) {
    auto acquired = co_await http::Acquire(pool, *endpoint);
    if (!acquired) {
      co_await http::Sleep(io, kReconnectPause);
      continue;
    }
    const http::ClientConnectionPtr connection = acquired.value()->connection;
    ++callers.checker.kept.connections;
    bool usable = true;
    while (usable && callers.running) {
      co_await http::Sleep(io, DrawPause(callers));
      usable = co_await AskOn(callers, vm, connection);
    }
    http::Close(*connection);
  }
}

}  // namespace

void StartKept(Callers& callers) {
  Fleet& fleet = callers.checker.fleet;
  for (const auto& vm : fleet.vms) {
    for (int i = 0; i < callers.options.kept_callers_per_vm; ++i) {
      asio::co_spawn(fleet.io, RunKeptCaller(callers, *vm), asio::detached);
    }
  }
}

}  // namespace eelgrassbridge::soak
