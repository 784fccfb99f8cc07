// Waiting on timers that stand for conditions.
#include "eelgrassbridge/http/event.hpp"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <system_error>

namespace eelgrassbridge::http {

void Notify(Event& event) {
  event.timer.cancel();
}

asio::awaitable<void> Wait(Event& event) {
  std::error_code ignored;
  co_await event.timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> Sleep(asio::io_context& io,
                            std::chrono::steady_clock::duration time) {
  asio::steady_timer timer(io, time);
  std::error_code ignored;
  co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace eelgrassbridge::http
