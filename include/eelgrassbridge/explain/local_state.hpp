// The state that a daemon knew when it wrote a log line, reconstructed from the
// earlier lines of the same process run.
#ifndef EELGRASSBRIDGE_EXPLAIN_LOCAL_STATE_HPP
#define EELGRASSBRIDGE_EXPLAIN_LOCAL_STATE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrassbridge/explain/log_lines.hpp"

namespace eelgrassbridge::explain {

/// @brief One item of a daemon's local state.
struct StateItem {
  /// E.g. "routes", "store", "member 127.0.0.1:8300".
  std::string subject;
  std::string value;
  /// Time since the daemon logged it, by the daemon's monotonic clock.
  std::int64_t age_ms = 0;
};

/// @brief The local state of a daemon at a line of its log, limited to what is
/// relevant to the request of that line: routes, store, data centres out of
/// service, the daemon's lease and target, the ranges of the service and the
/// member that was asked last.
std::vector<StateItem> LocalStateAt(const DaemonLog& log, std::size_t position);

}  // namespace eelgrassbridge::explain

#endif  // EELGRASSBRIDGE_EXPLAIN_LOCAL_STATE_HPP
