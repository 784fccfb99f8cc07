// Stand-in of a target on the platform: it reports itself, holds ranges under
// fencing tokens, and runs requests, as the platform's pages tell.
#ifndef EELGRASSBRIDGE_STANDINS_PLATFORM_TARGET_STANDIN_HPP
#define EELGRASSBRIDGE_STANDINS_PLATFORM_TARGET_STANDIN_HPP

#include <asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/http/server.hpp"

namespace eelgrassbridge::standins {

/// @brief How a request ends at the target.
enum class TargetFault : std::uint8_t {
  kNone,
  /// Says that it is full and has not run the request.
  kFull,
  /// Runs the request and answers 500.
  kServerError,
  /// Runs the request and ends the connection without an answer.
  kDropsResponses,
  /// Runs the request and cuts its answer in the middle.
  kTruncatesResponses,
  /// Sends a second answer behind the first one.
  kSendsExtraResponse,
};

/// @brief A request that a target begins to run.
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
  /// Where it reports itself.
  std::string reports_address;
  std::int64_t born = 0;
  std::uint64_t sequence = 0;
  std::uint32_t slots = 9;
  double cold_seconds = 0;
  bool divided = false;
  bool leaving = false;
  bool reporting = true;
  std::chrono::milliseconds report_interval{200};
  std::chrono::milliseconds service_time{5};
  TargetFault fault = TargetFault::kNone;
  std::vector<Hold> holds;
  base::TimePoint held_until{};
  std::vector<Hold> released;
  /// Requests that it began to run, with how often.
  std::map<std::string, int> runs;
  std::map<std::string, std::string> bodies;
  std::string last_caller_service;
  std::uint32_t running = 0;
  std::uint32_t max_running = 0;
  std::uint64_t cancelled = 0;
  /// Number of the present life; what runs in an earlier one has no answer.
  std::uint64_t life = 0;
  /// No life: connections are closed at once.
  bool down = false;
  /// How much longer than told its clock lets a hold last.
  double hold_stretch = 1;
  /// Told of each request that begins to run, and of each change of holds.
  std::function<void(const TargetStandin&, const TargetRun&)> on_run;
  std::function<void(const TargetStandin&)> on_holds;
  /// A report that said that it leaves, or its departure, was acknowledged.
  base::TimePoint leaving_acknowledged_at{};
};

/// @brief Listens on a free loopback port; sets the address.
void Start(TargetStandin& target);

/// @brief Begins to report itself. Ends when `reporting` is unset.
void StartReports(TargetStandin& target);

/// @brief Ends the present life: its runs, holds and reports.
void Crash(TargetStandin& target);

/// @brief Begins a new life, under the same id or another one.
void Restart(TargetStandin& target, std::string id);

/// @brief Whether it holds the key now.
bool Holds(const TargetStandin& target, std::uint32_t key);

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_PLATFORM_TARGET_STANDIN_HPP
