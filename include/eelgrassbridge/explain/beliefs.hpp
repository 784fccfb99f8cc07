// What a process believed when it wrote a line, from the lines before it.
#ifndef EELGRASSBRIDGE_EXPLAIN_BELIEFS_HPP
#define EELGRASSBRIDGE_EXPLAIN_BELIEFS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrassbridge/explain/log_lines.hpp"

namespace eelgrassbridge::explain {

/// @brief One thing that a process took for true.
struct Belief {
  /// E.g. "routes", "store", "member 127.0.0.1:8300".
  std::string subject;
  std::string value;
  /// Time since it was learned, by the clock of the process.
  std::int64_t age_ms = 0;
};

/// @brief The state of a daemon at a line of its log, as far as it bears on the
/// request of that line: routes, store, data centres out of service, the lease
/// and target beside it, the ranges of the service and the member asked last.
std::vector<Belief> BeliefsAt(const DaemonLog& log, std::size_t position);

}  // namespace eelgrassbridge::explain

#endif  // EELGRASSBRIDGE_EXPLAIN_BELIEFS_HPP
