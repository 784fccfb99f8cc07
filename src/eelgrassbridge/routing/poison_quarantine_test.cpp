// Guards against a poison request that kills more than two targets, and against
// a quarantine that is lost or that hits other requests.
#include "eelgrassbridge/routing/poison_quarantine.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace eelgrassbridge::routing {

namespace {

using base::DaemonId;
using base::seconds;
using base::TimePoint;

const Fingerprint kFingerprint =
    RequestFingerprint("s", "k", "/p", "key", "body");
constexpr TimePoint kStart{seconds{1000}};

/// Gossips changes around the ring of daemons until no state changes any more.
void Spread(std::vector<PoisonQuarantine>& daemons, TimePoint now) {
  for (bool changed = true; changed;) {
    changed = false;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      PoisonQuarantine& next = daemons[(i + 1) % daemons.size()];
      for (const SuspectRecord& record :
           TakeChangedSuspects(daemons[i], 100, now)) {
        changed = MergeSuspect(next, record, now) || changed;
      }
    }
  }
}

}  // namespace

TEST_CASE("a poison request kills at most two targets") {
  CHECK(rc::check([](const std::vector<std::pair<unsigned, bool>>& sends) {
    constexpr std::size_t kDaemons = 4;
    std::vector<PoisonQuarantine> daemons(kDaemons);
    const std::vector<DaemonId> ids{{1}, {2}, {3}, {4}};
    TimePoint now = kStart;
    int deaths = 0;
    std::uint64_t instance = 0;
    for (const auto& [where, resent_at_once] : sends) {
      // A resend to the same entry daemon arrives before gossip has reached the
      // other daemons.
      for (int copy = 0; copy < (resent_at_once ? 2 : 1); ++copy) {
        const std::size_t entry = where % kDaemons;
        const PoisonVerdict verdict =
            VerdictOf(daemons[entry], kFingerprint, now);
        if (verdict == PoisonVerdict::kQuarantined) {
          continue;
        }
        std::size_t runner = (where / 4) % kDaemons;
        if (verdict == PoisonVerdict::kSingleRun) {
          runner = DaemonForSuspect(kFingerprint, ids)->value - 1;
          if (!TryStartSingleRun(daemons[runner], kFingerprint, now)) {
            continue;
          }
        }
        ++deaths;
        const auto run =
            TargetRunIdentity(ids[runner], std::to_string(++instance));
        EndSingleRun(daemons[runner], kFingerprint, false);
        RecordTargetDeath(daemons[runner], kFingerprint, run, now);
        RecordTargetDeath(daemons[entry], kFingerprint, run, now);
      }
      now += seconds{2};
      Spread(daemons, now);
      RC_ASSERT(deaths <= 2);
    }
  }));
}

TEST_CASE("merging suspects is commutative and idempotent") {
  CHECK(rc::check([](std::vector<std::pair<std::uint8_t, bool>> deaths) {
    PoisonQuarantine first;
    PoisonQuarantine second;
    const auto record = [](const std::pair<std::uint8_t, bool>& death) {
      return SuspectRecord{
          kFingerprint, {{death.first % 6U, death.second}}, {}};
    };
    for (const auto& death : deaths) {
      MergeSuspect(first, record(death), kStart);
    }
    std::reverse(deaths.begin(), deaths.end());
    for (int repeat = 0; repeat < 2; ++repeat) {
      for (const auto& death : deaths) {
        MergeSuspect(second, record(death), kStart);
      }
    }
    RC_ASSERT(VerdictOf(first, kFingerprint, kStart) ==
              VerdictOf(second, kFingerprint, kStart));
  }));
}

TEST_CASE("an answered single run clears only deaths known at its start") {
  PoisonQuarantine quarantine;
  RecordTargetDeath(quarantine, kFingerprint, 1, kStart);
  REQUIRE(TryStartSingleRun(quarantine, kFingerprint, kStart));
  CHECK_FALSE(TryStartSingleRun(quarantine, kFingerprint, kStart));
  RecordTargetDeath(quarantine, kFingerprint, 2, kStart);
  EndSingleRun(quarantine, kFingerprint, true);
  CHECK(VerdictOf(quarantine, kFingerprint, kStart) ==
        PoisonVerdict::kSingleRun);
}

TEST_CASE("a quarantined request does not run before its hold has ended") {
  PoisonQuarantine quarantine;
  RecordTargetDeath(quarantine, kFingerprint, 1, kStart);
  RecordTargetDeath(quarantine, kFingerprint, 1, kStart);
  CHECK(VerdictOf(quarantine, kFingerprint, kStart) ==
        PoisonVerdict::kSingleRun);
  RecordTargetDeath(quarantine, kFingerprint, 2, kStart);
  CHECK_FALSE(
      TryStartSingleRun(quarantine, kFingerprint, kStart + seconds{599}));
  CHECK(VerdictOf(quarantine, kFingerprint, kStart + seconds{600}) ==
        PoisonVerdict::kNormal);
  DropExpired(quarantine, kStart + seconds{600});
  CHECK(quarantine.suspects.empty());
}

TEST_CASE("a flood of suspects does not evict a quarantined fingerprint") {
  PoisonQuarantine quarantine;
  quarantine.options.capacity = 10;
  RecordTargetDeath(quarantine, kFingerprint, 1, kStart);
  RecordTargetDeath(quarantine, kFingerprint, 2, kStart);
  for (std::uint64_t i = 0; i < 100; ++i) {
    RecordTargetDeath(quarantine, {i, i}, 3, kStart + seconds{1});
  }
  CHECK(quarantine.suspects.size() == 10);
  CHECK(VerdictOf(quarantine, kFingerprint, kStart + seconds{1}) ==
        PoisonVerdict::kQuarantined);
}

TEST_CASE("parts with the same concatenation have different fingerprints") {
  CHECK(RequestFingerprint("s", "k", "/p", "ke", "ybody") != kFingerprint);
  CHECK(RequestFingerprint("s", "k", "/pk", "ey", "body") != kFingerprint);
  CHECK(RequestFingerprint("s", "k", "/p", "key", "body") == kFingerprint);
}

}  // namespace eelgrassbridge::routing
