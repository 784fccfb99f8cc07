// Waiting in coroutines of one event loop: an event that wakes its waiters, a
// one-shot timer, and sleep.
#ifndef EELGRASSBRIDGE_HTTP_EVENT_HPP
#define EELGRASSBRIDGE_HTTP_EVENT_HPP

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::http {

/// @brief A condition variable for coroutines. Waiters check their condition
/// again after each wake-up, so spurious ones are harmless.
///
/// The waiters share ownership of the timer, because its handler may already be
/// queued when the event is destroyed.
struct Event {
  explicit Event(asio::io_context& io)
      : timer(std::make_shared<asio::steady_timer>(
            io,
            asio::steady_timer::time_point::max())) {}
  std::shared_ptr<asio::steady_timer> timer;
};

/// @brief Wakes all coroutines that are waiting at the time of the call.
void Notify(Event& event);

/// @brief Waits for the next Notify.
asio::awaitable<void> Wait(Event& event);

/// @brief Waits for the next Notify or until `deadline`, whichever is first.
asio::awaitable<void> WaitUntil(Event& event, base::TimePoint deadline);

/// @brief One-shot timer. After Disarm the action doesn't run, even if the
/// timer has already expired and its handler is queued.
struct Alarm {
  explicit Alarm(asio::io_context& io) : timer(io) {}
  ~Alarm();
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

  asio::steady_timer timer;
  std::shared_ptr<bool> armed;
};

/// @brief Runs `action` after `time`; replaces an earlier action that hasn't
/// run yet.
void Arm(Alarm& alarm,
         std::chrono::steady_clock::duration time,
         std::function<void()> action);
void Disarm(Alarm& alarm);

asio::awaitable<void> Sleep(asio::io_context& io,
                            std::chrono::steady_clock::duration time);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_EVENT_HPP
