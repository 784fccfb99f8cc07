// Processes that the site launcher starts, and stops by id.
#ifndef EELGRASSBRIDGE_BENCH_SITE_PROCESS_HPP
#define EELGRASSBRIDGE_BENCH_SITE_PROCESS_HPP

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassbridge::bench {

/// @brief Zero: not running.
struct Process {
  pid_t pid = 0;
};

/// @brief Starts a program, with further variables "NAME=VALUE". Its output
/// goes to the file; it is killed when this process ends, so an aborted run
/// leaves nothing behind.
Process Launch(const std::vector<std::string>& arguments,
               const std::string& output_file,
               const std::vector<std::string>& environment = {});

/// @brief Whether the program has not ended yet.
bool IsRunning(const Process& process);

/// @brief Sends the signal and waits for the end; after 40 s, which is longer
/// than the drain timeout of the examples, kills it. Returns the exit status,
/// or the negative number of the signal that ended it.
int Stop(Process& process, int signal);

/// @brief Sends a signal to a running process, e.g. SIGSTOP or SIGCONT.
void Signal(const Process& process, int signal);

/// @brief Runs a program to its end and returns what it printed.
std::string RunForOutput(const std::vector<std::string>& arguments,
                         const std::string& output_file);

/// @brief What /proc tells of a process.
struct ProcessUsage {
  double cpu_seconds = 0;
  double rss_mb = 0;
};

ProcessUsage ReadUsage(const Process& process);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_PROCESS_HPP
