// Starts connection workers on demand and joins them at shutdown.
#include "eelgrassbridge/daemon/connection_workers.hpp"

namespace eelgrassbridge::daemon {

namespace {

thread_local bool t_is_overflow_worker = false;

void RunTasks(ConnectionWorkers& workers,
              std::deque<std::function<void()>>& tasks,
              bool is_overflow) {
  t_is_overflow_worker = is_overflow;
  std::unique_lock lock(workers.mutex);
  for (;;) {
    workers.changed.wait(lock,
                         [&] { return workers.is_stopping || !tasks.empty(); });
    if (tasks.empty()) {
      return;
    }
    const std::function<void()> task = std::move(tasks.front());
    tasks.pop_front();
    if (!is_overflow) {
      --workers.idle;
    }
    lock.unlock();
    task();
    lock.lock();
    if (!is_overflow) {
      ++workers.idle;
    }
  }
}

}  // namespace

ConnectionWorkers::ConnectionWorkers(std::uint32_t max_workers)
    : limit(max_workers) {
  this->threads.emplace_back(
      [this] { RunTasks(*this, this->overflow_tasks, true); });
}

ConnectionWorkers::~ConnectionWorkers() = default;

void ConnectionWorkers::enqueue(std::function<void()> task) {
  {
    const std::scoped_lock lock(this->mutex);
    if (this->tasks.size() < this->idle) {
      this->tasks.push_back(std::move(task));
    } else if (this->threads.size() <= this->limit) {
      this->tasks.push_back(std::move(task));
      ++this->idle;
      this->threads.emplace_back(
          [this] { RunTasks(*this, this->tasks, false); });
    } else {
      this->overflow_tasks.push_back(std::move(task));
    }
  }
  this->changed.notify_all();
}

void ConnectionWorkers::shutdown() {
  {
    const std::scoped_lock lock(this->mutex);
    this->is_stopping = true;
  }
  this->changed.notify_all();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

bool IsOverflowWorker() {
  return t_is_overflow_worker;
}

}  // namespace eelgrassbridge::daemon
