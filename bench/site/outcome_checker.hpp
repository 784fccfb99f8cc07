// Checks the outcomes that callers received against the runs that targets
// logged.
#ifndef EELGRASSBRIDGE_BENCH_SITE_OUTCOME_CHECKER_HPP
#define EELGRASSBRIDGE_BENCH_SITE_OUTCOME_CHECKER_HPP

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace eelgrassbridge::bench {

/// @brief An attempt, as logged by the load tool.
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

/// @brief A run, as logged by a target.
struct RunLine {
  std::string tag;
  std::string id;
  std::string service;
  std::string key;
  std::string group;
  std::string target;
  std::uint64_t epoch = 0;
  std::int64_t start_us = 0;
  /// Zero: the target exited during the run.
  std::int64_t end_us = 0;
};

/// @brief Number of violations of each kind; all must be zero.
struct Violations {
  /// Attempts with the outcome not-run that a target ran.
  std::uint64_t refusals_that_ran = 0;
  /// Further runs of a non-idempotent request.
  std::uint64_t ran_twice = 0;
  /// Responses to another request.
  std::uint64_t other_answers = 0;
  /// Incomplete response bodies.
  std::uint64_t cut_bodies = 0;
  /// Runs of a key of a divided service that overlapped with a run of the key
  /// at another target, and further targets that ran a group under the same
  /// epoch.
  std::uint64_t two_targets = 0;
  /// Runs that started under a lower epoch than an earlier run of the group.
  std::uint64_t epochs_back = 0;
};

/// @brief Parses the attempts that the load tool logged.
std::vector<AttemptLine> ReadAttempts(std::istream& lines);

/// @brief Parses the runs that targets logged; merges the start and the end
/// line of each run.
std::vector<RunLine> ReadRuns(std::istream& lines);

Violations Check(const std::vector<AttemptLine>& attempts,
                 const std::vector<RunLine>& runs);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_OUTCOME_CHECKER_HPP
