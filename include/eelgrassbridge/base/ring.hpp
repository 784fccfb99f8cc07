// Bounded ring buffer for passing messages between the threads of a daemon.
#ifndef EELGRASSBRIDGE_BASE_RING_HPP
#define EELGRASSBRIDGE_BASE_RING_HPP

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>

namespace eelgrassbridge::base {

/// @brief Bounded queue with multiple producers and a single consumer.
///
/// Invariants: the consumer never blocks; producers hold a mutex for the
/// duration of one push; a push to a full ring fails and is counted, and the
/// caller decides what to do with the value.
template <typename T>
struct Ring {
  explicit Ring(std::size_t capacity) : queue(capacity) {}

  bool Push(T value) {
    const std::scoped_lock lock(this->push_mutex);
    if (this->queue.push(std::move(value))) {
      return true;
    }
    this->failed_pushes.fetch_add(1, std::memory_order_relaxed);
    return false;
  }

  std::optional<T> Pop() {
    std::optional<T> value;
    this->queue.consume_one([&](T& item) { value.emplace(std::move(item)); });
    return value;
  }

  boost::lockfree::spsc_queue<T> queue;
  std::mutex push_mutex;
  /// Number of pushes that failed because the ring was full.
  std::atomic<std::uint64_t> failed_pushes = 0;
};

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_RING_HPP
