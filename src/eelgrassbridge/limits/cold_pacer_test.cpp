// Tests the pacing of requests to a cold target.
#include "eelgrassbridge/limits/cold_pacer.hpp"

#include <doctest/doctest.h>

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

TEST_CASE("a cold target gets at most its rate") {
  // Guards against overloading, and so crashing, a target that starts up.
  ColdPacer pacer = MakePacer(17, kStart + base::seconds{3});
  int started = 0;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = kStart + milliseconds{i};
    const auto start = ReserveStart(pacer, now, now + milliseconds{100});
    started += start && *start < kStart + base::seconds{1} ? 1 : 0;
  }
  CHECK(started <= 18);
  CHECK(started >= 16);
}

TEST_CASE("requests to a warm target are not delayed") {
  ColdPacer pacer = MakePacer(17, kStart);
  for (int i = 0; i < 100; ++i) {
    CHECK(ReserveStart(pacer, kStart, kStart) == kStart);
  }
}

TEST_CASE("a rejected request reserves no start time") {
  ColdPacer pacer = MakePacer(10, kStart + base::seconds{3});
  CHECK(ReserveStart(pacer, kStart, kStart));
  for (int i = 0; i < 10; ++i) {
    CHECK(!ReserveStart(pacer, kStart, kStart + milliseconds{50}));
  }
  CHECK(ReserveStart(pacer, kStart, kStart + milliseconds{100}));
}

}  // namespace
}  // namespace eelgrassbridge::limits
