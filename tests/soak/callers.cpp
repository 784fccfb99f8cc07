// Load of the soak.
#include "callers.hpp"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::soak {

namespace {

using asio::awaitable;
using base::TimePoint;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::int64_t kDeadlineMs = 2000;
/// The callers wait longer than their deadline for an answer that is late.
constexpr std::chrono::milliseconds kPatience{3000};
constexpr std::size_t kUploadBytes = std::size_t{150} * 1024;
/// Bounds of the platform's site files.
constexpr base::Duration kContact = base::seconds{4};
constexpr base::Duration kConfigApply = base::milliseconds{2500};
constexpr base::Duration kRecovery = base::seconds{15};
constexpr std::chrono::milliseconds kProbePause{300};

struct Kind {
  std::string_view method;
  std::string_view path;
  std::string_view service;
  bool idempotent;
  bool has_key;
  std::size_t body_bytes;
};

constexpr std::array kKinds = {
    Kind{"GET", "/keys/x", "keys", true, true, 0},
    Kind{"GET", "/keys/x", "keys", true, true, 0},
    Kind{"GET", "/read/x", "desk", true, false, 0},
    Kind{"POST", "/write/x", "desk", false, false, 800},
    Kind{"POST", "/upload/x", "desk", false, false, kUploadBytes}};

struct Answer {
  int status = 0;
  http::Headers headers;
  std::string body;
};

http::BufferedRequest MakeRequest(const Kind& kind,
                                  const std::string& id,
                                  std::uint32_t key) {
  http::BufferedRequest request;
  request.method = kind.method;
  request.target = kind.path;
  request.headers = {{"Host", "h"},
                     {"Request-Id", id},
                     {"Caller-Service", "made up"},
                     {"Deadline-Ms", std::to_string(kDeadlineMs)}};
  if (kind.has_key) {
    request.headers.push_back({"Shard-Key", std::to_string(key)});
  }
  request.body = std::string(kind.body_bytes, 'x');
  request.timeout = kPatience;
  return request;
}

awaitable<Answer> Ask(http::ConnectionPool& pool,
                      const Place& place,
                      http::BufferedRequest request) {
  const auto endpoint = http::ParseEndpoint(place.callers);
  auto response = co_await http::Call(pool, *endpoint, std::move(request));
  if (!response) {
    co_return Answer{};
  }
  co_return Answer{response.value().head.status,
                   std::move(response.value().head.headers),
                   std::move(response.value().body)};
}

/// A success must be the whole answer to this request.
void CheckAnswer(Checker& checker,
                 const std::string& id,
                 const Answer& answer) {
  if (answer.status != kOk) {
    return;
  }
  const std::string signature(
      http::HeaderValue(answer.headers, "Server-Signature"));
  const std::string target = signature.substr(0, signature.find('/'));
  if (signature != target + "/" + id || answer.body != "done by " + target) {
    Violate(checker, "mixed", id + " got another answer");
  }
}

void CountAnswer(Checker& checker, int status) {
  constexpr int kServiceUnavailable = 503;
  checker.answered += status == kOk ? 1 : 0;
  checker.refused += status == kServiceUnavailable ? 1 : 0;
  checker.failed += status != kOk && status != kServiceUnavailable ? 1 : 0;
}

awaitable<Answer> AskAndCheck(Callers& callers,
                              http::ConnectionPool& pool,
                              const Place& place,
                              const Kind& kind) {
  Checker& checker = callers.checker;
  const std::string id = fmt::format("r{}", callers.next_id++);
  const auto key =
      static_cast<std::uint32_t>(callers.random() % (ranges::kLastKey + 1));
  SentRequest sent;
  sent.method = kind.method;
  sent.path = kind.path;
  sent.service = kind.service;
  sent.caller_service = place.target.service;
  sent.idempotent = kind.idempotent;
  sent.sent_at = base::BootClock::now();
  sent.calm = IsCalm(checker, kContact);
  checker.requests[id] = sent;
  const std::uint64_t life = place.life;
  Answer answer = co_await Ask(pool, place, MakeRequest(kind, id, key));
  SentRequest& noted = checker.requests[id];
  noted.ended_at = base::BootClock::now();
  noted.status = answer.status;
  // No promise covers a daemon that was gone before the request.
  noted.calm =
      sent.calm && IsCalm(checker, kContact) && life == place.life && life > 0;
  CheckAnswer(checker, id, answer);
  co_return answer;
}

awaitable<void> RunCaller(Callers& callers, Place& place) {
  http::ConnectionPool pool(callers.checker.fleet.io, {});
  ++callers.active;
  while (callers.running) {
    const Kind& kind = kKinds[callers.random() % kKinds.size()];
    const Answer answer = co_await AskAndCheck(callers, pool, place, kind);
    CountAnswer(callers.checker, answer.status);
    co_await http::Sleep(callers.checker.fleet.io, callers.options.pause);
  }
  --callers.active;
}

/// Asks for the probe route of the newest version, which must be served once it
/// is due, and never be unknown again to the same process.
awaitable<void> RunProbe(Callers& callers, Place& place) {
  Checker& checker = callers.checker;
  const Fleet& fleet = checker.fleet;
  http::ConnectionPool pool(fleet.io, {});
  std::uint64_t seen_version = 0;
  std::uint64_t seen_life = 0;
  ++callers.active;
  while (callers.running) {
    const std::uint64_t version = fleet.routes_version;
    const TimePoint written_at = fleet.routes_written_at;
    const std::uint64_t life = place.life;
    const bool due = base::BootClock::now() > written_at + kConfigApply &&
                     IsCalm(checker, kContact);
    const std::string path = fmt::format("/version-{}/x", version);
    const Kind kind{"GET", path, "desk", true, false, 0};
    const Answer answer = co_await AskAndCheck(callers, pool, place, kind);
    const bool same = version == fleet.routes_version && life == place.life;
    if (answer.status == kNotFound && same) {
      if (due) {
        Violate(checker, "routes",
                fmt::format("{} does not know version {} in time", place.name,
                            version));
      }
      if (seen_version == version && seen_life == life) {
        Violate(
            checker, "routes",
            fmt::format("{} went back from version {}", place.name, version));
      }
    } else if (answer.status == kOk) {
      seen_version = version;
      seen_life = life;
    }
    co_await http::Sleep(fleet.io, kProbePause);
  }
  --callers.active;
}

/// Whether one round of all kinds and of keys from all over is answered.
awaitable<bool> IsServing(Callers& callers, const Place& place) {
  constexpr int kKeyRounds = 6;
  http::ConnectionPool pool(callers.checker.fleet.io, {});
  for (int i = 0; i < kKeyRounds; ++i) {
    for (const Kind& kind : kKinds) {
      const Answer answer = co_await AskAndCheck(callers, pool, place, kind);
      if (answer.status != kOk) {
        co_return false;
      }
    }
  }
  co_return true;
}

}  // namespace

void Start(Callers& callers) {
  Fleet& fleet = callers.checker.fleet;
  for (const auto& place : fleet.places) {
    for (int i = 0; i < callers.options.callers_for_each_place; ++i) {
      asio::co_spawn(fleet.io, RunCaller(callers, *place), asio::detached);
    }
    asio::co_spawn(fleet.io, RunProbe(callers, *place), asio::detached);
  }
}

awaitable<void> AwaitRecovery(Callers& callers) {
  Checker& checker = callers.checker;
  const TimePoint latest = base::BootClock::now() + kRecovery;
  for (const auto& place : checker.fleet.places) {
    bool serving = co_await IsServing(callers, *place);
    while (!serving && base::BootClock::now() < latest) {
      co_await http::Sleep(checker.fleet.io, kProbePause);
      serving = co_await IsServing(callers, *place);
    }
    if (!serving) {
      Violate(checker, "recovery",
              place->name + " does not serve everything again");
    }
  }
}

}  // namespace eelgrassbridge::soak
