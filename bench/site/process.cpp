// Child processes of the site launcher.
#include "process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace eelgrassbridge::bench {

namespace {

constexpr int kOutputMode = 0644;
constexpr int kExecFailed = 127;
constexpr auto kStopTimeout = std::chrono::seconds{40};

std::vector<char*> Pointers(const std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (const auto& text : texts) {
    pointers.push_back(const_cast<char*>(text.c_str()));
  }
  pointers.push_back(nullptr);
  return pointers;
}

[[noreturn]] void Execute(const std::vector<char*>& arguments,
                          const std::vector<char*>& environment,
                          const char* output_file) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The launcher may block signals; the child must not inherit that mask.
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  const int output =
      ::open(output_file, O_CREAT | O_APPEND | O_WRONLY, kOutputMode);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::execve(arguments[0], arguments.data(), environment.data());
  ::_exit(kExecFailed);
}

}  // namespace

Process Launch(const std::vector<std::string>& arguments,
               const std::string& output_file,
               const std::vector<std::string>& environment) {
  const auto pointers = Pointers(arguments);
  auto variables = Pointers(environment);
  variables.pop_back();
  for (char** variable = environ; *variable != nullptr; ++variable) {
    variables.push_back(*variable);
  }
  variables.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid == 0) {
    Execute(pointers, variables, output_file.c_str());
  }
  return {.pid = pid > 0 ? pid : 0};
}

bool IsRunning(const Process& process) {
  siginfo_t info{};
  // WNOWAIT leaves the process to be reaped by Stop.
  return process.pid != 0 &&
         ::waitid(P_PID, static_cast<id_t>(process.pid), &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

int Stop(Process& process, int signal) {
  if (process.pid == 0) {
    return 0;
  }
  int status = 0;
  ::kill(process.pid, signal);
  const auto end = std::chrono::steady_clock::now() + kStopTimeout;
  while (::waitpid(process.pid, &status, WNOHANG) == 0) {
    if (std::chrono::steady_clock::now() > end) {
      ::kill(process.pid, SIGKILL);
      ::waitpid(process.pid, &status, 0);
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  }
  process.pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void Signal(const Process& process, int signal) {
  if (process.pid != 0) {
    ::kill(process.pid, signal);
  }
}

std::string RunForOutput(const std::vector<std::string>& arguments,
                         const std::string& output_file) {
  ::unlink(output_file.c_str());
  const Process process = Launch(arguments, output_file);
  ::waitpid(process.pid, nullptr, 0);
  std::ostringstream text;
  text << std::ifstream(output_file).rdbuf();
  return text.str();
}

ProcessUsage ReadUsage(const Process& process) {
  ProcessUsage usage;
  const std::string folder = "/proc/" + std::to_string(process.pid);
  std::ifstream stat(folder + "/stat");
  std::string field;
  constexpr int kUserTimeField = 14;
  constexpr int kSystemTimeField = 15;
  constexpr int kResidentField = 24;
  for (int index = 1; stat >> field; ++index) {
    if (index == kUserTimeField || index == kSystemTimeField) {
      usage.cpu_seconds +=
          std::stod(field) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    } else if (index == kResidentField) {
      usage.rss_mb = std::stod(field) *
                     static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576.0;
    }
  }
  return usage;
}

}  // namespace eelgrassbridge::bench
