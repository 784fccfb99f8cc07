// Tests of events and alarms, in particular of their destruction while a
// handler is queued.
#include "eelgrassbridge/http/event.hpp"

#include <doctest/doctest.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <optional>
#include <thread>

namespace eelgrassbridge::http {
namespace {

using std::chrono::milliseconds;

TEST_CASE("an expired alarm that is disarmed does not run its action") {
  // Guards against a queued handler that accesses destroyed objects.
  asio::io_context io;
  int calls = 0;
  {
    Alarm alarm(io);
    Arm(alarm, milliseconds{0}, [&calls] { ++calls; });
    std::this_thread::sleep_for(milliseconds{5});
    Disarm(alarm);
  }
  io.run();
  CHECK(calls == 0);
}

TEST_CASE("an alarm runs its action once and can be armed again") {
  asio::io_context io;
  int calls = 0;
  Alarm alarm(io);
  Arm(alarm, milliseconds{1}, [&calls] { ++calls; });
  io.run();
  io.restart();
  Arm(alarm, milliseconds{1}, [&calls] { ++calls; });
  io.run();
  CHECK(calls == 2);
}

asio::awaitable<void> WaitOnce(Event& event, bool& done) {
  co_await WaitUntil(event, base::BootClock::now() + base::milliseconds{1});
  done = true;
}

TEST_CASE("an event may be destroyed after the deadline of a wait") {
  // Guards against a use after free: the timer of a wait expired in the same
  // turn of the event loop in which the wait and its event were destroyed.
  asio::io_context io;
  for (int i = 0; i < 50; ++i) {
    auto event = std::make_optional<Event>(io);
    bool done = false;
    asio::co_spawn(io, WaitOnce(*event, done), asio::detached);
    io.poll();
    std::this_thread::sleep_for(milliseconds{2});
    // The deadline has passed, so both its handler and the notification are
    // ready now.
    Notify(*event);
    constexpr int kMaxTurns = 100;
    for (int turn = 0; turn < kMaxTurns && !done; ++turn) {
      io.run_one();
    }
    CHECK(done);
    event.reset();
    io.run();
    io.restart();
  }
}

TEST_CASE("a notification wakes all waiters") {
  asio::io_context io;
  Event event(io);
  int woken = 0;
  const auto wait = [&event, &woken]() -> asio::awaitable<void> {
    co_await Wait(event);
    ++woken;
  };
  asio::co_spawn(io, wait(), asio::detached);
  asio::co_spawn(io, wait(), asio::detached);
  io.poll();
  Notify(event);
  io.poll();
  CHECK(woken == 2);
}

}  // namespace
}  // namespace eelgrassbridge::http
