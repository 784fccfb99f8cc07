// Tests the admission to a target that becomes cold and warm again. Guards
// against requests that leave the queue without regard to the pace.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <set>
#include <vector>

#include "eelgrassbridge/limits/target_limiter.hpp"

namespace eelgrassbridge::limits {

namespace {

using base::ErrorKind;
using base::milliseconds;
using base::TimePoint;
using catalogue::PriorityClass;
using State = Admission::State;

constexpr TimePoint kStart{base::seconds{100}};
constexpr double kRate = 10;

TargetLimiter MakePacedLimiter(std::uint32_t slots, std::uint32_t queue) {
  TargetLimiterOptions options;
  options.slots = slots;
  options.connections = 100;
  options.queue_capacity = queue;
  options.use_ramp = false;
  options.use_pace = true;
  TargetLimiter limiter = MakeTargetLimiter(options);
  limiter.run_time_us = 1000;
  limiter.pace.requests_per_second = kRate;
  return limiter;
}

Admission AdmitFor(TargetLimiter& limiter,
                   TimePoint now,
                   base::Duration wait,
                   PriorityClass priority = PriorityClass::kNormal) {
  AdmissionRequest request;
  request.priority = priority;
  request.deadline = now + wait;
  request.deadline_for_start = true;
  return Admit(limiter, request, now);
}

/// Requests that the limiter has started and that are sent later.
struct Started {
  TargetLimiter& limiter;
  std::vector<TimePoint> cold_sends;
  std::uint32_t unsent = 0;
  std::uint32_t running = 0;

