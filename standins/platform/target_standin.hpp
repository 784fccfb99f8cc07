// Stand-in for a target on the platform: sends heartbeats to its daemon, holds
// key ranges under fencing tokens and runs requests, as the platform's
// documentation describes.
#ifndef EELGRASSBRIDGE_STANDINS_PLATFORM_TARGET_STANDIN_HPP
#define EELGRASSBRIDGE_STANDINS_PLATFORM_TARGET_STANDIN_HPP

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/server.hpp"

namespace eelgrassbridge::standins {

/// @brief Fault that the target simulates.
enum class TargetFault : std::uint8_t {
  kNone,
  /// Refuses the request with 503 and marks it as not executed.
  kFull,
  /// Runs the request and answers 500.
  kServerError,
  /// Runs the request and closes the connection without a response.
  kDropsResponses,
  /// Runs the request and closes the connection within the response body.
  kTruncatesResponses,
  /// Sends a second response after the first one.
  kSendsExtraResponse,
  /// Refuses each request once. When it comes again it runs, but first a
  /// refusal that was sent on its connection is sent once more.
  kRepeatsRefusal,
  /// Runs the request and closes the connection within the response head.
  kTruncatesHeads,
  /// Answers with a head that never ends.
  kEndlessHeads,
  /// Answers with a response to another request whose body never ends.
  kEndlessBodies,
  /// Answers with interim responses that never end.
  kEndlessInterimResponses,
  /// Answers with an interim response that has a body, which never ends.
  kEndlessInterimBodies,
  /// Answers with a body that never ends, without a length.
  kEndlessAnswers,
  /// Answers with a body whose length is far more than any caller reads.
  kEndlessLongAnswers,
};

/// Time that a run takes, unless a test sets another.
constexpr std::chrono::milliseconds kServiceTime{5};

/// @brief A request that a target starts to run.
struct TargetRun {
  std::string request;
  std::string method;
  std::string path;
  std::string caller_service;
  std::optional<std::uint32_t> key;
};

struct TargetStandin {
  TargetStandin(asio::io_context& io, std::string target_id);

  struct Hold {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t token = 0;
  };

  http::Server server;
  http::ConnectionPool pool;
  std::string id;
  std::string service = "service";
  std::string address;
  /// Address of the daemon that gets the heartbeats.
  std::string reports_address;
  /// Unix time.
  std::int64_t start_time_ms = 0;
  std::uint64_t sequence = 0;
  std::uint32_t slots = 9;
  /// The target is cold for this long after each report.
  double cold_seconds = 0;
  /// The target is cold until then.
  base::TimePoint cold_until{};
  /// Until when the target is cold as told by its last heartbeat that the
  /// daemon has acknowledged.
  base::TimePoint known_cold_until{};
  bool divided = false;
  bool leaving = false;
  bool reporting = true;
  std::chrono::milliseconds report_interval{200};
  std::chrono::milliseconds service_time = kServiceTime;
  TargetFault fault = TargetFault::kNone;
  std::vector<Hold> holds;
  base::TimePoint holds_expire_at{};
  std::vector<Hold> released;
  /// Number of runs started, by request id.
  std::map<std::string, int> runs;
  /// Request bodies, by request id.
  std::map<std::string, std::string> bodies;
  std::string last_caller_service;
  /// Headers of the last request that was run.
  http::Headers last_headers;
  std::uint32_t running = 0;
  /// Peak of `running`.
  std::uint32_t max_running = 0;
  std::uint64_t cancelled = 0;
  /// Incremented when the target crashes; runs of an earlier generation are
  /// not answered.
  std::uint64_t generation = 0;
  /// Crashed and not restarted: connections are closed at once.
  bool down = false;
  /// Factor by which the target's clock runs slow: a hold lasts this much
  /// longer than it was granted for.
  double clock_slowdown = 1;
  /// Called with the id of each request that arrives, run or refused.
  std::function<void(std::string_view)> on_arrival;
  /// Called when a request for this target arrives that its daemon sent knowing
  /// that the target is cold, run or refused.
  std::function<void(const TargetStandin&)> on_cold_arrival;
  /// Called when a request starts to run, and after each change of the holds.
  std::function<void(const TargetStandin&, const TargetRun&)> on_run;
  std::function<void(const TargetStandin&)> on_holds_changed;
  /// When the daemon first acknowledged a heartbeat that said that the target
  /// leaves; the epoch: not yet.
  base::TimePoint leaving_acknowledged_at{};
  /// For kRepeatsRefusal: the last refusal sent on each connection, and the ids
  /// of the refused requests.
  std::
      map<std::weak_ptr<http::ServerConnection>, std::string, std::owner_less<>>
          refusals;
  std::set<std::string> refused;
  /// Bytes sent of responses that never end.
  std::uint64_t endless_bytes = 0;
};

/// @brief Serves on a free loopback port and sets `address`.
void Start(TargetStandin& target);

/// @brief Sends heartbeats until `reporting` is unset or the target crashes.
void StartReports(TargetStandin& target);

/// @brief Abandons all runs, holds and heartbeats, and goes down.
void Crash(TargetStandin& target);

/// @brief Crashes and starts a new generation under the given id.
void Restart(TargetStandin& target, std::string id);

/// @brief Whether the target holds the key now.
bool Holds(const TargetStandin& target, std::uint32_t key);

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_PLATFORM_TARGET_STANDIN_HPP
