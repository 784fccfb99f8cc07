// Admits requests to the local target and sends them.
#include "eelgrassbridge/daemon/local_target.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::daemon {

namespace {

constexpr base::Duration kInstanceTimeout = base::milliseconds{300};

/// @brief A slot of the target and when it was taken.
struct Slot {
  std::uint64_t generation = 0;
  base::TimePoint taken_at;
};

/// Wakes the workers whose requests may run now or are refused. Must be called
/// after each change of the limiter, with the mutex held.
void DispatchWaiters(LocalTarget& target) {
  const base::TimePoint now = base::BootClock::now();
  while (auto dispatch = limits::NextDispatch(target.limiter, now)) {
    const auto waiter = target.waiters.find(dispatch->ticket);
    if (waiter != target.waiters.end()) {
      waiter->second->dispatch = *dispatch;
      waiter->second->dispatched.notify_one();
    }
  }
}

base::Result<Slot> ToSlot(const std::optional<limits::Dispatch>& dispatch) {
  if (!dispatch) {
    return base::Fail(base::ErrorKind::kDeadlineBeforeRun,
                      "timed out waiting for a slot of the target");
  }
  if (dispatch->refusal) {
    return base::Fail(*dispatch->refusal,
                      "the target takes no more requests now");
  }
  return Slot{dispatch->generation, base::BootClock::now()};
}

base::Result<Slot> WaitInQueue(LocalTarget& target,
                               SlotWaiter& waiter,
                               limits::Ticket ticket,
                               base::TimePoint deadline,
                               std::unique_lock<std::mutex>& lock) {
  target.waiters.emplace(ticket, &waiter);
  DispatchWaiters(target);
  const base::Duration left = deadline - base::BootClock::now();
  waiter.dispatched.wait_for(lock, left, [&] {
    return waiter.dispatch.has_value() || waiter.is_cancelled;
  });
  if (!waiter.dispatch) {
    limits::Withdraw(target.limiter, ticket);
    DispatchWaiters(target);
  }
  target.waiters.erase(ticket);
  return ToSlot(waiter.dispatch);
}

base::Result<Slot> AcquireSlot(LocalTarget& target,
                               const limits::AdmissionRequest& request,
                               Interrupt* interrupt) {
  SlotWaiter waiter;
  const InterruptScope scope(interrupt, [&] {
    const std::scoped_lock cancel_lock(target.mutex);
    waiter.is_cancelled = true;
    waiter.dispatched.notify_one();
  });
  std::unique_lock lock(target.mutex);
  waiter.is_cancelled = waiter.is_cancelled || scope.is_cancelled;
  const base::TimePoint now = base::BootClock::now();
  const limits::Admission admission =
      limits::Admit(target.limiter, request, now);
  switch (admission.state) {
    case limits::Admission::State::kRun:
      return Slot{admission.generation, now};
    case limits::Admission::State::kQueued:
      return WaitInQueue(target, waiter, admission.ticket, request.deadline,
                         lock);
    case limits::Admission::State::kRefused:
      break;
  }
  return base::Fail(admission.refusal, "the target takes no more requests now");
}

void ReleaseSlot(LocalTarget& target, const Slot& slot, limits::RunEnd end) {
  const base::Duration latency = base::BootClock::now() - slot.taken_at;
  const std::scoped_lock lock(target.mutex);
  limits::Finish(target.limiter, end, latency, slot.generation);
  DispatchWaiters(target);
}

limits::RunEnd ToRunEnd(const CallerAnswer& answer) {
  if (!answer.error) {
    return limits::RunEnd::kAnswered;
  }
  switch (*answer.error) {
    case base::ErrorKind::kTargetRefused:
      return limits::RunEnd::kRefused;
    case base::ErrorKind::kCancelled:
      return limits::RunEnd::kCancelled;
    case base::ErrorKind::kTargetLost:
    case base::ErrorKind::kTargetUnreachable:
      return limits::RunEnd::kLost;
    default:
      return limits::RunEnd::kFailed;
  }
}

/// Converts to Unix time. The target shares the clock of this VM, so with an
/// absolute deadline it can reject a request that was delayed after the lease
/// check.
std::int64_t ToUnixMilliseconds(base::TimePoint time) {
  const auto left = std::chrono::duration_cast<base::milliseconds>(
      time - base::BootClock::now());
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

bool IsSetByDaemon(std::string_view name) {
  return name == kNotAfterHeader || name == kEpochHeader ||
         name == kGroupHeader || name == kHopsHeader ||
         name == kForwardProofHeader;
}

ExchangeRequest MakeExchange(const CallerRequest& request,
                             const RunOptions& options,
                             base::TimePoint run_deadline) {
  ExchangeRequest exchange{
      request.method, request.target, {}, request.body, options.interrupt};
  for (const Header& header : request.headers) {
    if (!IsSetByDaemon(header.name)) {
      exchange.headers.push_back(header);
    }
  }
  exchange.headers.push_back(
      {std::string(kNotAfterHeader),
       std::to_string(ToUnixMilliseconds(run_deadline))});
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
  converted.reservation = std::move(answer.reservation);
  return converted;
}

CallerAnswer SendToTarget(LocalTarget& target,
                          const CallerRequest& request,
                          const RunOptions& options) {
  const base::TimePoint now = base::BootClock::now();
  if (options.gate != nullptr && !IsLeaseValid(*options.gate, now)) {
    return ErrorAnswer(base::ErrorKind::kNoOwner,
                       "the lease expired while the request waited for a slot");
  }
  const base::TimePoint run_deadline = RunDeadline(options, now);
  auto answer = Exchange(target.connections, target.settings.address,
                         MakeExchange(request, options, run_deadline),
                         run_deadline, kTargetErrors);
  if (!answer) {
    return ErrorAnswer(answer.error().kind, answer.error().detail);
  }
  return FromTarget(std::move(answer).value());
}

limits::TargetLimiterOptions LimiterOptions(
    const settings::TargetSettings& target) {
  limits::TargetLimiterOptions options;
  options.slots = target.slots;
  options.connections = target.connections;
  return options;
}

}  // namespace

LocalTarget::LocalTarget(const settings::TargetSettings& target_settings)
    : settings(target_settings),
      limiter(limits::MakeTargetLimiter(LimiterOptions(target_settings))) {
  this->connections.options.max_idle_per_address = target_settings.connections;
}

CallerAnswer RunOnTarget(LocalTarget& target,
                         const CallerRequest& request,
                         const RunOptions& options) {
  auto slot =
      AcquireSlot(target, {options.priority, request.account, options.deadline},
                  options.interrupt);
  if (!slot) {
    return ErrorAnswer(slot.error().kind, slot.error().detail);
  }
  target.in_flight.fetch_add(1);
  CallerAnswer answer = SendToTarget(target, request, options);
  target.in_flight.fetch_sub(1);
  ReleaseSlot(target, slot.value(), ToRunEnd(answer));
  return answer;
}

bool RecordTargetInstance(LocalTarget& target, std::string_view instance_id) {
  const std::scoped_lock lock(target.mutex);
  const bool is_fresh =
      !target.instance_id.empty() && target.instance_id != instance_id;
  target.instance_id = instance_id;
  target.is_instance_uncertain = false;
  limits::NoteInstance(target.limiter, instance_id);
  DispatchWaiters(target);
  return is_fresh;
}

base::Result<std::string> FetchTargetInstance(LocalTarget& target) {
  const ExchangeRequest request{"GET", "/target/instance", {}, {}};
  BOOST_OUTCOME_TRY(
      answer,
      Exchange(target.connections, target.settings.address, request,
               base::BootClock::now() + kInstanceTimeout, kTargetErrors));
  const auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("instance") ||
      !parsed["instance"].is_string()) {
    return base::Fail(base::ErrorKind::kAnswerCut,
                      "the target's response contains no instance id");
  }
  return parsed["instance"].get<std::string>();
}

base::Result<std::string> CurrentTargetInstance(LocalTarget& target) {
  {
    const std::scoped_lock lock(target.mutex);
    if (!target.is_instance_uncertain) {
      return target.instance_id;
    }
  }
  BOOST_OUTCOME_TRY(instance, FetchTargetInstance(target));
  RecordTargetInstance(target, instance);
  return instance;
}

void MarkTargetInstanceUncertain(LocalTarget& target) {
  const std::scoped_lock lock(target.mutex);
  target.is_instance_uncertain = true;
}

void StopAdmission(LocalTarget& target) {
  const std::scoped_lock lock(target.mutex);
  limits::SetAccepting(target.limiter, false);
  DispatchWaiters(target);
}

}  // namespace eelgrassbridge::daemon
