// Daemons, a coordinator's row and a network without sockets, for the tests of
// quotas. Messages are delayed, lost and duplicated; daemons are frozen,
// restarted and cut off; their clocks have different offsets and speeds.
#ifndef EELGRASSBRIDGE_LIMITS_QUOTA_SIMULATION_HPP
#define EELGRASSBRIDGE_LIMITS_QUOTA_SIMULATION_HPP

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "eelgrassbridge/limits/quota_ledger.hpp"
#include "eelgrassbridge/limits/quota_share.hpp"

namespace eelgrassbridge::limits::test {

using base::Duration;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

struct SimulatedDaemon {
  std::string address;
  int process = 0;
  Duration clock_offset{};
  double clock_speed = 1;
  QuotaShares shares;
  std::optional<QuotaLedger> ledger;
  TimePoint right_ends{};
  Duration renew_at{};
  Duration frozen_until{};
  /// Side of a partition.
  int side = 0;
  /// Version of the limits that it has.
  QuotaLimits limits;
  /// The limits are half of those at the start.
  bool half = false;
  Duration next_report{};
  /// Until then it waits for the answer to its report.
  Duration answer_until{};
};

struct SimulatedMessage {
  Duration at{};
  std::size_t from = 0;
  std::size_t to = 0;
  int process = 0;
  QuotaReport report;
  std::optional<QuotaAnswer> answer;
};

/// The row in the store: the coordinator, its tenure and the listed daemons.
struct SimulatedRow {
  std::size_t holder = 0;
  int process = -1;
  std::uint64_t tenure = 0;
  Duration expires{};
  std::set<std::string, std::less<>> listed;
  /// False until a row is written, also after a restore that lost it.
  bool written = false;
};

/// A restore of the store from a copy without the row.
inline void LoseRow(SimulatedRow& row) {
  row = {row.holder, -1, row.tenure, {}, {}, false};
}

struct Simulation {
  std::mt19937_64 random;
  std::vector<SimulatedDaemon> daemons;
  std::vector<SimulatedMessage> messages;
  SimulatedRow row;
  bool store_reachable = true;
  Duration now{seconds{100}};
  double loss = 0;
  Duration delay{milliseconds{5}};
  double late = 0;
  std::deque<Duration> taken;
  QuotaOptions options;
};

inline double Uniform(Simulation& simulation) {
  return std::uniform_real_distribution<double>(0, 1)(simulation.random);
}

inline TimePoint ClockOf(const SimulatedDaemon& daemon, Duration now) {
  return TimePoint{daemon.clock_offset + std::chrono::duration_cast<Duration>(
                                             now * daemon.clock_speed)};
}

inline Simulation MakeSimulation(std::uint64_t seed,
                                 std::size_t count,
                                 const QuotaLimit& limit) {
  Simulation simulation;
  simulation.random.seed(seed);
  for (std::size_t i = 0; i < count; ++i) {
    SimulatedDaemon daemon;
    daemon.address = std::to_string(i);
    daemon.clock_offset = seconds{static_cast<int>(1000 * i)};
    daemon.clock_speed = 1 + 1e-3 * (Uniform(simulation) - 0.5);
    daemon.limits["a"] = limit;
    simulation.daemons.push_back(std::move(daemon));
  }
  return simulation;
}

inline void Send(Simulation& simulation, SimulatedMessage message) {
  const auto& from = simulation.daemons[message.from];
  const auto& to = simulation.daemons[message.to];
  if (from.side != to.side || Uniform(simulation) < simulation.loss) {
    return;
  }
  message.at = simulation.now + simulation.delay;
  if (Uniform(simulation) < simulation.late) {
    message.at += milliseconds{static_cast<int>(5000 * Uniform(simulation))};
    simulation.messages.push_back(message);
    message.at += milliseconds{2000};
  }
  simulation.messages.push_back(std::move(message));
}

inline void SendReport(Simulation& simulation, std::size_t index) {
  SimulatedDaemon& daemon = simulation.daemons[index];
  const TimePoint clock = ClockOf(daemon, simulation.now);
  daemon.next_report = simulation.now + daemon.shares.interval;
  daemon.answer_until = simulation.now + seconds{1};
  SimulatedMessage message;
  message.from = index;
  message.to = simulation.row.holder;
  message.process = daemon.process;
  message.report = MakeQuotaReport(daemon.shares, clock);
  message.report.daemon = daemon.address;
  message.report.process = std::to_string(daemon.process);
  Send(simulation, std::move(message));
}

inline void Deliver(Simulation& simulation, SimulatedMessage message) {
  SimulatedDaemon& to = simulation.daemons[message.to];
  const TimePoint clock = ClockOf(to, simulation.now);
  if (message.answer) {
    if (message.process == to.process &&
        ApplyQuotaAnswer(to.shares, message.report.sequence, *message.answer,
                         clock)) {
      to.answer_until = {};
    }
    return;
  }
  if (!to.ledger || clock >= to.right_ends) {
    return;
  }
  QuotaAnswer answer;
  const auto verdict =
      ApplyQuotaReport(*to.ledger, to.limits, message.report, clock, answer);
  if (verdict == QuotaVerdict::kAccepted) {
    message.answer = std::move(answer);
    std::swap(message.from, message.to);
    Send(simulation, std::move(message));
  }
}

/// Renews or takes over the row by a conditional write, whose answer may be
/// lost.
inline void Coordinate(Simulation& simulation, std::size_t index) {
  SimulatedDaemon& daemon = simulation.daemons[index];
  SimulatedRow& row = simulation.row;
  if (!simulation.store_reachable || daemon.side != 0 ||
      simulation.now < daemon.renew_at) {
    return;
  }
  daemon.renew_at = simulation.now + seconds{3};
  const TimePoint clock = ClockOf(daemon, simulation.now);
  const bool own = daemon.ledger && daemon.ledger->tenure == row.tenure &&
                   row.holder == index && row.process == daemon.process;
  const bool restarted =
      row.written && row.holder == index && row.process != daemon.process;
  if (!own && !restarted && simulation.now < row.expires) {
    daemon.ledger.reset();
    return;
  }
  if (!own) {
    const bool first = row.tenure == 0;
    row.holder = index;
    row.process = daemon.process;
    ++row.tenure;
    daemon.ledger = BeginTenure(
        {row.tenure, row.listed, first, row.written ? seconds{0} : seconds{10}},
        simulation.options, clock);
    row.written = true;
  }
  const auto listed = ListForRow(*daemon.ledger, clock);
  row.listed = listed;
  row.expires = simulation.now + seconds{10};
  if (Uniform(simulation) >= simulation.loss) {
    ConfirmList(*daemon.ledger, listed);
    daemon.right_ends = clock + seconds{10} - milliseconds{300};
  }
}

/// Takes a token for a caller's request. Returns whether there was one.
inline bool Request(Simulation& simulation, std::size_t index) {
  SimulatedDaemon& daemon = simulation.daemons[index];
  const TimePoint clock = ClockOf(daemon, simulation.now);
  const QuotaLimit limit = daemon.limits["a"];
  if (!TryTake(daemon.shares, "a", limit, clock)) {
    return false;
  }
  simulation.taken.push_back(simulation.now);
  return true;
}

/// Advances the time by 10 ms.
inline void Step(Simulation& simulation) {
  simulation.now += milliseconds{10};
  std::vector<SimulatedMessage> due;
  std::erase_if(simulation.messages, [&](SimulatedMessage& message) {
    const auto& to = simulation.daemons[message.to];
    if (message.at > simulation.now || to.frozen_until > simulation.now) {
      return false;
    }
    due.push_back(std::move(message));
    return true;
  });
  for (SimulatedMessage& message : due) {
    Deliver(simulation, std::move(message));
  }
  for (std::size_t i = 0; i < simulation.daemons.size(); ++i) {
    SimulatedDaemon& daemon = simulation.daemons[i];
    if (daemon.frozen_until > simulation.now) {
      continue;
    }
    Coordinate(simulation, i);
    if (daemon.side == 0) {
      daemon.shares.tenure = simulation.row.tenure;
    }
    const auto quota = daemon.shares.accounts.find("a");
    const bool asks =
        quota != daemon.shares.accounts.end() && quota->second.waiting > 0 &&
        simulation.now >= daemon.next_report - daemon.shares.interval +
                              daemon.shares.ask_interval;
    if (simulation.now >= daemon.answer_until &&
        (simulation.now >= daemon.next_report || asks) &&
        HasReport(daemon.shares, ClockOf(daemon, simulation.now))) {
      SendReport(simulation, i);
    }
  }
}

/// Most requests that took a token in a window of this length.
inline std::size_t MostInWindow(const std::deque<Duration>& taken,
                                Duration window) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < taken.size(); ++last) {
    while (taken[first] <= taken[last] - window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace eelgrassbridge::limits::test

#endif  // EELGRASSBRIDGE_LIMITS_QUOTA_SIMULATION_HPP
