// Reading of the log lines of nodes: what touches one request, and what each
// process says about its own state.
#ifndef EELGRASSBRIDGE_EXPLAIN_LOG_LINES_HPP
#define EELGRASSBRIDGE_EXPLAIN_LOG_LINES_HPP

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbridge::explain {

/// @brief One line of a node's log.
struct LogLine {
  std::string event;
  /// Unix time of the process, which may differ between VMs and jump.
  std::int64_t time_ms = 0;
  /// Time since the start of the process, in a clock that never jumps.
  std::int64_t up_ms = 0;
  /// Number of the life of the process that wrote it, from 1; 0 if the log
  /// begins in the middle of a life.
  std::size_t life = 0;
  nlohmann::json fields;
};

/// @brief Lines of one daemon in the order in which it wrote them.
struct DaemonLog {
  std::string name;
  /// Where other daemons reach it; empty if no "started" line was read.
  std::string address;
  std::size_t lives = 0;
  std::vector<LogLine> lines;
};

/// @brief What has been read of the logs.
///
/// Invariant: of the lines that name a request, only those of the wanted one
/// are kept.
struct LogSet {
  std::map<std::string, DaemonLog, std::less<>> daemons;
  /// Lines that are no log lines of a node.
  std::size_t unreadable = 0;
};

/// @brief Adds the lines of one log. A log may hold the lines of several
/// daemons, and text before the first brace of a line is passed over.
void ReadLog(std::istream& stream, std::string_view request, LogSet& logs);

/// @brief The daemon that others reach at an address, or null.
const DaemonLog* FindByAddress(const LogSet& logs, std::string_view address);

/// @brief A field as text; empty if the line does not have it.
std::string TextOf(const LogLine& line, std::string_view field);

}  // namespace eelgrassbridge::explain

#endif  // EELGRASSBRIDGE_EXPLAIN_LOG_LINES_HPP
