// Grants reservations in order of arrival and releases them.
#include "eelgrassbridge/daemon/body_budget.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassbridge::daemon {

namespace {

void ReleaseBytes(BodyBudget& budget, std::uint64_t bytes) {
  {
    const std::scoped_lock lock(budget.mutex);
    budget.available += bytes;
  }
  budget.changed.notify_all();
}

}  // namespace

BodyReservation::BodyReservation(BodyBudget& from, std::uint64_t taken)
    : budget(&from), bytes(taken) {}

BodyReservation::BodyReservation(BodyReservation&& other) noexcept
    : budget(std::exchange(other.budget, nullptr)),
      bytes(std::exchange(other.bytes, 0)) {}

BodyReservation& BodyReservation::operator=(BodyReservation&& other) noexcept {
  if (this != &other) {
    ShrinkReservation(*this, 0);
    this->budget = std::exchange(other.budget, nullptr);
    this->bytes = std::exchange(other.bytes, 0);
  }
  return *this;
}

BodyReservation::~BodyReservation() {
  ShrinkReservation(*this, 0);
}

std::optional<BodyReservation> ReserveBody(BodyBudget& budget,
                                           std::uint64_t bytes,
                                           base::TimePoint deadline) {
  if (bytes <= kUnreservedBodyBytes) {
    return BodyReservation{};
  }
  const std::uint64_t needed = std::min(bytes, budget.size);
  std::unique_lock lock(budget.mutex);
  const std::uint64_t ticket = budget.next_ticket++;
  budget.waiting_tickets.push_back(ticket);
  const bool is_granted =
      budget.changed.wait_for(lock, deadline - base::BootClock::now(), [&] {
        return budget.waiting_tickets.front() == ticket &&
               budget.available >= needed;
      });
  std::erase(budget.waiting_tickets, ticket);
  if (is_granted) {
    budget.available -= needed;
  }
  lock.unlock();
  // The next waiting reservation may fit as well.
  budget.changed.notify_all();
  return is_granted ? std::optional(BodyReservation(budget, needed))
                    : std::nullopt;
}

void ShrinkReservation(BodyReservation& reservation, std::uint64_t bytes) {
  const std::uint64_t wanted = bytes <= kUnreservedBodyBytes ? 0 : bytes;
  if (reservation.budget == nullptr || wanted >= reservation.bytes) {
    return;
  }
  ReleaseBytes(*reservation.budget, reservation.bytes - wanted);
  reservation.bytes = wanted;
  if (wanted == 0) {
    reservation.budget = nullptr;
  }
}

}  // namespace eelgrassbridge::daemon
