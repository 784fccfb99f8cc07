// Waiting for room, and its return.
#include "eelgrassbridge/daemon/body_budget.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassbridge::daemon {

namespace {

void GiveBack(BodyBudget& budget, std::uint64_t bytes) {
  {
    const std::scoped_lock lock(budget.mutex);
    budget.free += bytes;
  }
  budget.changed.notify_all();
}

}  // namespace

BodyShare::BodyShare(BodyBudget& from, std::uint64_t taken)
    : budget(&from), bytes(taken) {}

BodyShare::BodyShare(BodyShare&& other) noexcept
    : budget(std::exchange(other.budget, nullptr)),
      bytes(std::exchange(other.bytes, 0)) {}

BodyShare& BodyShare::operator=(BodyShare&& other) noexcept {
  if (this != &other) {
    ShrinkBodyShare(*this, 0);
    this->budget = std::exchange(other.budget, nullptr);
    this->bytes = std::exchange(other.bytes, 0);
  }
  return *this;
}

BodyShare::~BodyShare() {
  ShrinkBodyShare(*this, 0);
}

std::optional<BodyShare> TakeBodyShare(BodyBudget& budget,
                                       std::uint64_t bytes,
                                       base::TimePoint deadline) {
  if (bytes <= kFreeBodyBytes) {
    return BodyShare{};
  }
  const std::uint64_t needed = std::min(bytes, budget.size);
  std::unique_lock lock(budget.mutex);
  const std::uint64_t ticket = budget.next_ticket++;
  budget.waiting.push_back(ticket);
  const bool is_granted =
      budget.changed.wait_for(lock, deadline - base::BootClock::now(), [&] {
        return budget.waiting.front() == ticket && budget.free >= needed;
      });
  std::erase(budget.waiting, ticket);
  if (is_granted) {
    budget.free -= needed;
  }
  lock.unlock();
  // The next in line may fit as well.
  budget.changed.notify_all();
  return is_granted ? std::optional(BodyShare(budget, needed)) : std::nullopt;
}

void ShrinkBodyShare(BodyShare& share, std::uint64_t bytes) {
  const std::uint64_t wanted = bytes <= kFreeBodyBytes ? 0 : bytes;
  if (share.budget == nullptr || wanted >= share.bytes) {
    return;
  }
  GiveBack(*share.budget, share.bytes - wanted);
  share.bytes = wanted;
  if (wanted == 0) {
    share.budget = nullptr;
  }
}

}  // namespace eelgrassbridge::daemon
