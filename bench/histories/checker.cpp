// Checks the served requests and the table rows of a history.
#include "checker.hpp"

#include <algorithm>

namespace eelgrassbridge::histories {

namespace {

std::string Describe(const Served& served) {
  return "key " + std::to_string(served.key) + " on " +
         base::ToString(served.daemon) + " under " +
         base::ToString(served.group) + " epoch " +
         std::to_string(served.epoch) + " from " +
         std::to_string(served.start) + " to " + std::to_string(served.end);
}

/// Checks the requests of each key in the order of their starts: the requests
/// of all other daemons must have ended before a request starts, and the epoch
/// of a group must not decrease.
std::string CheckServed(std::vector<Served> served) {
  std::ranges::sort(served, [](const Served& a, const Served& b) {
    return std::pair(a.key, a.start) < std::pair(b.key, b.start);
  });
  std::vector<const Served*> latest;
  std::map<base::GroupId, std::uint64_t> epochs;
  std::uint32_t key = 0;
  for (const Served& request : served) {
    if (request.key != key) {
      key = request.key;
      latest.clear();
      epochs.clear();
    }
    const Served** own = nullptr;
    for (const Served*& other : latest) {
      if (other->daemon == request.daemon) {
        own = &other;
      } else if (other->end > request.start) {
        return "two servers: " + Describe(*other) + " and " + Describe(request);
      }
    }
    std::uint64_t& epoch = epochs[request.group];
    if (request.epoch < epoch) {
      return "epoch went back: " + Describe(request);
    }
    epoch = request.epoch;
    if (own == nullptr) {
      latest.push_back(&request);
    } else if (request.end > (*own)->end) {
      *own = &request;
    }
  }
  return {};
}

std::string CheckTable(const History& history) {
  std::map<base::GroupId, std::uint64_t> epochs;
  std::map<std::pair<base::GroupId, std::uint64_t>, base::DaemonId> owners;
  for (const ownership::GroupRow& row : history.table) {
    std::uint64_t& epoch = epochs[row.group];
    if (row.epoch < epoch) {
      return "the table's epoch went back: " + base::ToString(row.group);
    }
    epoch = row.epoch;
    const auto [at, is_added] =
        owners.try_emplace({row.group, row.epoch}, row.owner);
    if (at->second != row.owner) {
      return "two owners in one epoch: " + base::ToString(row.group);
    }
  }
  for (const auto& [row, time] : history.acted_on) {
    const auto found = owners.find({row.group, row.epoch});
    if (found == owners.end() || found->second != row.owner) {
      return "an assignment acted on is not in the table: " +
             base::ToString(row.group) + " epoch " + std::to_string(row.epoch);
    }
  }
  return {};
}

}  // namespace

std::string CheckHistory(const History& history) {
  std::string violation = CheckServed(history.served);
  return violation.empty() ? CheckTable(history) : violation;
}

}  // namespace eelgrassbridge::histories
