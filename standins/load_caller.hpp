// One caller of the load tool: sends requests one after the other on a
// kept-alive connection, checks each answer and records each attempt.
#ifndef EELGRASSBRIDGE_STANDINS_LOAD_CALLER_HPP
#define EELGRASSBRIDGE_STANDINS_LOAD_CALLER_HPP

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "serve.hpp"

namespace eelgrassbridge::standins {

/// @brief One kind of request in the mix.
struct LoadKind {
  std::string service;
  std::string kind;
  std::string method = "GET";
  bool idempotent = true;
  std::size_t body_bytes = 0;
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
  /// Requests of all callers together; 0: no limit but the time.
  std::uint64_t max_requests = 0;
  /// Requests per second of all callers together; 0: as fast as answers come.
  double rate = 0;
  std::uint32_t keys = 1000;
  std::string key_prefix = "key-";
  /// Exponent of the Zipf distribution of keys; 0: uniform.
  double zipf = 0;
  /// Share of the requests that go to key-0; 0: as the distribution says.
  double hot_share = 0;
  std::string account;
  std::int64_t deadline_ms = 0;
  std::uint64_t seed = 1;
  /// Further attempts of a non-idempotent request with the same id while its
  /// outcome is unknown, and of any request that was not run.
  std::uint32_t resends = 0;
  /// Requests go straight to a target, which gives no outcome header.
  bool direct = false;
  std::string lines_file;
};

/// @brief How one attempt ended.
struct Attempt {
  std::string tag;
  std::string id;
  int status = 0;
  /// answered, not-run or unknown.
  std::string outcome;
  std::string error;
  /// What is wrong with an answer: other_answer, cut_body; usually empty.
  std::string fault;
  std::int64_t start_us = 0;
  std::int64_t end_us = 0;
  /// Id issued with the answer.
  std::string issued_id;
};

/// @brief Counts of one caller; added up at the end.
struct LoadFigures {
  std::uint64_t requests = 0;
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> errors;
  std::map<std::string, std::uint64_t> statuses;
  std::map<std::string, std::uint64_t> faults;
  /// Latencies of answered requests in microseconds, by service/kind.
  std::map<std::string, std::vector<std::int64_t>> latencies;
  /// Time of the last attempt of requests that ended without an answer.
  std::vector<std::int64_t> failed_at_us;
};

/// @brief Shared by all callers.
struct LoadRun {
  LoadOptions options;
  LineLog lines;
  /// Cumulative shares of the keys, for the Zipf distribution.
  std::vector<double> key_shares;
  std::atomic<std::uint64_t> started = 0;
  std::int64_t start_us = 0;
  /// Set to 0 by the signal that ends the run.
  std::atomic<std::int64_t> end_us = 0;
};

/// @brief Fills the key distribution and the times.
void PrepareRun(LoadRun& run);

/// @brief Sends until the time or the number of requests is used up.
LoadFigures RunCaller(LoadRun& run, std::uint32_t index);

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_LOAD_CALLER_HPP
