// Tests that reservations never exceed the budget, that every waiting one is
// granted, and that no byte is released twice or lost.
#include "eelgrassbridge/daemon/body_budget.hpp"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

namespace eelgrassbridge::daemon {

namespace {

constexpr std::uint64_t kMiB = std::uint64_t{1024} * 1024;

base::TimePoint PastDeadline() {
  return base::BootClock::now() - base::seconds{1};
}

base::TimePoint FarDeadline() {
  return base::BootClock::now() + base::seconds{60};
}

}  // namespace

TEST_CASE("reservations never exceed the budget") {
  BodyBudget budget(4 * kMiB);
  auto first = ReserveBody(budget, 3 * kMiB, PastDeadline());
  REQUIRE(first);
  CHECK_FALSE(ReserveBody(budget, 2 * kMiB, PastDeadline()));
  CHECK(ReserveBody(budget, 1 * kMiB, PastDeadline()));
  CHECK(budget.available == 1 * kMiB);
  first.reset();
  CHECK(budget.available == 4 * kMiB);
}

TEST_CASE("a small body needs no reservation when the budget is exhausted") {
  BodyBudget budget(kMiB);
  const auto all = ReserveBody(budget, kMiB, PastDeadline());
  REQUIRE(all);
  CHECK(ReserveBody(budget, kUnreservedBodyBytes, PastDeadline()));
}

TEST_CASE("a body larger than the budget reserves the whole budget") {
  BodyBudget budget(kMiB);
  const auto reservation = ReserveBody(budget, 5 * kMiB, PastDeadline());
  REQUIRE(reservation);
  CHECK(budget.available == 0);
}

TEST_CASE("each byte is released once if a reservation shrinks or is moved") {
  BodyBudget budget(4 * kMiB);
  auto reservation = ReserveBody(budget, 4 * kMiB, PastDeadline());
  REQUIRE(reservation);
  ShrinkReservation(*reservation, 1 * kMiB);
  CHECK(budget.available == 3 * kMiB);
  BodyReservation moved = std::move(*reservation);
  reservation.reset();
  CHECK(budget.available == 3 * kMiB);
  ShrinkReservation(moved, 10);
  CHECK(budget.available == 4 * kMiB);
}

TEST_CASE("concurrent waiting reservations are all granted") {
  BodyBudget budget(2 * kMiB);
  std::atomic<int> served = 0;
  constexpr int kThreads = 8;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      for (int round = 0; round < 50; ++round) {
        const auto reservation =
            ReserveBody(budget, static_cast<std::uint64_t>(i % 2 + 1) * kMiB,
                        FarDeadline());
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
