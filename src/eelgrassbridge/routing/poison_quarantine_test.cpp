// Guards against a request that kills more than two targets.
#include "eelgrassbridge/routing/poison_quarantine.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace eelgrassbridge::routing {

namespace {

using base::DaemonId;
using base::seconds;
using base::TimePoint;

const Fingerprint kPrint = RequestFingerprint("s", "k", "/p", "key", "body");
constexpr TimePoint kStart{seconds{1000}};

/// Passes changes on from neighbour to neighbour until nobody has news.
void Spread(std::vector<PoisonQuarantine>& daemons, TimePoint now) {
  for (bool news = true; news;) {
    news = false;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      PoisonQuarantine& next = daemons[(i + 1) % daemons.size()];
      for (const SuspectRecord& record :
           TakeChangedSuspects(daemons[i], 100, now)) {
        news = MergeSuspect(next, record, now) || news;
      }
    }
  }
}

}  // namespace

TEST_CASE("a poison request kills at most two targets, innocent ones run on") {
  CHECK(rc::check([](const std::vector<std::pair<unsigned, bool>>& sends) {
    constexpr std::size_t kDaemons = 4;
    std::vector<PoisonQuarantine> daemons(kDaemons);
    const std::vector<DaemonId> ids{{1}, {2}, {3}, {4}};
    TimePoint now = kStart;
    int deaths = 0;
    std::uint64_t instance = 0;
    for (const auto& [where, resent_at_once] : sends) {
      // A resend to the same entry comes before the others have heard.
      for (int copy = 0; copy < (resent_at_once ? 2 : 1); ++copy) {
        const std::size_t entry = where % kDaemons;
        const PoisonVerdict verdict = VerdictOf(daemons[entry], kPrint, now);
        if (verdict == PoisonVerdict::kQuarantined) {
          continue;
        }
        std::size_t runner = (where / 4) % kDaemons;
        if (verdict == PoisonVerdict::kRunAlone) {
          runner = DaemonForSuspect(kPrint, ids)->value - 1;
          if (!TryStartAlone(daemons[runner], kPrint, now)) {
            continue;
          }
        }
        ++deaths;
        const auto run =
            TargetRunIdentity(ids[runner], std::to_string(++instance));
        EndAlone(daemons[runner], kPrint, false);
        NoteDeath(daemons[runner], kPrint, run, now);
        NoteDeath(daemons[entry], kPrint, run, now);
      }
      now += seconds{2};
      Spread(daemons, now);
      RC_ASSERT(deaths <= 2);
    }
  }));
}

TEST_CASE("suspects merge to the same state in any order and repetition") {
  CHECK(rc::check([](std::vector<std::pair<std::uint8_t, bool>> deaths) {
    PoisonQuarantine first;
    PoisonQuarantine second;
    const auto record = [](const std::pair<std::uint8_t, bool>& death) {
      return SuspectRecord{kPrint, {{death.first % 6U, death.second}}, {}};
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
    RC_ASSERT(VerdictOf(first, kPrint, kStart) ==
              VerdictOf(second, kPrint, kStart));
  }));
}

TEST_CASE("an answered run on its own clears only deaths known at its start") {
  PoisonQuarantine quarantine;
  NoteDeath(quarantine, kPrint, 1, kStart);
  REQUIRE(TryStartAlone(quarantine, kPrint, kStart));
  CHECK_FALSE(TryStartAlone(quarantine, kPrint, kStart));
  NoteDeath(quarantine, kPrint, 2, kStart);
  EndAlone(quarantine, kPrint, true);
  CHECK(VerdictOf(quarantine, kPrint, kStart) == PoisonVerdict::kRunAlone);
}

TEST_CASE("a quarantine ends after its hold and is not started before") {
  PoisonQuarantine quarantine;
  NoteDeath(quarantine, kPrint, 1, kStart);
  NoteDeath(quarantine, kPrint, 1, kStart);
  CHECK(VerdictOf(quarantine, kPrint, kStart) == PoisonVerdict::kRunAlone);
  NoteDeath(quarantine, kPrint, 2, kStart);
  CHECK_FALSE(TryStartAlone(quarantine, kPrint, kStart + seconds{599}));
  CHECK(VerdictOf(quarantine, kPrint, kStart + seconds{600}) ==
        PoisonVerdict::kNormal);
  DropExpired(quarantine, kStart + seconds{600});
  CHECK(quarantine.suspects.empty());
}

TEST_CASE("a flood of suspects cannot push out a quarantined fingerprint") {
  PoisonQuarantine quarantine;
  quarantine.options.capacity = 10;
  NoteDeath(quarantine, kPrint, 1, kStart);
  NoteDeath(quarantine, kPrint, 2, kStart);
  for (std::uint64_t i = 0; i < 100; ++i) {
    NoteDeath(quarantine, {i, i}, 3, kStart + seconds{1});
  }
  CHECK(quarantine.suspects.size() == 10);
  CHECK(VerdictOf(quarantine, kPrint, kStart + seconds{1}) ==
        PoisonVerdict::kQuarantined);
}

TEST_CASE("fingerprints tell apart parts with the same text in a row") {
  CHECK(RequestFingerprint("s", "k", "/p", "ke", "ybody") != kPrint);
  CHECK(RequestFingerprint("s", "k", "/pk", "ey", "body") != kPrint);
  CHECK(RequestFingerprint("s", "k", "/p", "key", "body") == kPrint);
}

}  // namespace eelgrassbridge::routing
