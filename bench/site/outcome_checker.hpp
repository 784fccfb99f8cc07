// Compares what callers were told with what the targets recorded.
#ifndef EELGRASSBRIDGE_BENCH_SITE_OUTCOME_CHECKER_HPP
#define EELGRASSBRIDGE_BENCH_SITE_OUTCOME_CHECKER_HPP

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace eelgrassbridge::bench {

/// @brief One attempt, from a line of the load tool.
struct AttemptLine {
  std::string tag;
  std::string id;
  std::string service;
  std::string kind;
  bool idempotent = true;
  std::string outcome;
  std::string error;
  std::string fault;
  std::int64_t start_us = 0;
  std::int64_t end_us = 0;
};

/// @brief One run, from the lines of a target.
struct RunLine {
  std::string tag;
  std::string id;
  std::string service;
  std::string key;
  std::string group;
  std::string target;
  std::uint64_t epoch = 0;
  std::int64_t start_us = 0;
  /// Zero: the target ended before the run did.
  std::int64_t end_us = 0;
};

/// @brief Each must be zero.
struct Violations {
  std::uint64_t refusals_that_ran = 0;
  std::uint64_t ran_twice = 0;
  std::uint64_t other_answers = 0;
  std::uint64_t cut_bodies = 0;
  /// Two targets ran the same key of a divided service at the same time, or
  /// two targets ran a group under the same epoch.
  std::uint64_t two_targets = 0;
  std::uint64_t epochs_back = 0;
};

std::vector<AttemptLine> ReadAttempts(std::istream& lines);

/// @brief Joins the start and the end line of each run.
std::vector<RunLine> ReadRuns(std::istream& lines);

Violations Check(const std::vector<AttemptLine>& attempts,
                 const std::vector<RunLine>& runs);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_OUTCOME_CHECKER_HPP
