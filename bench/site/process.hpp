// Child processes of the site launcher.
#ifndef EELGRASSBRIDGE_BENCH_SITE_PROCESS_HPP
#define EELGRASSBRIDGE_BENCH_SITE_PROCESS_HPP

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassbridge::bench {

/// @brief A child process.
struct Process {
  /// Zero: not started, or already reaped.
  pid_t pid = 0;
};

/// @brief Starts a program with additional environment variables "NAME=VALUE"
/// and appends its output to the file. The kernel kills it when the thread that
/// started it ends, so that an aborted run leaves no processes behind.
Process Launch(const std::vector<std::string>& arguments,
               const std::string& output_file,
               const std::vector<std::string>& environment = {});

/// @brief Whether the process has not exited yet.
bool IsRunning(const Process& process);

/// @brief Sends the signal and waits until the process exits; kills it after
/// 40 s, which is longer than the drain timeout of the examples. Returns the
/// exit status, or the negated number of the signal that terminated it.
int Stop(Process& process, int signal);

/// @brief Sends a signal to a running process, e.g. SIGSTOP or SIGCONT.
void Signal(const Process& process, int signal);

/// @brief Runs a program, waits until it exits and returns its output.
std::string RunForOutput(const std::vector<std::string>& arguments,
                         const std::string& output_file);

/// @brief Resource usage of a process, from /proc.
struct ProcessUsage {
  double cpu_seconds = 0;
  double rss_mb = 0;
};

ProcessUsage ReadUsage(const Process& process);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_PROCESS_HPP
