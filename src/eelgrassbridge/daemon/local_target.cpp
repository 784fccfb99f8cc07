// Admission to the local target and the hand-over itself.
#include "eelgrassbridge/daemon/local_target.hpp"

#include <algorithm>

namespace eelgrassbridge::daemon {

namespace {

/// Waiting requests for each slot; more would wait longer than their deadline.
constexpr std::uint32_t kQueuePerSlot = 16;

/// @brief A slot of the target, held until destruction.
struct Slot {
  explicit Slot(LocalTarget& owner) : target(owner) {}
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;
  ~Slot() {
    {
      const std::scoped_lock lock(this->target.mutex);
      --this->target.in_flight;
    }
    this->target.slot_freed.notify_one();
  }

  LocalTarget& target;
};

base::Result<void> WaitForSlot(LocalTarget& target, base::TimePoint deadline) {
  std::unique_lock lock(target.mutex);
  if (target.in_flight >= target.settings.slots) {
    if (target.waiting >= target.settings.slots * kQueuePerSlot) {
      return base::Fail(base::ErrorKind::kOverloaded,
                        "the queue of the target is full");
    }
    ++target.waiting;
    const base::Duration left = deadline - base::BootClock::now();
    const bool has_slot = target.slot_freed.wait_for(
        lock, left, [&] { return target.in_flight < target.settings.slots; });
    --target.waiting;
    if (!has_slot) {
      return base::Fail(base::ErrorKind::kDeadlineBeforeRun,
                        "no slot of the target became free in time");
    }
  }
  ++target.in_flight;
  return base::outcome::success();
}

/// The target and this daemon share the VM's clock, so an absolute wall-clock
/// time stops a hand-over that was delayed after the lease was checked.
std::int64_t NotAfter(base::TimePoint now, base::TimePoint deadline) {
  const auto left =
      std::chrono::duration_cast<base::milliseconds>(deadline - now);
  return base::UnixMilliseconds() + left.count();
}

base::TimePoint RunDeadline(const RunOptions& options, base::TimePoint now) {
  if (options.gate == nullptr) {
    return options.deadline;
  }
  const base::TimePoint lease_end =
      base::FromMicroseconds(options.gate->lease_end.load());
  return std::min({options.deadline, now + options.run_limit,
                   lease_end + options.run_limit});
}

ExchangeRequest MakeExchange(const CallerRequest& request,
                             const RunOptions& options,
                             base::TimePoint now,
                             base::TimePoint run_deadline) {
  ExchangeRequest exchange{request.method, request.target, {}, request.body};
  for (const Header& header : request.headers) {
    const bool is_replaced = header.name == kNotAfterHeader ||
                             header.name == kEpochHeader ||
                             header.name == kGroupHeader;
    if (!is_replaced) {
      exchange.headers.push_back(header);
    }
  }
  exchange.headers.push_back({std::string(kNotAfterHeader),
                              std::to_string(NotAfter(now, run_deadline))});
  if (options.gate != nullptr) {
    exchange.headers.push_back(
        {std::string(kEpochHeader), std::to_string(options.gate->epoch)});
    exchange.headers.push_back(
        {std::string(kGroupHeader), base::ToString(options.gate->group)});
  }
  return exchange;
}

CallerAnswer FromTarget(ExchangeAnswer answer) {
  if (answer.status == 503 &&
      FindHeader(answer.headers, kNotRunHeader) == "1") {
    return ErrorAnswer(base::ErrorKind::kTargetRefused,
                       "the target refused the request before running it");
  }
  CallerAnswer converted;
  converted.status = answer.status;
  converted.outcome = base::Outcome::kAnswered;
  converted.headers = std::move(answer.headers);
  converted.body = std::move(answer.body);
  return converted;
}

}  // namespace

LocalTarget::LocalTarget(const settings::TargetSettings& target_settings)
    : settings(target_settings) {
  this->connections.options.max_idle_per_address = target_settings.connections;
}

CallerAnswer RunOnTarget(LocalTarget& target,
                         const CallerRequest& request,
                         const RunOptions& options) {
  if (auto slot = WaitForSlot(target, options.deadline); !slot) {
    return ErrorAnswer(slot.error().kind, slot.error().detail);
  }
  const Slot slot(target);
  const base::TimePoint now = base::BootClock::now();
  if (options.gate != nullptr && !IsLeaseValid(*options.gate, now)) {
    return ErrorAnswer(base::ErrorKind::kNoOwner,
                       "the lease ended while the request waited for a slot");
  }
  const base::TimePoint run_deadline = RunDeadline(options, now);
  auto answer = Exchange(target.connections, target.settings.address,
                         MakeExchange(request, options, now, run_deadline),
                         run_deadline, kTargetErrors);
  if (!answer) {
    return ErrorAnswer(answer.error().kind, answer.error().detail);
  }
  return FromTarget(std::move(answer).value());
}

}  // namespace eelgrassbridge::daemon
