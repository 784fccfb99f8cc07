// Turns of client accounts in the queue of a target.
#include "eelgrassbridge/limits/target_queue.hpp"

#include <algorithm>

namespace eelgrassbridge::limits::detail {

namespace {

auto FindAccount(std::deque<AccountQueue>& accounts, std::string_view account) {
  return std::find_if(
      accounts.begin(), accounts.end(),
      [&](const AccountQueue& item) { return item.account == account; });
}

/// Returns the account whose request is next.
auto NextAccount(std::deque<AccountQueue>& accounts) {
  const auto turn = std::ranges::find_if(
      accounts, [](const AccountQueue& item) { return !item.account.empty(); });
  const auto none = FindAccount(accounts, {});
  if (none == accounts.end() || turn == accounts.end()) {
    return accounts.begin();
  }
  const QueuedRequest& request = none->waiting.front();
  if (!request.deadline_for_start) {
    return accounts.begin();
  }
  return request.due <= turn->waiting.front().due ? none : turn;
}

/// Returns the place in the list of an account that has had its turn, from
/// the number of its requests that still wait.
///
/// If it were always the last place, each account would get the same number of
/// turns. Under an overload of 2, an account with half of all requests beside
/// 20 small ones was then served a fifth as often as all accounts.
std::size_t NextPlace(const ClassQueue& queue, std::size_t waiting) {
  const std::size_t others = queue.size - waiting;
  const std::size_t place = (others + waiting - 1) / waiting;
  return std::min(place, queue.accounts.size());
}

}  // namespace

void Push(ClassQueue& queue,
          std::string_view account,
          const QueuedRequest& waiting) {
  const auto found = FindAccount(queue.accounts, account);
  AccountQueue& account_queue =
      found != queue.accounts.end()
          ? *found
          : queue.accounts.emplace_back(AccountQueue{std::string(account), {}});
  // A request that should start sooner goes ahead of those that can wait
  // longer.
  const auto position =
      waiting.deadline_for_start
          ? std::ranges::upper_bound(account_queue.waiting, waiting.due, {},
                                     &QueuedRequest::due)
          : account_queue.waiting.end();
  account_queue.waiting.insert(position, waiting);
  ++queue.size;
}

QueuedRequest PopNext(ClassQueue& queue) {
  const auto chosen = NextAccount(queue.accounts);
  AccountQueue account_queue = std::move(*chosen);
  queue.accounts.erase(chosen);
  const QueuedRequest next = account_queue.waiting.front();
  account_queue.waiting.pop_front();
  --queue.size;
  if (!account_queue.waiting.empty()) {
    const std::size_t place = NextPlace(queue, account_queue.waiting.size());
    queue.accounts.insert(
        queue.accounts.begin() + static_cast<std::ptrdiff_t>(place),
        std::move(account_queue));
  }
  return next;
}

std::size_t CountWaiting(const ClassQueue& queue, std::string_view account) {
  const auto found = std::find_if(
      queue.accounts.begin(), queue.accounts.end(),
      [&](const AccountQueue& item) { return item.account == account; });
  return found == queue.accounts.end() ? 0 : found->waiting.size();
}

std::size_t CountDueBefore(const ClassQueue& queue, base::TimePoint due) {
  std::size_t count = 0;
  for (const AccountQueue& account_queue : queue.accounts) {
    count += static_cast<std::size_t>(std::ranges::count_if(
        account_queue.waiting,
        [due](const QueuedRequest& waiting) { return waiting.due <= due; }));
  }
  return count;
}

std::optional<Ticket> TakeFromLongest(ClassQueue& queue,
                                      std::size_t threshold) {
  const auto longest =
      std::max_element(queue.accounts.begin(), queue.accounts.end(),
                       [](const AccountQueue& a, const AccountQueue& b) {
                         return a.waiting.size() < b.waiting.size();
                       });
  if (longest == queue.accounts.end() || longest->waiting.size() <= threshold) {
    return std::nullopt;
  }
  const Ticket ticket = longest->waiting.back().ticket;
  longest->waiting.pop_back();
  --queue.size;
  if (longest->waiting.empty()) {
    queue.accounts.erase(longest);
  }
  return ticket;
}

std::vector<Ticket> TakeExpired(ClassQueue& queue,
                                base::TimePoint now,
                                base::TimePoint& next_expiry) {
  std::vector<Ticket> expired;
  for (AccountQueue& account_queue : queue.accounts) {
    std::erase_if(account_queue.waiting, [&](const QueuedRequest& waiting) {
      if (waiting.deadline <= now) {
        expired.push_back(waiting.ticket);
        return true;
      }
      next_expiry = std::min(next_expiry, waiting.deadline);
      return false;
    });
  }
  std::erase_if(queue.accounts, [](const AccountQueue& account_queue) {
    return account_queue.waiting.empty();
  });
  queue.size -= static_cast<std::uint32_t>(expired.size());
  return expired;
}

bool Remove(ClassQueue& queue, Ticket ticket) {
  for (auto account_queue = queue.accounts.begin();
       account_queue != queue.accounts.end(); ++account_queue) {
    const auto removed = std::erase_if(
        account_queue->waiting,
        [&](const QueuedRequest& waiting) { return waiting.ticket == ticket; });
    if (removed == 0) {
      continue;
    }
    --queue.size;
    if (account_queue->waiting.empty()) {
      queue.accounts.erase(account_queue);
    }
    return true;
  }
  return false;
}

}  // namespace eelgrassbridge::limits::detail
