// Thread pool for connections; implements the HTTP library's task queue.
//
// A worker serves one connection until it is closed. Threads are started on
// demand up to a limit. Connections beyond the limit go to one overflow worker,
// which answers "overloaded, not run" and closes them, so that no caller waits
// behind keep-alive connections without an answer.
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
  /// Number of workers that wait for a task. `tasks` never holds more tasks
  /// than that.
  std::uint32_t idle = 0;
  bool is_stopping = false;
};

/// @brief Returns whether the calling thread is the overflow worker.
bool IsOverflowWorker();

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONNECTION_WORKERS_HPP
