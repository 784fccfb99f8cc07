// Guards the memory bound on bodies, and against a body that waits for ever.
#include "eelgrassbridge/daemon/body_budget.hpp"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

namespace eelgrassbridge::daemon {

namespace {

constexpr std::uint64_t kMiB = std::uint64_t{1024} * 1024;

base::TimePoint Passed() {
  return base::BootClock::now() - base::seconds{1};
}

base::TimePoint FarAway() {
  return base::BootClock::now() + base::seconds{60};
}

}  // namespace

TEST_CASE("bodies never hold more than the budget") {
  BodyBudget budget(4 * kMiB);
  auto first = ReserveBody(budget, 3 * kMiB, Passed());
  REQUIRE(first);
  CHECK_FALSE(ReserveBody(budget, 2 * kMiB, Passed()));
  CHECK(ReserveBody(budget, 1 * kMiB, Passed()));
  CHECK(budget.available == 1 * kMiB);
  first.reset();
  CHECK(budget.available == 4 * kMiB);
}

TEST_CASE("a small body does not wait for large ones") {
  BodyBudget budget(kMiB);
  const auto all = ReserveBody(budget, kMiB, Passed());
  REQUIRE(all);
  CHECK(ReserveBody(budget, kUnreservedBodyBytes, Passed()));
}

TEST_CASE("a body larger than the budget takes all of it") {
  BodyBudget budget(kMiB);
  const auto reservation = ReserveBody(budget, 5 * kMiB, Passed());
  REQUIRE(reservation);
  CHECK(budget.available == 0);
}

TEST_CASE("a share that shrinks or moves gives back each byte once") {
  BodyBudget budget(4 * kMiB);
  auto reservation = ReserveBody(budget, 4 * kMiB, Passed());
  REQUIRE(reservation);
  ShrinkReservation(*reservation, 1 * kMiB);
  CHECK(budget.available == 3 * kMiB);
  BodyReservation moved = std::move(*reservation);
  reservation.reset();
  CHECK(budget.available == 3 * kMiB);
  ShrinkReservation(moved, 10);
  CHECK(budget.available == 4 * kMiB);
}

TEST_CASE("those who wait are all served, in any order of release") {
  BodyBudget budget(2 * kMiB);
  std::atomic<int> served = 0;
  constexpr int kThreads = 8;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      for (int round = 0; round < 50; ++round) {
        const auto reservation = ReserveBody(
            budget, static_cast<std::uint64_t>(i % 2 + 1) * kMiB, FarAway());
        served += reservation ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(served == 400);
  CHECK(budget.available == 2 * kMiB);
  CHECK(budget.waiting_tickets.empty());
}

}  // namespace eelgrassbridge::daemon
