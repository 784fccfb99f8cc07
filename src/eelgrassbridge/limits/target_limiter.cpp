// Admits, queues and dispatches the requests to one target.
#include "eelgrassbridge/limits/target_limiter.hpp"

#include <algorithm>

#include "eelgrassbridge/limits/target_queue.hpp"

namespace eelgrassbridge::limits {

namespace {

using base::ErrorKind;
using base::TimePoint;

/// EWMA weight of one answer in the run time.
constexpr double kRunTimeWeight = 0.1;

bool HasFreeSlot(const TargetLimiter& limiter) {
  return limiter.in_flight < InFlightLimit(limiter);
}

bool IsPaced(const TargetLimiter& limiter, TimePoint now) {
  return limiter.options.use_pace && IsCold(limiter.pace, now);
}

bool IsPaceFree(const TargetLimiter& limiter, TimePoint now) {
  return !IsPaced(limiter, now) || EarliestStart(limiter.pace, 0, now) <= now;
}

RunStart OccupySlot(TargetLimiter& limiter, TimePoint now) {
  ++limiter.in_flight;
  if (limiter.options.use_pace) {
    RecordStart(limiter.pace, now);
  }
  return limiter.options.use_learned_capacity
             ? RecordStart(limiter.learned, limiter.in_flight, now)
             : RunStart{};
}

Admission MakeRefusal(ErrorKind kind) {
  return {Admission::State::kRefused, 0, 0, {}, kind};
}

/// Expected start of a request before which `ahead` others start. With a free
/// slot it waits only for the pace.
TimePoint ExpectedStart(const TargetLimiter& limiter,
                        std::uint32_t ahead,
                        TimePoint now) {
  const std::uint32_t limit = InFlightLimit(limiter);
  const std::uint32_t runs_awaited =
      limiter.in_flight + ahead < limit ? 0 : ahead + 1;
  const TimePoint slot_free =
      now + base::Duration{static_cast<std::int64_t>(limiter.run_time_us *
                                                     runs_awaited / limit)};
  if (!IsPaced(limiter, now)) {
    return slot_free;
  }
  return std::max(slot_free, EarliestStart(limiter.pace, ahead, now));
}

/// Returns whether a request that starts at the given time can meet its
/// deadline.
bool CanMeetDeadline(const TargetLimiter& limiter,
                     TimePoint deadline,
                     bool deadline_for_start,
                     TimePoint start) {
  const double run = deadline_for_start ? 0 : limiter.run_time_us;
  return start + base::Duration{static_cast<std::int64_t>(run)} <= deadline;
}

void RefuseQueued(TargetLimiter& limiter, Ticket ticket, ErrorKind kind) {
  limiter.refused.push_back({ticket, kind, 0, {}});
}

/// Makes room for a request in a full queue by refusing one of a lower class,
/// or of the client account with the longest queue in the same class. Returns
/// false if there is none to refuse.
bool RefuseLessUrgent(TargetLimiter& limiter, const AdmissionRequest& request) {
  const auto own_class = static_cast<std::size_t>(request.priority);
  for (std::size_t i = kPriorityClassCount; i-- > own_class;) {
    detail::ClassQueue& queue = limiter.classes[i];
    const std::size_t threshold =
        i == own_class ? detail::CountWaiting(queue, request.account) + 1 : 0;
    if (const auto ticket = detail::TakeFromLongest(queue, threshold)) {
      --limiter.queued;
      RefuseQueued(limiter, *ticket, ErrorKind::kOverloaded);
      return true;
    }
  }
  return false;
}

/// Refuses all queued requests whose deadline has passed.
void RefuseExpired(TargetLimiter& limiter, TimePoint now) {
  if (now < limiter.next_expiry) {
    return;
  }
  limiter.next_expiry = TimePoint::max();
  for (detail::ClassQueue& queue : limiter.classes) {
    for (const Ticket ticket :
         detail::TakeExpired(queue, now, limiter.next_expiry)) {
      --limiter.queued;
      RefuseQueued(limiter, ticket, ErrorKind::kDeadlineBeforeRun);
    }
  }
}

TimePoint DueOf(const AdmissionRequest& request) {
  return request.due.value_or(request.deadline);
}

/// Estimates the number of requests that are dispatched before a new one: all
/// of higher classes and, in its own class, those that are due before it. If it
/// has no time by which it should start, those of the rounds up to its own. The
/// first estimate is the same for all accounts: one that favoured accounts with
/// few waiting requests would refuse nearly all requests of the others.
std::uint32_t CountRequestsAhead(const TargetLimiter& limiter,
                                 const AdmissionRequest& request) {
  const auto own_class = static_cast<std::size_t>(request.priority);
  std::uint32_t requests_ahead = 0;
  for (std::size_t i = 0; i < own_class; ++i) {
    requests_ahead += limiter.classes[i].size;
  }
  const detail::ClassQueue& queue = limiter.classes[own_class];
  if (request.deadline_for_start) {
    return requests_ahead + static_cast<std::uint32_t>(
                                detail::CountDueBefore(queue, DueOf(request)));
  }
  const auto rounds = static_cast<std::uint32_t>(
      detail::CountWaiting(queue, request.account) + 1);
  const auto accounts = static_cast<std::uint32_t>(queue.accounts.size());
  return requests_ahead + std::min(queue.size, rounds * accounts);
}

}  // namespace

TargetLimiter MakeTargetLimiter(const TargetLimiterOptions& options) {
  TargetLimiter limiter;
  limiter.options = options;
  limiter.ramp = MakeRamp(options.slots, options.ramp);
  return limiter;
}

std::uint32_t InFlightLimit(const TargetLimiter& limiter) {
  const std::uint32_t level =
      limiter.options.use_ramp ? limiter.ramp.level : limiter.options.slots;
  const std::uint32_t learned = limiter.options.use_learned_capacity
                                    ? CapacityOf(limiter.learned)
                                    : limiter.options.slots;
  return std::max(1U, std::min({limiter.options.slots,
                                limiter.options.connections, level, learned}));
}

bool CanStartNow(const TargetLimiter& limiter, TimePoint now) {
  return limiter.queued == 0 && HasFreeSlot(limiter) &&
         IsPaceFree(limiter, now);
}

std::optional<ErrorKind> ExpectedRefusal(const TargetLimiter& limiter,
                                         const AdmissionRequest& request,
                                         TimePoint now) {
  if (!limiter.accepting) {
    return ErrorKind::kDraining;
  }
  if (request.deadline <= now) {
    return ErrorKind::kDeadlineBeforeRun;
  }
  const std::uint32_t ahead =
      CountRequestsAhead(limiter, request) + request.others_ahead;
  const bool starts_now =
      CanStartNow(limiter, now) &&
      limiter.in_flight + request.others_ahead < InFlightLimit(limiter);
  if (!starts_now &&
      !CanMeetDeadline(limiter, request.deadline, request.deadline_for_start,
                       ExpectedStart(limiter, ahead, now))) {
    return ErrorKind::kOverloaded;
  }
  return std::nullopt;
}

Admission Admit(TargetLimiter& limiter,
                const AdmissionRequest& request,
                TimePoint now) {
  RefuseExpired(limiter, now);
  if (const auto refusal = ExpectedRefusal(limiter, request, now)) {
    return MakeRefusal(*refusal);
  }
  if (CanStartNow(limiter, now)) {
    const RunStart start = OccupySlot(limiter, now);
    return {Admission::State::kRun,
            limiter.next_ticket++,
            limiter.ramp.generation,
            start,
            {}};
  }
  if (limiter.queued >= limiter.options.queue_capacity &&
      !RefuseLessUrgent(limiter, request)) {
    return MakeRefusal(ErrorKind::kOverloaded);
  }
  const Ticket ticket = limiter.next_ticket++;
  detail::Push(
      limiter.classes[static_cast<std::size_t>(request.priority)],
      request.account,
      {ticket, request.deadline, request.deadline_for_start, DueOf(request)});
  ++limiter.queued;
  limiter.next_expiry = std::min(limiter.next_expiry, request.deadline);
  // The new request may go ahead of others.
  RefuseUnreachable(limiter, now);
  return {Admission::State::kQueued, ticket, 0, {}, {}};
}

std::optional<Dispatch> NextDispatch(TargetLimiter& limiter, TimePoint now) {
  RefuseExpired(limiter, now);
  while (limiter.refused.empty() && limiter.queued > 0 &&
         HasFreeSlot(limiter) && IsPaceFree(limiter, now)) {
    const auto queue = std::find_if(
        limiter.classes.begin(), limiter.classes.end(),
        [](const detail::ClassQueue& item) { return item.size > 0; });
    const detail::QueuedRequest next = detail::PopNext(*queue);
    --limiter.queued;
    if (CanMeetDeadline(limiter, next.deadline, next.deadline_for_start, now)) {
      const RunStart start = OccupySlot(limiter, now);
      return Dispatch{next.ticket, std::nullopt, limiter.ramp.generation,
                      start};
    }
    RefuseQueued(limiter, next.ticket, ErrorKind::kDeadlineBeforeRun);
  }
  if (limiter.refused.empty()) {
    return std::nullopt;
  }
  const Dispatch dispatch = limiter.refused.front();
  limiter.refused.pop_front();
  return dispatch;
}

std::optional<TimePoint> NextPacedStart(const TargetLimiter& limiter,
                                        TimePoint now) {
  if (limiter.queued == 0 || !HasFreeSlot(limiter) ||
      IsPaceFree(limiter, now)) {
    return std::nullopt;
  }
  return EarliestStart(limiter.pace, 0, now);
}

void RefuseUnreachable(TargetLimiter& limiter, TimePoint now) {
  if (!IsPaced(limiter, now)) {
    return;
  }
  std::uint32_t ahead = 0;
  for (detail::ClassQueue& queue : limiter.classes) {
    detail::ClassQueue rest = queue;
    while (rest.size > 0) {
      const detail::QueuedRequest next = detail::PopNext(rest);
      if (CanMeetDeadline(limiter, next.deadline, next.deadline_for_start,
                          ExpectedStart(limiter, ahead, now))) {
        ++ahead;
        continue;
      }
      detail::Remove(queue, next.ticket);
      --limiter.queued;
      RefuseQueued(limiter, next.ticket, ErrorKind::kOverloaded);
    }
  }
}

bool Withdraw(TargetLimiter& limiter, Ticket ticket) {
  for (detail::ClassQueue& queue : limiter.classes) {
    if (detail::Remove(queue, ticket)) {
      --limiter.queued;
      return true;
    }
  }
  return false;
}

void Finish(TargetLimiter& limiter,
            RunEnd end,
            base::Duration latency,
            std::uint64_t generation) {
  const std::uint32_t in_flight = limiter.in_flight;
  limiter.in_flight -= std::min(1U, in_flight);
  switch (end) {
    case RunEnd::kAnswered: {
      const auto sample = static_cast<double>(latency.count());
      limiter.run_time_us += (limiter.run_time_us == 0 ? 1 : kRunTimeWeight) *
                             (sample - limiter.run_time_us);
      NoteSuccess(limiter.ramp, latency, in_flight, generation);
      break;
    }
    case RunEnd::kRefused:
      NoteRefusal(limiter.ramp, generation);
      break;
    case RunEnd::kLost:
      if (generation == limiter.ramp.generation) {
        Restart(limiter.ramp);
      }
      break;
    case RunEnd::kFailed:
    case RunEnd::kCancelled:
      break;
  }
}

void SetAccepting(TargetLimiter& limiter, bool accepting) {
  limiter.accepting = accepting;
  if (accepting) {
    return;
  }
  for (detail::ClassQueue& queue : limiter.classes) {
    while (queue.size > 0) {
      RefuseQueued(limiter, detail::PopNext(queue).ticket,
                   ErrorKind::kDraining);
    }
  }
  limiter.queued = 0;
}

void SetTargetBounds(TargetLimiter& limiter,
                     std::uint32_t slots,
                     std::uint32_t connections,
                     TimePoint now) {
  if (limiter.options.use_learned_capacity && slots != limiter.options.slots) {
    Restart(limiter.learned, slots, limiter.learned.random, now);
  }
  limiter.options.slots = slots;
  limiter.options.connections = connections;
  SetCapacity(limiter.ramp, slots);
}

void UseLearnedCapacity(TargetLimiter& limiter,
                        bool use,
                        std::uint64_t seed,
                        TimePoint now) {
  if (use == limiter.options.use_learned_capacity) {
    return;
  }
  limiter.options.use_learned_capacity = use;
  Restart(limiter.learned, limiter.options.slots, seed, now);
}

bool NoteInstance(TargetLimiter& limiter, std::string_view instance_id) {
  return SetInstance(limiter.ramp, instance_id);
}

bool TryOpenConnection(TargetLimiter& limiter) {
  if (limiter.open_connections >= limiter.options.connections) {
    return false;
  }
  ++limiter.open_connections;
  return true;
}

void CloseConnection(TargetLimiter& limiter) {
  limiter.open_connections -= std::min(1U, limiter.open_connections);
}

}  // namespace eelgrassbridge::limits
