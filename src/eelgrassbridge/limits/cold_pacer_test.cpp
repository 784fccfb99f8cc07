// Tests the pacing of requests to a cold target.
#include "eelgrassbridge/limits/cold_pacer.hpp"

#include <doctest/doctest.h>

#include <cmath>

namespace eelgrassbridge::limits {
namespace {

using base::milliseconds;
using base::TimePoint;

constexpr TimePoint kStart{base::Duration{base::seconds{100}}};

ColdPacer MakePacer(double requests_per_second, TimePoint cold_until) {
  ColdPacer pacer;
  pacer.requests_per_second = requests_per_second;
  pacer.cold_until = cold_until;
  return pacer;
}

/// Starts and sends a request if the pace allows it.
bool TrySend(ColdPacer& pacer, TimePoint now) {
  if (EarliestStart(pacer, 0, now) > now) {
    return false;
  }
  RecordStart(pacer, now);
  REQUIRE(MaySend(pacer, now));
  RecordSend(pacer, now);
  return true;
}

TEST_CASE("a cold target gets at most its rate") {
  // Guards against overloading, and so crashing, a target that starts up.
  ColdPacer pacer = MakePacer(17, kStart + base::seconds{3});
  int started = 0;
  for (int i = 0; i < 1000; ++i) {
    started += TrySend(pacer, kStart + milliseconds{i}) ? 1 : 0;
  }
  CHECK(started <= 17);
  CHECK(started >= 16);
}

TEST_CASE("late timers do not lower the rate of a cold target") {
  // Guards against a pace that counts from each start and loses the time by
  // which the timers are late.
  ColdPacer pacer = MakePacer(10, kStart + base::seconds{30});
  int started = 0;
  for (int i = 0; i < 10000; i += 30) {
    started += TrySend(pacer, kStart + milliseconds{i}) ? 1 : 0;
  }
  CHECK(started >= 98);
}

TEST_CASE("requests to a warm target are not delayed") {
  ColdPacer pacer = MakePacer(17, kStart);
  for (int i = 0; i < 100; ++i) {
    CHECK(TrySend(pacer, kStart));
  }
}

TEST_CASE("a cold target without a known rate gets no requests") {
  // Guards against a missing rate that is taken for no limit.
  ColdPacer pacer;
  pacer.cold_until = kStart + base::seconds{3};
  CHECK(IsPaceUnknown(pacer, kStart));
  CHECK(EarliestStart(pacer, 0, kStart) == pacer.cold_until);
  RecordStart(pacer, kStart);
  CHECK(!MaySend(pacer, kStart));
  CancelStart(pacer);
  pacer.requests_per_second = 0;
  CHECK(!IsPaceUnknown(pacer, kStart));
  CHECK(TrySend(pacer, kStart));
}

TEST_CASE("sends to the warm target count when it becomes cold") {
  // Guards against a full second of requests that follows on one of a warm
  // target.
  ColdPacer pacer = MakePacer(10, kStart);
  for (int i = 0; i < 500; i += 10) {
    CHECK(TrySend(pacer, kStart + milliseconds{i}));
  }
  pacer.cold_until = kStart + base::seconds{30};
  const TimePoint now = kStart + milliseconds{500};
  CHECK(!TrySend(pacer, now));
  // The tenth last of them was sent at 400 ms.
  CHECK(EarliestStart(pacer, 0, now) == kStart + milliseconds{1400});
  CHECK(TrySend(pacer, kStart + milliseconds{1400}));
}

TEST_CASE("starts that are not sent yet count") {
  // Guards against connections that open slowly and carry their requests at the
  // same moment.
  ColdPacer pacer = MakePacer(3, kStart + base::seconds{30});
  int started = 0;
  for (int i = 0; i < 5000; i += 10) {
    const TimePoint now = kStart + milliseconds{i};
    if (EarliestStart(pacer, 0, now) <= now) {
      RecordStart(pacer, now);
      ++started;
    }
  }
  CHECK(started == 3);
  const TimePoint now = kStart + base::seconds{5};
  for (int i = 0; i < 3; ++i) {
    CHECK(MaySend(pacer, now));
    RecordSend(pacer, now);
  }
  CHECK(EarliestStart(pacer, 0, now) == now + base::seconds{1});
}

TEST_CASE("a request that was started before its target became cold") {
  // Guards against a request that is sent to a target that has become cold
  // while the connection was opened, beyond what it may get in this second.
  ColdPacer pacer = MakePacer(2, kStart);
  for (int i = 0; i < 4; ++i) {
    RecordStart(pacer, kStart);
  }
  pacer.cold_until = kStart + base::seconds{30};
  int sent = 0;
  for (int i = 0; i < 4; ++i) {
    if (MaySend(pacer, kStart)) {
      RecordSend(pacer, kStart);
      ++sent;
    } else {
      CancelStart(pacer);
    }
  }
  CHECK(sent == 2);
  CHECK(pacer.unsent == 0);
}

TEST_CASE("a start that is cancelled leaves its place to the next request") {
  // Guards against requests that are refused as they are to be sent and use up
  // the pace of a cold target.
  ColdPacer pacer = MakePacer(10, kStart + base::seconds{30});
  for (int i = 0; i < 20; ++i) {
    CHECK(EarliestStart(pacer, 0, kStart) == kStart);
    RecordStart(pacer, kStart);
    CancelStart(pacer);
  }
  CHECK(TrySend(pacer, kStart));
  CHECK(EarliestStart(pacer, 0, kStart) == kStart + milliseconds{100});
}

TEST_CASE("a cold target gets nothing while its last second is not known") {
  // Guards against a daemon that is started again and adds its full rate to
  // what its former process has sent in the same second.
  ColdPacer pacer = MakePacer(10, kStart + base::seconds{30});
  pacer.known_since = kStart;
  const TimePoint known_at = kStart + base::seconds{1};
  CHECK(EarliestStart(pacer, 0, kStart) == known_at);
  RecordStart(pacer, kStart);
  CHECK(!MaySend(pacer, known_at - milliseconds{1}));
  CHECK(MaySend(pacer, known_at));
}

TEST_CASE("the expected starts of those who wait are spaced") {
  ColdPacer pacer = MakePacer(10, kStart + base::seconds{30});
  CHECK(TrySend(pacer, kStart));
  CHECK(EarliestStart(pacer, 0, kStart) == kStart + milliseconds{100});
  CHECK(EarliestStart(pacer, 5, kStart) == kStart + milliseconds{600});
  // After that it is warm.
  CHECK(EarliestStart(pacer, 1000, kStart) == pacer.cold_until);
}

}  // namespace
}  // namespace eelgrassbridge::limits
