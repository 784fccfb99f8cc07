// Events and alarms, implemented with Asio timers: cancelling a timer that
// never expires wakes its waiters.
#include "eelgrassbridge/http/event.hpp"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <system_error>

namespace eelgrassbridge::http {

void Notify(Event& event) {
  event.timer->cancel();
}

asio::awaitable<void> Wait(Event& event) {
  const std::shared_ptr<asio::steady_timer> timer = event.timer;
  std::error_code ignored;
  co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> WaitUntil(Event& event, base::TimePoint deadline) {
  const std::shared_ptr<asio::steady_timer> timer = event.timer;
  Alarm alarm(static_cast<asio::io_context&>(timer->get_executor().context()));
  Arm(alarm, deadline - base::BootClock::now(), [timer] { timer->cancel(); });
  co_await Wait(event);
}

Alarm::~Alarm() {
  Disarm(*this);
}

void Arm(Alarm& alarm,
         std::chrono::steady_clock::duration time,
         std::function<void()> action) {
  Disarm(alarm);
  alarm.armed = std::make_shared<bool>(true);
  alarm.timer.expires_after(time);
  alarm.timer.async_wait([armed = alarm.armed, action = std::move(action)](
                             const std::error_code& cancelled) {
    if (!cancelled && *armed) {
      *armed = false;
      action();
    }
  });
}

void Disarm(Alarm& alarm) {
  if (alarm.armed && *alarm.armed) {
    *alarm.armed = false;
    alarm.timer.cancel();
  }
}

asio::awaitable<void> Sleep(asio::io_context& io,
                            std::chrono::steady_clock::duration time) {
  asio::steady_timer timer(io, time);
  std::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace eelgrassbridge::http
