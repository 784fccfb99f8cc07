// Worker threads for connections, as the HTTP library's task queue.
//
// The library gives each connection to one worker until it closes. Threads are
// made as connections come, up to a limit. Beyond it, one further worker takes
// each connection, answers "overloaded, not run" and closes it, so that no
// caller waits unseen behind kept-alive connections.
#ifndef EELGRASSBRIDGE_DAEMON_CONNECTION_WORKERS_HPP
#define EELGRASSBRIDGE_DAEMON_CONNECTION_WORKERS_HPP

#include <httplib.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace eelgrassbridge::daemon {

struct ConnectionWorkers final : httplib::TaskQueue {
  explicit ConnectionWorkers(std::uint32_t max_workers);
  ~ConnectionWorkers() override;

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

  std::uint32_t limit;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> tasks;
  std::deque<std::function<void()>> overflow_tasks;
  std::vector<std::thread> threads;
  /// Workers that wait for a task. tasks never holds more than this count.
  std::uint32_t idle = 0;
  bool is_stopping = false;
};

/// @brief Whether this thread serves a connection beyond the limit.
bool IsOverflowWorker();

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONNECTION_WORKERS_HPP
