// Turns between client accounts.
#include "eelgrassbridge/limits/target_queue.hpp"

#include <algorithm>

namespace eelgrassbridge::limits::detail {

namespace {

auto Find(std::deque<AccountQueue>& turns, std::string_view account) {
  return std::find_if(
      turns.begin(), turns.end(),
      [&](const AccountQueue& item) { return item.account == account; });
}

}  // namespace

void Push(ClassQueue& queue, std::string_view account, const Waiting& waiting) {
  const auto found = Find(queue.turns, account);
  AccountQueue& own =
      found != queue.turns.end()
          ? *found
          : queue.turns.emplace_back(AccountQueue{std::string(account), {}});
  // A request that has to start sooner goes before those that can wait longer.
  const auto place =
      waiting.to_start ? std::ranges::upper_bound(own.waiting, waiting.deadline,
                                                  {}, &Waiting::deadline)
                       : own.waiting.end();
  own.waiting.insert(place, waiting);
  ++queue.size;
}

Waiting PopNext(ClassQueue& queue) {
  AccountQueue turn = std::move(queue.turns.front());
  queue.turns.pop_front();
  const Waiting next = turn.waiting.front();
  turn.waiting.pop_front();
  --queue.size;
  if (!turn.waiting.empty()) {
    queue.turns.push_back(std::move(turn));
  }
  return next;
}

std::size_t WaitingOf(const ClassQueue& queue, std::string_view account) {
  const auto found = std::find_if(
      queue.turns.begin(), queue.turns.end(),
      [&](const AccountQueue& item) { return item.account == account; });
  return found == queue.turns.end() ? 0 : found->waiting.size();
}

std::size_t WaitingBefore(const ClassQueue& queue,
                          std::string_view account,
                          base::TimePoint latest_start) {
  const auto found = std::find_if(
      queue.turns.begin(), queue.turns.end(),
      [&](const AccountQueue& item) { return item.account == account; });
  if (found == queue.turns.end()) {
    return 0;
  }
  return static_cast<std::size_t>(std::ranges::count_if(
      found->waiting, [latest_start](const Waiting& waiting) {
        return waiting.deadline <= latest_start;
      }));
}

std::optional<Ticket> TakeFromLongest(ClassQueue& queue, std::size_t least) {
  const auto longest =
      std::max_element(queue.turns.begin(), queue.turns.end(),
                       [](const AccountQueue& a, const AccountQueue& b) {
                         return a.waiting.size() < b.waiting.size();
                       });
  if (longest == queue.turns.end() || longest->waiting.size() <= least) {
    return std::nullopt;
  }
  const Ticket ticket = longest->waiting.back().ticket;
  longest->waiting.pop_back();
  --queue.size;
  if (longest->waiting.empty()) {
    queue.turns.erase(longest);
  }
  return ticket;
}

std::vector<Ticket> TakeExpired(ClassQueue& queue,
                                base::TimePoint now,
                                base::TimePoint& next_expiry) {
  std::vector<Ticket> expired;
  for (AccountQueue& turn : queue.turns) {
    std::erase_if(turn.waiting, [&](const Waiting& waiting) {
      if (waiting.deadline <= now) {
        expired.push_back(waiting.ticket);
        return true;
      }
      next_expiry = std::min(next_expiry, waiting.deadline);
      return false;
    });
  }
  std::erase_if(queue.turns,
                [](const AccountQueue& turn) { return turn.waiting.empty(); });
  queue.size -= static_cast<std::uint32_t>(expired.size());
  return expired;
}

bool Remove(ClassQueue& queue, Ticket ticket) {
  for (auto turn = queue.turns.begin(); turn != queue.turns.end(); ++turn) {
    const auto removed = std::erase_if(
        turn->waiting,
        [&](const Waiting& waiting) { return waiting.ticket == ticket; });
    if (removed == 0) {
      continue;
    }
    --queue.size;
    if (turn->waiting.empty()) {
      queue.turns.erase(turn);
    }
    return true;
  }
  return false;
}

}  // namespace eelgrassbridge::limits::detail
