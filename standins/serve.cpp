// HTTP server and append-only line log shared by the stand-ins.
#include "serve.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <thread>

namespace eelgrassbridge::standins {

namespace {

constexpr int kBacklog = 1024;
constexpr int kLogMode = 0644;
constexpr std::size_t kAnnouncedBytes = 1024;

// Exits without a graceful stop, which would wait for persistent connections.
// Nothing is lost, as the log is written line by line.
void ExitOnSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread([signals] {
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(0);
  }).detach();
}

}  // namespace

void StandinServer::RaiseBacklog() {
  if (::listen(this->svr_sock_, kBacklog) != 0) {
    std::perror("listen");
  }
}

int Serve(StandinServer& server, const ServeOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  ExitOnSignal();
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(std::numeric_limits<int>::max());
  server.set_keep_alive_timeout(60);
  server.new_task_queue = [workers = options.workers] {
    return new httplib::ThreadPool(workers);
  };
  if (!server.bind_to_port(options.ip, options.port)) {
    std::fprintf(stderr, "cannot bind %s:%d\n", options.ip.c_str(),
                 options.port);
    return 1;
  }
  server.RaiseBacklog();
  server.listen_after_bind();
  return 0;
}

void LoseReply(httplib::Response& response) {
  response.set_content_provider(
      kAnnouncedBytes, "application/octet-stream",
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

LineLog OpenLineLog(const std::string& path) {
  if (path.empty()) {
    return {};
  }
  return {::open(path.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC,
                 kLogMode)};
}

void AppendLine(const LineLog& log, std::string_view line) {
  if (log.descriptor < 0) {
    return;
  }
  std::string text(line);
  text += '\n';
  if (::write(log.descriptor, text.data(), text.size()) < 0) {
    std::perror("cannot append to the line log");
  }
}

std::int64_t UnixMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace eelgrassbridge::standins
