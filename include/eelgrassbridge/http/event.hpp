// A condition that coroutines of one event loop wait for.
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

/// @brief Wakes all coroutines that wait at the time of the call. Each of them
/// checks its condition again, so a wake-up without a change does no harm.
///
/// The state is shared with what waits, because the handler of a timer may be
/// queued already when the event ends.
struct Event {
  explicit Event(asio::io_context& io)
      : timer(std::make_shared<asio::steady_timer>(
            io,
            asio::steady_timer::time_point::max())) {}
  std::shared_ptr<asio::steady_timer> timer;
};

void Notify(Event& event);

/// @brief Waits for the next Notify.
asio::awaitable<void> Wait(Event& event);

/// @brief Waits for the next Notify, at most until that time.
asio::awaitable<void> WaitUntil(Event& event, base::TimePoint deadline);

/// @brief Calls a function once after a time, unless it is disarmed before. A
/// call that is due already when it is disarmed does not happen.
struct Alarm {
  explicit Alarm(asio::io_context& io) : timer(io) {}
  ~Alarm();
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

  asio::steady_timer timer;
  std::shared_ptr<bool> armed;
};

void Arm(Alarm& alarm,
         std::chrono::steady_clock::duration time,
         std::function<void()> action);
void Disarm(Alarm& alarm);

/// @brief Waits for that time.
asio::awaitable<void> Sleep(asio::io_context& io,
                            std::chrono::steady_clock::duration time);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_EVENT_HPP
