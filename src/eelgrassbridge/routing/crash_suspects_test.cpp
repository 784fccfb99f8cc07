// Guards against a request that crashes targets without end, and against the
// refusal of requests that only ran where a target crashed.
#include "eelgrassbridge/routing/crash_suspects.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::routing {
namespace {

constexpr Fingerprint kRequest{1, 2};

base::Duration At(int milliseconds) {
  return base::milliseconds{milliseconds};
}

TargetCrash Crash(std::uint64_t run, int began, int crashed) {
  return {run, At(began), At(crashed)};
}

CrashVerdict Verdict(const CrashSuspects& suspects, int now) {
  return VerdictOf(suspects, kRequest, At(now));
}

TEST_CASE("crashes in a row quarantine a request for some time") {
  // Guards against a request that is never tried again, and against one whose
  // next crash after the quarantine counts as the first.
  CrashSuspects suspects;
  CHECK(Verdict(suspects, 900) == CrashVerdict::kNormal);
  RecordCrash(suspects, kRequest, Crash(1, 1000, 1001));
  CHECK(Verdict(suspects, 1100) == CrashVerdict::kNoRetry);
  RecordCrash(suspects, kRequest, Crash(2, 2000, 2001));
  CHECK(Verdict(suspects, 2100) == CrashVerdict::kQuarantined);
  CHECK(Verdict(suspects, 62100) == CrashVerdict::kNoRetry);
  RecordCrash(suspects, kRequest, Crash(3, 62200, 62201));
  CHECK(Verdict(suspects, 62300) == CrashVerdict::kQuarantined);
  CHECK(Verdict(suspects, 700000) == CrashVerdict::kNormal);
}

TEST_CASE("targets that crash at the same time count once") {
  // Guards against the quarantine of a request that many callers send and that
  // runs on several targets when their machines fail together.
  CrashSuspects suspects;
  RecordCrash(suspects, kRequest, Crash(1, 950, 1000));
  RecordCrash(suspects, kRequest, Crash(2, 970, 1002));
  RecordCrash(suspects, kRequest, Crash(3, 900, 1001));
  CHECK(Verdict(suspects, 1100) == CrashVerdict::kNoRetry);
}

TEST_CASE("a refutation that is known before its crashes counts") {
  // Guards against a daemon that has just been started, reads the row with the
  // answer before those with the crashes, and refuses the request.
  CrashSuspects suspects;
  RecordRefutation(suspects, kRequest, At(1500));
  CHECK(Verdict(suspects, 1600) == CrashVerdict::kNormal);
  RecordCrash(suspects, kRequest, Crash(1, 950, 1000));
  RecordCrash(suspects, kRequest, Crash(2, 1100, 1200));
  CHECK(Verdict(suspects, 1600) == CrashVerdict::kNormal);
  RecordCrash(suspects, kRequest, Crash(3, 1800, 1900));
  CHECK(Verdict(suspects, 2000) == CrashVerdict::kNoRetry);
  DropExpired(suspects, At(1000000));
  CHECK(suspects.suspects.empty());
}

TEST_CASE("an answered run refutes the crashes before it") {
  // Guards against the quarantine of a request that targets run well.
  CrashSuspects suspects;
  RecordCrash(suspects, kRequest, Crash(1, 950, 1000));
  RecordAnsweredRun(suspects, kRequest, At(1500));
  CHECK(Verdict(suspects, 1600) == CrashVerdict::kNormal);
  RecordCrash(suspects, kRequest, Crash(2, 1400, 1600));
  CHECK(Verdict(suspects, 1700) == CrashVerdict::kNormal);
  RecordCrash(suspects, kRequest, Crash(3, 1800, 1900));
  CHECK(Verdict(suspects, 2000) == CrashVerdict::kNoRetry);
}

TEST_CASE("a crash that is reported twice or late counts once, in its place") {
  // Guards against evidence that depends on the order of the rows.
  CrashSuspects suspects;
  RecordCrash(suspects, kRequest, Crash(2, 2000, 2001));
  RecordCrash(suspects, kRequest, Crash(2, 2000, 2001));
  CHECK(Verdict(suspects, 2100) == CrashVerdict::kNoRetry);
  RecordCrash(suspects, kRequest, Crash(1, 1000, 1001));
  CHECK(Verdict(suspects, 2100) == CrashVerdict::kQuarantined);
}

TEST_CASE("the number of suspects and of their crashes is bounded") {
  // Guards against memory that grows with each crash.
  CrashSuspects suspects;
  suspects.options.capacity = 3;
  for (std::uint64_t i = 0; i < 10; ++i) {
    const int time = static_cast<int>(i) * 1000;
    RecordCrash(suspects, {i, i}, Crash(i, time + 1, time + 2));
    RecordCrash(suspects, {9, 9}, Crash(i, time + 1, time + 2));
  }
  CHECK(suspects.suspects.size() == 3);
  CHECK(suspects.suspects[{9, 9}].crashes.size() ==
        suspects.options.max_crashes);
  DropExpired(suspects, At(10000) + suspects.options.memory);
  CHECK(suspects.suspects.empty());
}

}  // namespace
}  // namespace eelgrassbridge::routing
