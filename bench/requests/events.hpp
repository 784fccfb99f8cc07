// Discrete-event simulation in virtual time.
#ifndef EELGRASSBRIDGE_BENCH_REQUESTS_EVENTS_HPP
#define EELGRASSBRIDGE_BENCH_REQUESTS_EVENTS_HPP

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::bench {

/// @brief A scheduled callback.
struct Event {
  base::TimePoint at;
  /// Order of scheduling; breaks ties between events of the same time.
  std::uint64_t sequence = 0;
  std::function<void()> run;
};

/// @brief Orders the queue so that the earliest event is on top.
struct LaterEvent {
  bool operator()(const Event& a, const Event& b) const {
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
  }
};

/// @brief Pending events and the virtual clock.
struct Events {
  base::TimePoint now{base::seconds{1000}};
  std::uint64_t sequence = 0;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> pending;
};

/// @brief Schedules `run` after `delay`.
inline void After(Events& events,
                  base::Duration delay,
                  std::function<void()> run) {
  events.pending.push({events.now + delay, events.sequence++, std::move(run)});
}

/// @brief Runs all events up to `end` and sets the clock to it.
inline void RunUntil(Events& events, base::TimePoint end) {
  while (!events.pending.empty() && events.pending.top().at <= end) {
    const Event event = events.pending.top();
    events.pending.pop();
    events.now = event.at;
    event.run();
  }
  events.now = end;
}

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_REQUESTS_EVENTS_HPP
