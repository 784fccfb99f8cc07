// Guards against daemons that together admit more than a limit because they
// learn each other's demand late.
#include "eelgrassbridge/limits/account_limiter.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <deque>

namespace eelgrassbridge::limits {

namespace {

using base::DaemonId;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

constexpr std::uint32_t kDaemons = 5;
const std::string kLimitName = AccountLimitName("yard");

struct Message {
  std::size_t from = 0;
  std::size_t to = 0;
  TimePoint due;
  std::vector<Demand> demands;
};

struct Fleet {
  std::vector<AccountLimiter> daemons{kDaemons};
  std::deque<Message> messages;
  std::vector<TimePoint> last_due =
      std::vector<TimePoint>(std::size_t{kDaemons} * kDaemons);
};

Fleet MakeFleet() {
  Fleet fleet;
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    SetFleet(fleet.daemons[i], DaemonId{i + 1}, i, kDaemons, {});
  }
  return fleet;
}

/// One round of gossip, run once per second. A message is delivered in order
/// at the first call after its delay of up to 3.5 s, which is less than the
/// propagation delay.
void Gossip(Fleet& fleet, TimePoint now, unsigned delay) {
  for (std::size_t i = 0; i < kDaemons; ++i) {
    const auto demands = PublishDemand(fleet.daemons[i], now);
    for (std::size_t j = 0; j < kDaemons && !demands.empty(); ++j) {
      TimePoint& due = fleet.last_due[i * kDaemons + j];
      due = std::max(due, now + milliseconds{(delay + 7 * j) % 3500});
      fleet.messages.push_back({i, j, due, demands});
    }
  }
  std::erase_if(fleet.messages, [&](const Message& message) {
    if (message.due > now) {
      return false;
    }
    if (message.to != message.from) {
      MergeDemand(fleet.daemons[message.to], DaemonId{message.from + 1},
                  message.demands, now);
    }
    return true;
  });
}

double SumShares(const Fleet& fleet) {
  double sum = 0;
  for (const AccountLimiter& daemon : fleet.daemons) {
    sum += RateShareOf(daemon, kLimitName);
  }
  return sum;
}

int SendRequests(AccountLimiter& daemon,
                 const LimitRef& ref,
                 int count,
                 TimePoint now) {
  int admitted = 0;
  for (int i = 0; i < count; ++i) {
    if (!AcquireAll(daemon, {&ref, 1}, now)) {
      Release(daemon, {&ref, 1});
      ++admitted;
    }
  }
  return admitted;
}

using Steps = std::vector<std::pair<unsigned, unsigned>>;

/// Sends requests to varying daemons and checks the sums after each step.
void CheckSums(const Steps& steps) {
  Fleet fleet = MakeFleet();
  TimePoint now{seconds{1}};
  constexpr std::uint32_t kRate = 50;
  const LimitRef ref{kLimitName, kRate, 7};
  std::uint64_t admitted = 0;
  const TimePoint started_at = now;
  for (const auto& [where, how_many] : steps) {
    for (unsigned i = 0; i < how_many % 200; ++i) {
      AccountLimiter& daemon = fleet.daemons[(where + i % 2) % kDaemons];
      if (!AcquireAll(daemon, {&ref, 1}, now)) {
        ++admitted;
        // Every other request stays in flight for this second.
        if (i % 2 == 0) {
          Release(daemon, {&ref, 1});
        }
      }
      now += milliseconds{1};
    }
    std::uint32_t in_flight = 0;
    for (AccountLimiter& daemon : fleet.daemons) {
      const auto found = daemon.limits.find(kLimitName);
      if (found != daemon.limits.end()) {
        in_flight += found->second.in_flight;
        found->second.in_flight = 0;
      }
    }
    RC_ASSERT(SumShares(fleet) <= 1 + 1e-9);
    RC_ASSERT(in_flight <= 7U);
    now += seconds{1};
    Gossip(fleet, now, where * 997);
  }
  const double elapsed =
      std::chrono::duration<double>(now - started_at).count();
  // Each bucket starts full with one second of its share, at least one request.
  RC_ASSERT(static_cast<double>(admitted) <= kRate * (elapsed + 1) + kDaemons);
}

}  // namespace

TEST_CASE("the fleet stays within a limit while demand moves around") {
  CHECK(rc::check([](const Steps& steps) { CheckSums(steps); }));
}

// Guards against shares that exceed the limit when demands are learned late. In
// these cases daemons that only delayed the increase of their shares admitted
// 1.002 and 1.018 times the limit.
TEST_CASE("demands learned late at different times stay within the limit") {
  CHECK(rc::check([] {
    CheckSums({{7, 2},
               {0, 0},
               {0, 0},
               {0, 0},
               {2, 2},
               {0, 0},
               {0, 0},
               {244335317, 2},
               {0, 0},
               {16868912, 2},
               {0, 1}});
    CheckSums({{2, 1},
               {0, 0},
               {3, 2},
               {0, 0},
               {0, 0},
               {1, 6},
               {28, 4},
               {6, 12},
               {8, 2},
               {26, 2},
               {0, 1}});
  }));
}

