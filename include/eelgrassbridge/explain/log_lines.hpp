// Reads the logs of nodes and keeps the lines about one request and the lines
// about the state of each daemon.
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
  /// Unix time on the VM; it may jump, and clocks differ between VMs.
  std::int64_t time_ms = 0;
  /// Time since the start of the process, by a monotonic clock.
  std::int64_t up_ms = 0;
  /// Number of the process run that wrote the line, from 1; 0 for lines before
  /// the first "started" line of the log.
  std::size_t run = 0;
  nlohmann::json fields;
};

/// @brief Log lines of one daemon, in the order in which they were read.
struct DaemonLog {
  std::string name;
  /// Address for requests of other daemons; empty if no "started" line was
  /// read.
  std::string address;
  std::size_t runs = 0;
  std::vector<LogLine> lines;
};

/// @brief Lines read from all logs.
///
/// Invariant: of the lines that name a request, only those of the requested id
/// are kept.
struct LogSet {
  std::map<std::string, DaemonLog, std::less<>> daemons;
  /// Count of non-empty lines that are not valid log lines of a node.
  std::size_t unreadable_lines = 0;
};

/// @brief Adds the lines of one log. A log may contain lines of several
/// daemons. Text before the first brace of a line is ignored.
void ReadLog(std::istream& stream, std::string_view request, LogSet& logs);

/// @brief Finds the log of the daemon that serves other daemons at an address;
/// null if there is none.
const DaemonLog* FindByAddress(const LogSet& logs, std::string_view address);

/// @brief A field as text; empty if the line does not have it.
std::string TextOf(const LogLine& line, std::string_view field);

}  // namespace eelgrassbridge::explain

#endif  // EELGRASSBRIDGE_EXPLAIN_LOG_LINES_HPP