  void Send(TimePoint now) {
    --this->unsent;
    if (!MaySend(this->limiter.pace, now)) {
      CancelStart(this->limiter.pace);
      Finish(this->limiter, RunEnd::kCancelled, {}, 0);
      return;
    }
    RecordSend(this->limiter.pace, now);
    ++this->running;
    if (IsCold(this->limiter.pace, now)) {
      this->cold_sends.push_back(now);
    }
  }
};

std::size_t MostInOneSecond(const std::vector<TimePoint>& sends) {
  std::size_t most = 0;
  auto first = sends.begin();
  for (auto last = first; last != sends.end(); ++last) {
    while (*last - *first >= base::seconds{1}) {
      ++first;
    }
    most = std::max(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most;
}

}  // namespace

TEST_CASE("a cold target gets its rate at most in any order of events") {
  CHECK(rc::check([](const std::vector<std::pair<unsigned, unsigned>>& steps) {
    TargetLimiter limiter = MakePacedLimiter(6, 20);
    Started started{limiter, {}, 0, 0};
    std::set<Ticket> waiting;
    TimePoint now = kStart;
    for (const auto& [kind, pick] : steps) {
      // Mostly short steps, sometimes a pause of the process.
      now += milliseconds{pick % 16 == 0 ? 2000 : pick % 40};
      switch (kind % 10) {
        case 0:
        case 1:
        case 2:
        case 3: {
          const auto admission =
              AdmitFor(limiter, now, milliseconds{pick % 3000},
                       static_cast<PriorityClass>(pick % 3));
          started.unsent += admission.state == State::kRun ? 1 : 0;
          if (admission.state == State::kQueued) {
            waiting.insert(admission.ticket);
          }
          break;
        }
        case 4:
        case 5:
          if (started.unsent > 0) {
            started.Send(now);
          }
          break;
        case 6:
          if (started.unsent > 0) {
            --started.unsent;
            CancelStart(limiter.pace);
            Finish(limiter, RunEnd::kCancelled, {}, 0);
          }
          break;
        case 7:
          if (started.running > 0) {
            --started.running;
            Finish(limiter, RunEnd::kAnswered, milliseconds{pick % 500}, 0);
          }
          break;
        case 8:
          if (!waiting.empty() && Withdraw(limiter, *waiting.begin())) {
            waiting.erase(waiting.begin());
          }
          break;
        default:
          limiter.pace.cold_until = now + milliseconds{pick % 5000};
          RefuseUnreachable(limiter, now);
          break;
      }
      while (const auto next = NextDispatch(limiter, now)) {
        RC_ASSERT(waiting.erase(next->ticket) == 1U);
        started.unsent += next->refusal ? 0 : 1;
      }
      RC_ASSERT(limiter.queued == waiting.size());
      RC_ASSERT(limiter.pace.unsent == started.unsent);
      RC_ASSERT(limiter.in_flight == started.unsent + started.running);
      // With a free slot, only the pace keeps requests waiting.
      RC_ASSERT(limiter.queued == 0 || limiter.in_flight >= 6 ||
                NextPacedStart(limiter, now).has_value());
    }
    RC_ASSERT(MostInOneSecond(started.cold_sends) <=
              static_cast<std::size_t>(kRate));
  }));
}

TEST_CASE("a request that was started at a cold target may be sent") {
  // Guards against starts beyond the pace that only the check at the send
  // stops: such requests would be refused after they had waited.
  CHECK(rc::check([](const std::vector<std::pair<unsigned, unsigned>>& steps) {
    TargetLimiter limiter = MakePacedLimiter(6, 20);
    limiter.pace.cold_until = kStart + base::seconds{100'000};
    Started started{limiter, {}, 0, 0};
    TimePoint now = kStart;
    for (const auto& [kind, pick] : steps) {
      now += milliseconds{pick % 16 == 0 ? 2000 : pick % 40};
      if (kind % 4 < 2) {
        started.unsent +=
            AdmitFor(limiter, now, base::seconds{10}).state == State::kRun ? 1
                                                                           : 0;
      } else if (kind % 4 == 2 && started.unsent > 0) {
        RC_ASSERT(MaySend(limiter.pace, now));
        started.Send(now);
      } else if (started.running > 0) {
        --started.running;
        Finish(limiter, RunEnd::kAnswered, milliseconds{pick % 500}, 0);
      }
      while (const auto next = NextDispatch(limiter, now)) {
        started.unsent += next->refusal ? 0 : 1;
      }
    }
  }));
}

TEST_CASE("a request that the pace lets start too late is refused at once") {
  // Guards against a caller that waits until its time is up for a start that a
  // cold target cannot give it.
  TargetLimiter limiter = MakePacedLimiter(9, 20);
  limiter.pace.cold_until = kStart + base::seconds{30};
  CHECK(AdmitFor(limiter, kStart, milliseconds{250}).state == State::kRun);
  RecordSend(limiter.pace, kStart);
  CHECK(AdmitFor(limiter, kStart, milliseconds{250}).state == State::kQueued);
  CHECK(AdmitFor(limiter, kStart, milliseconds{250}).state == State::kQueued);
  const Admission late = AdmitFor(limiter, kStart, milliseconds{250});
  CHECK(late.state == State::kRefused);
  CHECK(late.refusal == ErrorKind::kOverloaded);
  CHECK(!CanStartNow(limiter, kStart));
  CHECK(NextPacedStart(limiter, kStart) == kStart + milliseconds{100});
}

TEST_CASE("queued requests without a start in time are refused at once") {
  // Guards against the same for requests that queued while the target was warm.
  TargetLimiter limiter = MakePacedLimiter(1, 20);
  limiter.run_time_us = 10'000;
  CHECK(AdmitFor(limiter, kStart, milliseconds{350}).state == State::kRun);
  std::vector<Ticket> queued;
  for (int i = 0; i < 8; ++i) {
    const auto admission = AdmitFor(limiter, kStart, milliseconds{350});
    REQUIRE(admission.state == State::kQueued);
    queued.push_back(admission.ticket);
  }
  RecordSend(limiter.pace, kStart);
  limiter.pace.cold_until = kStart + base::seconds{30};
  limiter.pace.next_start = kStart + milliseconds{100};
  RefuseUnreachable(limiter, kStart);
  std::vector<Ticket> refused;
  while (const auto next = NextDispatch(limiter, kStart)) {
    REQUIRE(next->refusal);
    CHECK(*next->refusal == ErrorKind::kOverloaded);
    refused.push_back(next->ticket);
  }
  // Three of them start 100, 200 and 300 ms later.
  CHECK(limiter.queued == 3);
  CHECK(refused == std::vector<Ticket>(queued.begin() + 3, queued.end()));
}

TEST_CASE("an urgent request goes ahead of others at a cold target") {
  // Guards against starts that are given out in the order of arrival.
  TargetLimiter limiter = MakePacedLimiter(9, 20);
  limiter.pace.cold_until = kStart + base::seconds{30};
  AdmitFor(limiter, kStart, base::seconds{2});
  RecordSend(limiter.pace, kStart);
  AdmitFor(limiter, kStart, base::seconds{2}, PriorityClass::kBulk);
  const Ticket urgent =
      AdmitFor(limiter, kStart, base::seconds{2}, PriorityClass::kCritical)
          .ticket;
  const auto next = NextDispatch(limiter, kStart + milliseconds{100});
  REQUIRE(next);
  CHECK(next->ticket == urgent);
}

TEST_CASE("the queue of a cold target moves on when it is warm") {
  // Guards against a pace that outlasts the cold start.
  TargetLimiter limiter = MakePacedLimiter(9, 20);
  limiter.pace.cold_until = kStart + milliseconds{150};
  AdmitFor(limiter, kStart, base::seconds{2});
  RecordSend(limiter.pace, kStart);
  for (int i = 0; i < 5; ++i) {
    CHECK(AdmitFor(limiter, kStart, base::seconds{2}).state == State::kQueued);
  }
  int started = 0;
  while (NextDispatch(limiter, kStart + milliseconds{150})) {
    ++started;
  }
  CHECK(started == 5);
}

}  // namespace eelgrassbridge::limits
