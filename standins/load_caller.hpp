// One caller of the load tool: sends requests one at a time on a persistent
// connection, checks each response and records each attempt.
#ifndef EELGRASSBRIDGE_STANDINS_LOAD_CALLER_HPP
#define EELGRASSBRIDGE_STANDINS_LOAD_CALLER_HPP

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "serve.hpp"

namespace eelgrassbridge::standins {

/// @brief One kind of request in the load mix.
struct LoadKind {
  std::string service;
  std::string kind;
  std::string method = "GET";
  bool idempotent = true;
  std::size_t body_bytes = 0;
  /// Relative frequency in the mix.
  double weight = 1;
};

struct LoadAddress {
  std::string ip;
  int port = 0;
};

struct LoadOptions {
  std::vector<LoadAddress> entries;
  std::vector<LoadKind> kinds;
  std::uint32_t callers = 1;
  double seconds = 10;
  /// Limit on the requests of all callers together; 0: only the time limits
  /// them.
  std::uint64_t max_requests = 0;
  /// Requests per second of all callers together; 0: closed loop, each caller
  /// sends its next request as soon as the last one is answered.
  double rate = 0;
  std::uint32_t keys = 1000;
  std::string key_prefix = "key-";
  /// Exponent of the Zipf distribution of keys; 0: uniform.
  double zipf = 0;
  /// Share of the requests that use the first key regardless of the Zipf
  /// distribution.
  double hot_share = 0;
  std::string account;
  std::int64_t deadline_ms = 0;
  std::uint64_t seed = 1;
  /// Maximum number of retries of a request whose outcome is not-run or
  /// unknown. A non-idempotent request with an unknown outcome is only retried
  /// under the same request id.
  std::uint32_t resends = 0;
  /// Requests bypass the daemons and go to a target, which sends no outcome
  /// header.
  bool direct = false;
  /// Gets one JSON line per attempt; empty: attempts are not recorded.
  std::string lines_file;
};

/// @brief Result of one attempt.
struct Attempt {
  std::string tag;
  std::string id;
  int status = 0;
  /// "answered", "not-run" or "unknown".
  std::string outcome;
  std::string error;
  /// "other_answer": response to another request; "cut_body": checksum
  /// mismatch; empty: correct.
  std::string fault;
  std::int64_t start_us = 0;
  std::int64_t end_us = 0;
  /// Request id issued with the response.
  std::string issued_id;
};

/// @brief Counts and latencies of one caller, or their sum over all callers.
struct LoadResults {
  std::uint64_t requests = 0;
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> errors;
  std::map<std::string, std::uint64_t> statuses;
  std::map<std::string, std::uint64_t> faults;
  /// Latencies of answered requests in microseconds, by service/kind.
  std::map<std::string, std::vector<std::int64_t>> latencies;
  /// Unix time at which the last attempt of each failed request ended.
  std::vector<std::int64_t> failed_at_us;
};

/// @brief State shared by all callers.
struct LoadRun {
  LoadOptions options;
  LineLog lines;
  /// Cumulative distribution of the keys.
  std::vector<double> key_shares;
  /// Requests started by all callers.
  std::atomic<std::uint64_t> started = 0;
  std::int64_t start_us = 0;
  /// Unix time; set to 0 by SIGTERM to end the run early.
  std::atomic<std::int64_t> end_us = 0;
};

/// @brief Computes the key distribution, opens the line log and sets the start
/// and end times.
void PrepareRun(LoadRun& run);

/// @brief Sends requests until the end time or `max_requests` is reached.
LoadResults RunCaller(LoadRun& run, std::uint32_t index);

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_LOAD_CALLER_HPP
