// Heartbeats, holds and runs of the stand-in target.
#include "target_standin.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

#include "eelgrassbridge/http/endpoint.hpp"

namespace eelgrassbridge::standins {

namespace {

using asio::awaitable;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kServiceUnavailable = 503;
constexpr int kInternalError = 500;
constexpr std::size_t kEndlessPartBytes = 1000;
constexpr std::string_view kEndlessLength =
    "Content-Length: 1000000000000\r\n\r\n";

http::Headers AnswerHeaders(const TargetStandin& target,
                            const http::Exchange& exchange) {
  http::Headers headers;
  headers.push_back({"Request-Id", std::string(http::HeaderValue(
                                       exchange.head.headers, "Request-Id"))});
  headers.push_back({"Instance-Id", target.id});
  return headers;
}

awaitable<void> RefuseRun(TargetStandin& target,
                          http::Exchange& exchange,
                          int status) {
  http::Headers headers = AnswerHeaders(target, exchange);
  headers.push_back({"Not-Executed", "1"});
  co_await http::Respond(exchange, status, std::move(headers), {});
}

/// Writes bytes as they are, without framing.
awaitable<bool> WriteRaw(http::Exchange& exchange, std::string_view bytes) {
  std::error_code error;
  co_await asio::async_write(exchange.connection->socket, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

/// Writes `start`, then `part` again and again until the connection ends.
awaitable<void> WriteEndlessly(TargetStandin& target,
                               http::Exchange& exchange,
                               std::string start,
                               std::string part) {
  bool open = co_await WriteRaw(exchange, start);
  while (open) {
    target.endless_bytes += part.size();
    open = co_await WriteRaw(exchange, part);
  }
  http::Abort(exchange);
}

/// Refuses the request if it comes for the first time, and otherwise repeats a
/// refusal that was sent on its connection. Returns whether it is refused.
awaitable<bool> RepeatRefusal(TargetStandin& target, http::Exchange& exchange) {
  const std::string id(http::HeaderValue(exchange.head.headers, "Request-Id"));
  if (!target.refused.insert(id).second) {
    const auto found = target.refusals.find(exchange.connection);
    if (found != target.refusals.end()) {
      co_await WriteRaw(exchange, found->second);
    }
    co_return false;
  }
  http::Headers headers = AnswerHeaders(target, exchange);
  headers.push_back({"Not-Executed", "1"});
  target.refusals[exchange.connection] = http::FormatResponseHead(
      kServiceUnavailable, headers, {http::Framing::Kind::kLength, 0}, true);
  co_await http::Respond(exchange, kServiceUnavailable, std::move(headers), {});
  co_return true;
}

bool IsMisdirected(const TargetStandin& target, const http::RequestHead& head) {
  const std::string_view expected =
      http::HeaderValue(head.headers, "Expected-Instance");
  const auto key =
      http::ParseNumber(http::HeaderValue(head.headers, "Shard-Key"));
  return expected != target.id ||
         (target.divided &&
          (!key || !Holds(target, static_cast<std::uint32_t>(*key))));
}

awaitable<void> AnswerRun(TargetStandin& target, http::Exchange& exchange) {
  http::Headers headers = AnswerHeaders(target, exchange);
  headers.push_back(
      {"Server-Signature", target.id + "/" +
                               std::string(http::HeaderValue(
                                   exchange.head.headers, "Request-Id"))});
  const std::string body = "done by " + target.id;
  switch (target.fault) {
    case TargetFault::kServerError:
      co_await http::Respond(exchange, kInternalError, std::move(headers), {});
      break;
    case TargetFault::kDropsResponses:
      http::Abort(exchange);
      break;
    case TargetFault::kTruncatesResponses:
      co_await http::StartResponse(exchange, kOk, std::move(headers), 1000);
      co_await http::WriteBody(exchange, body);
      http::Abort(exchange);
      break;
    case TargetFault::kSendsExtraResponse: {
      co_await http::Respond(exchange, kOk, headers, body);
      co_await http::Respond(exchange, kOk, std::move(headers), "extra");
      break;
    }
    case TargetFault::kTruncatesHeads:
      co_await WriteRaw(exchange,
                        "HTTP/1.1 200 OK\r\nRequest-Id: " + headers[0].value +
                            "\r\nServer-Signature: s\r\n");
      http::Abort(exchange);
      break;
    case TargetFault::kEndlessHeads:
      co_await WriteEndlessly(
          target, exchange,
          "HTTP/1.1 200 OK\r\nRequest-Id: " + headers[0].value + "\r\n",
          "X-Filler: " + std::string(kEndlessPartBytes, 'x') + "\r\n");
      break;
    case TargetFault::kEndlessBodies:
      co_await WriteEndlessly(target, exchange,
                              "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n",
                              std::string(kEndlessPartBytes, 'x'));
      break;
    case TargetFault::kEndlessInterimResponses:
      co_await WriteEndlessly(target, exchange, {},
                              "HTTP/1.1 102 Processing\r\n\r\n");
      break;
    case TargetFault::kEndlessInterimBodies:
      co_await WriteEndlessly(
          target, exchange,
          "HTTP/1.1 102 Processing\r\n" + std::string(kEndlessLength),
          std::string(kEndlessPartBytes, 'x'));
      break;
    case TargetFault::kEndlessAnswers:
      co_await WriteEndlessly(
          target, exchange,
          "HTTP/1.1 200 OK\r\nRequest-Id: " + headers[0].value + "\r\n\r\n",
          std::string(kEndlessPartBytes, 'x'));
      break;
    case TargetFault::kEndlessLongAnswers:
      co_await WriteEndlessly(
          target, exchange,
          "HTTP/1.1 200 OK\r\nRequest-Id: " + headers[0].value + "\r\n" +
              std::string(kEndlessLength),
          std::string(kEndlessPartBytes, 'x'));
      break;
    case TargetFault::kNone:
    case TargetFault::kFull:
    case TargetFault::kRepeatsRefusal:
      co_await http::Respond(exchange, kOk, std::move(headers), body);
      break;
  }
}

void RecordRun(TargetStandin& target, const http::RequestHead& head) {
  TargetRun run{std::string(http::HeaderValue(head.headers, "Request-Id")),
                head.method,
                head.target,
                std::string(http::HeaderValue(head.headers, "Caller-Service")),
                {}};
  const auto key =
      http::ParseNumber(http::HeaderValue(head.headers, "Shard-Key"));
  if (key) {
    run.key = static_cast<std::uint32_t>(*key);
  }
  ++target.runs[run.request];
  target.last_caller_service = run.caller_service;
  target.last_headers = head.headers;
  ++target.running;
  target.max_running = std::max(target.max_running, target.running);
  if (target.on_run) {
    target.on_run(target, run);
  }
}

double ColdSecondsLeft(const TargetStandin& target) {
  const std::chrono::duration<double> left =
      target.cold_until - base::BootClock::now();
  return std::max(target.cold_seconds, left.count());
}

awaitable<void> HandleRequest(TargetStandin& target, http::Exchange& exchange) {
  if (target.down) {
    http::Abort(exchange);
    co_return;
  }
  if (target.on_arrival) {
    target.on_arrival(http::HeaderValue(exchange.head.headers, "Request-Id"));
  }
  if (IsMisdirected(target, exchange.head)) {
    co_await RefuseRun(target, exchange, kMisdirected);
    co_return;
  }
  if (target.on_cold_arrival &&
      base::BootClock::now() < target.known_cold_until) {
    target.on_cold_arrival(target);
  }
  if (target.fault == TargetFault::kFull || target.running >= target.slots) {
    co_await RefuseRun(target, exchange, kServiceUnavailable);
    co_return;
  }
  if (target.fault == TargetFault::kRepeatsRefusal) {
    const bool refused = co_await RepeatRefusal(target, exchange);
    if (refused) {
      co_return;
    }
  }
  const std::string id(http::HeaderValue(exchange.head.headers, "Request-Id"));
  const std::uint64_t generation = target.generation;
  RecordRun(target, exchange.head);
  std::string body;
  http::BodyRead read = http::BodyRead::kMore;
  while (read == http::BodyRead::kMore) {
    read = co_await http::ReadBody(exchange, body);
  }
  target.bodies[id] = body;
  bool caller_left = false;
  http::Event event(target.server.io);
  http::SetDisconnectCallback(exchange, [&caller_left, &event] {
    caller_left = true;
    http::Notify(event);
  });
  const base::TimePoint end = base::BootClock::now() + target.service_time;
  while (!caller_left && base::BootClock::now() < end) {
    co_await http::WaitUntil(event, end);
  }
  http::SetDisconnectCallback(exchange, nullptr);
  if (generation != target.generation) {
    http::Abort(exchange);
    co_return;
  }
  --target.running;
  target.cancelled += caller_left ? 1 : 0;
  if (!caller_left) {
    co_await AnswerRun(target, exchange);
  }
}

json ReportBody(TargetStandin& target) {
  json held = json::array();
  if (base::BootClock::now() < target.holds_expire_at) {
    for (const auto& hold : target.holds) {
      held.push_back({hold.first, hold.last, hold.token});
    }
  }
  json released = json::array();
  for (const auto& hold : target.released) {
    released.push_back({hold.first, hold.last, "state"});
  }
  return {{"address", target.address},
          {"born", target.start_time_ms},
          {"holds", held},
          {"released", released},
          {"info",
           {{"service", target.service},
            {"version", "v1"},
            {"zone", "a"},
            {"capacity", target.slots}}},
          {"status",
           {{"phase", target.leaving ? "draining" : "ready"},
            {"sequence", ++target.sequence},
            {"cold_remaining_s", std::max(0.0, ColdSecondsLeft(target))}}}};
}

/// Applies the ranges granted by a heartbeat response. Held ranges that it does
/// not contain are released. Returns whether any were.
bool ApplyGrant(TargetStandin& target,
                const json& answer,
                base::TimePoint sent_at) {
  if (!answer.contains("holds")) {
    return false;
  }
  std::vector<TargetStandin::Hold> next;
  for (const json& row : answer["holds"]) {
    next.push_back({row.at(0).get<std::uint32_t>(),
                    row.at(1).get<std::uint32_t>(),
                    row.at(2).get<std::uint64_t>()});
  }
  bool any_released = false;
  for (const auto& old : target.holds) {
    const bool retained = std::ranges::any_of(next, [&old](const auto& hold) {
      return hold.first <= old.first && old.last <= hold.last;
    });
    if (!retained) {
      target.released.push_back(old);
      any_released = true;
    }
  }
  target.holds = std::move(next);
  const double seconds =
      answer.at("hold_s").get<double>() * target.clock_slowdown;
  target.holds_expire_at =
      sent_at + base::Duration{static_cast<std::int64_t>(seconds * 1e6)};
  if (target.on_holds_changed) {
    target.on_holds_changed(target);
  }
  return any_released;
}

awaitable<void> ReportLoop(TargetStandin& target) {
  const std::uint64_t generation = target.generation;
  while (target.reporting && generation == target.generation) {
    const base::TimePoint sent_at = base::BootClock::now();
    const bool leaving = target.leaving;
    const base::Duration cold_left{
        static_cast<std::int64_t>(ColdSecondsLeft(target) * 1e6)};
    http::BufferedRequest request;
    request.method = "POST";
    request.target = "/api/rpc?call=instances.heartbeat&of=" + target.id;
    request.headers = {{"Host", "daemon"}};
    request.body = ReportBody(target).dump();
    const auto endpoint = http::ParseEndpoint(target.reports_address);
    const auto answer =
        co_await http::Call(target.pool, *endpoint, std::move(request));
    bool report_now = false;
    if (generation != target.generation) {
      co_return;
    }
    if (answer && answer.value().head.status == kOk) {
      if (leaving && target.leaving_acknowledged_at == base::TimePoint{}) {
        target.leaving_acknowledged_at = base::BootClock::now();
      }
      target.known_cold_until = sent_at + cold_left;
      target.released.clear();
      report_now =
          ApplyGrant(target, json::parse(answer.value().body), sent_at);
    }
    if (!report_now) {
      co_await http::Sleep(target.server.io, target.report_interval);
    }
  }
}

}  // namespace

TargetStandin::TargetStandin(asio::io_context& io, std::string target_id)
    : server(io),
      pool(io, {}),
      id(std::move(target_id)),
      start_time_ms(base::UnixMilliseconds()) {}

void Start(TargetStandin& target) {
  target.server.handler = [&target](http::Exchange& exchange) {
    return HandleRequest(target, exchange);
  };
  http::Listen(target.server, {asio::ip::make_address("127.0.0.1"), 0});
  asio::co_spawn(target.server.io, http::Serve(target.server), asio::detached);
  target.address =
      "127.0.0.1:" +
      std::to_string(target.server.acceptor->local_endpoint().port());
}

void StartReports(TargetStandin& target) {
  asio::co_spawn(target.server.io, ReportLoop(target), asio::detached);
}

void Crash(TargetStandin& target) {
  target.down = true;
  ++target.generation;
  target.running = 0;
  target.holds.clear();
  target.released.clear();
  target.holds_expire_at = {};
}

void Restart(TargetStandin& target, std::string id) {
  Crash(target);
  target.down = false;
  target.id = std::move(id);
  target.start_time_ms =
      std::max(target.start_time_ms + 1, base::UnixMilliseconds());
  target.sequence = 0;
  target.leaving = false;
  target.leaving_acknowledged_at = {};
  target.known_cold_until = {};
  StartReports(target);
}

bool Holds(const TargetStandin& target, std::uint32_t key) {
  return base::BootClock::now() < target.holds_expire_at &&
         std::ranges::any_of(target.holds, [key](const auto& hold) {
           return hold.first <= key && key <= hold.last;
         });
}

}  // namespace eelgrassbridge::standins