TEST_CASE("shares add up to one and follow demand above the floor") {
  CHECK(rc::check(
      [](const std::vector<std::uint16_t>& demands, std::uint16_t limit) {
        double total = 0;
        for (const std::uint16_t demand : demands) {
          total += demand;
        }
        const auto count = static_cast<std::uint32_t>(demands.size());
        double sum = 0;
        for (const std::uint16_t demand : demands) {
          const double share =
              ComputeShare({static_cast<double>(demand), total, count,
                            static_cast<double>(limit), 0.2});
          RC_ASSERT(share >= 0.2 / count - 1e-9);
          sum += share;
        }
        RC_ASSERT(demands.empty() || std::abs(sum - 1) < 1e-9);
      }));
}

TEST_CASE("a single daemon admits the whole limit and then rejects requests") {
  AccountLimiter limiter;
  const LimitRef ref{kLimitName, 10, 0};
  CHECK(SendRequests(limiter, ref, 100, TimePoint{seconds{1}}) == 10);
  CHECK(RetryAfter(limiter, {&ref, 1}) == milliseconds{100});
}

TEST_CASE("a request rejected by one limit uses none of the others") {
  AccountLimiter limiter;
  const std::string service = ServiceLimitName("booking");
  const std::vector<LimitRef> both{{service, 0, 5}, {kLimitName, 0, 1}};
  const TimePoint now{seconds{1}};
  CHECK_FALSE(AcquireAll(limiter, both, now).has_value());
  CHECK(AcquireAll(limiter, both, now) == base::ErrorKind::kAccountLimit);
  CHECK(limiter.limits.find(service)->second.in_flight == 1);
  Release(limiter, both);
  CHECK_FALSE(AcquireAll(limiter, both, now).has_value());
}

TEST_CASE("daemons that agree on the demand divide the whole limit") {
  Fleet fleet = MakeFleet();
  const LimitRef ref{kLimitName, 0, 9};
  TimePoint now{seconds{1}};
  for (int second = 0; second < 30; ++second) {
    for (AccountLimiter& daemon : fleet.daemons) {
      SendRequests(daemon, ref, 5, now);
    }
    now += seconds{1};
    Gossip(fleet, now, 0);
  }
  double admitted = 0;
  for (const AccountLimiter& daemon : fleet.daemons) {
    admitted += daemon.limits.find(kLimitName)->second.in_flight_share;
  }
  CHECK(admitted == 9);
}

TEST_CASE("an invalid demand from a peer neither breaks nor claims the limit") {
  AccountLimiter limiter;
  SetFleet(limiter, DaemonId{1}, 0, 2, {});
  const LimitRef ref{kLimitName, 10, 0};
  REQUIRE(SendRequests(limiter, ref, 1, TimePoint{seconds{1}}) == 1);
  for (const double figure : {std::nan(""), -5.0, 1e300}) {
    const Demand demand{kLimitName, figure};
    MergeDemand(limiter, DaemonId{2}, {&demand, 1}, TimePoint{seconds{1}});
    CHECK(RateShareOf(limiter, kLimitName) >= 0.1 - 1e-9);
    CHECK(RateShareOf(limiter, kLimitName) <= 1);
  }
}

TEST_CASE("shares stay within the limit while a sudden demand propagates") {
  for (int phase = 0; phase < 6; ++phase) {
    Fleet fleet = MakeFleet();
    const LimitRef ref{kLimitName, 100, 0};
    TimePoint now{seconds{1}};
    for (int second = 0; second < 40; ++second) {
      SendRequests(fleet.daemons[0], ref, 10, now);
      SendRequests(fleet.daemons[1], ref, second < 20 + phase ? 1 : 100, now);
      now += seconds{1};
      Gossip(fleet, now, 3400);
      CHECK(SumShares(fleet) <= 1 + 1e-9);
    }
  }
}

// Guards against limiting new demand on one daemon to the floor, 4/s of 100/s,
// while 90/s of the limit are unused.
TEST_CASE("new demand is not rejected while most of the limit is unused") {
  Fleet fleet = MakeFleet();
  const LimitRef ref{kLimitName, 100, 0};
  TimePoint now{seconds{1}};
  int refused = 0;
  for (int second = 0; second < 40; ++second) {
    for (int i = 0; i < 10; ++i) {
      refused += 1 - SendRequests(fleet.daemons[0], ref, 1, now);
      refused +=
          second < 20 ? 0 : 1 - SendRequests(fleet.daemons[1], ref, 1, now);
      now += milliseconds{100};
    }
    Gossip(fleet, now, 3400);
    CHECK(SumShares(fleet) <= 1 + 1e-9);
  }
  CHECK(refused == 0);
}

TEST_CASE("a daemon with all the demand gets its share after the delay") {
  Fleet fleet = MakeFleet();
  const LimitRef ref{kLimitName, 100, 0};
  TimePoint now{seconds{1}};
  int admitted = 0;
  for (int second = 0; second < 30; ++second) {
    admitted = 0;
    for (int i = 0; i < 200; ++i) {
      admitted += SendRequests(fleet.daemons[0], ref, 1, now);
      now += milliseconds{5};
    }
    Gossip(fleet, now, 0);
  }
  // An even share of 0.2 / 5 plus 0.8 by demand is 84 of 100.
  CHECK(admitted >= 83);
  CHECK(admitted <= 85);
}

}  // namespace eelgrassbridge::limits
