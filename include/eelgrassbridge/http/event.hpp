// A condition that coroutines of one event loop wait for.
#ifndef EELGRASSBRIDGE_HTTP_EVENT_HPP
#define EELGRASSBRIDGE_HTTP_EVENT_HPP

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>

namespace eelgrassbridge::http {

/// @brief Wakes all coroutines that wait at the time of the call. Each of them
/// checks its condition again, so a wake-up without a change does no harm.
struct Event {
  explicit Event(asio::io_context& io)
      : timer(io, asio::steady_timer::time_point::max()) {}
  asio::steady_timer timer;
};

void Notify(Event& event);

/// @brief Waits for the next Notify.
asio::awaitable<void> Wait(Event& event);

/// @brief Waits for that time.
asio::awaitable<void> Sleep(asio::io_context& io,
                            std::chrono::steady_clock::duration time);

}  // namespace eelgrassbridge::http

#endif  // EELGRASSBRIDGE_HTTP_EVENT_HPP
