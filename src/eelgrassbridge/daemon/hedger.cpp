// Schedules hedges and resolves the race between the two answers.
#include "eelgrassbridge/daemon/hedger.hpp"

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Maximum number of hedges in flight. The retry budget limits hedges to 10 %
/// of the traffic; if all threads are busy, further hedges start late or not at
/// all.
constexpr std::size_t kHedgeThreads = 8;

std::string TrackerKey(const ResolvedRequest& resolved) {
  return resolved.entry.service->name + "/" + resolved.entry.kind->name;
}

std::optional<base::Duration> DelayFor(Hedger& hedger,
                                       const ResolvedRequest& resolved) {
  const std::scoped_lock lock(hedger.mutex);
  return routing::HedgeDelay(hedger.trackers[TrackerKey(resolved)],
                             *resolved.entry.service, *resolved.entry.kind);
}

void AddSample(Hedger& hedger,
               const ResolvedRequest& resolved,
               base::Duration latency) {
  const std::scoped_lock lock(hedger.mutex);
  routing::AddHedgeSample(hedger.trackers[TrackerKey(resolved)], latency);
}

/// @brief Copies of what a hedge needs after the worker has returned.
struct HedgeWork {
  CallerRequest request;
  std::shared_ptr<const RoutingView> view;
  routing::EntryFacts entry;
  std::string residency;
  base::TimePoint deadline;
  base::DaemonId first_target;
};

std::optional<HedgeWork> BeginHedge(HedgedCall& call) {
  const std::scoped_lock lock(call.mutex);
  const base::DaemonId first{call.first_target.load()};
  if (call.is_finished || !first) {
    return std::nullopt;
  }
  call.is_hedge_running = true;
  const ResolvedRequest& resolved = *call.resolved;
  return HedgeWork{resolved.request,   call.view,         resolved.entry,
                   resolved.residency, resolved.deadline, first};
}

void EndHedge(HedgedCall& call, std::optional<CallerAnswer> answer) {
  bool is_first_answer = false;
  {
    const std::scoped_lock lock(call.mutex);
    call.is_hedge_running = false;
    is_first_answer = answer.has_value() && !call.is_finished;
    if (is_first_answer) {
      call.hedge_answer = std::move(answer);
    }
  }
  call.hedge_ended.notify_all();
  if (is_first_answer) {
    Cancel(call.first);
  }
}

void RunHedge(Hedger& hedger, HedgedCall& call) {
  const auto work = BeginHedge(call);
  if (!work) {
    return;
  }
  RequestContext& context = hedger.context;
  ResolvedRequest resolved{work->request, work->entry, work->residency,
                           std::nullopt, work->deadline};
  resolved.interrupt = &call.hedge;
  resolved.farthest = routing::Locality::kRegion;
  const std::array tried{work->first_target};
  const auto second =
      SelectTarget(context, *work->view, resolved, tried, resolved.farthest);
  // The attempt is taken from the budget of the slow target. The second target
  // may have none, because nearer targets are preferred and its budget grows
  // only with its own traffic.
  if (!second || !TakeRetry(context, resolved, work->first_target)) {
    EndHedge(call, std::nullopt);
    return;
  }
  context.request_counters.hedged.fetch_add(1);
  Attempt attempt = AttemptUndivided(context, *work->view, resolved, tried);
  const bool is_answered = attempt.answer.outcome == base::Outcome::kAnswered;
  EndHedge(call, is_answered ? std::optional(std::move(attempt.answer))
                             : std::nullopt);
}

void RunHedges(Hedger& hedger) {
  std::unique_lock lock(hedger.mutex);
  while (!hedger.is_stopping) {
    if (hedger.pending.empty()) {
      hedger.changed.wait(lock);
      continue;
    }
    const auto next = hedger.pending.begin();
    const base::Duration left = next->first - base::BootClock::now();
    if (left > base::Duration::zero()) {
      hedger.changed.wait_for(lock, left);
      continue;
    }
    const std::shared_ptr<HedgedCall> call = next->second;
    hedger.pending.erase(next);
    lock.unlock();
    RunHedge(hedger, *call);
    lock.lock();
  }
}

void Schedule(Hedger& hedger,
              base::TimePoint due,
              std::shared_ptr<HedgedCall> call) {
  bool is_earliest = false;
  {
    const std::scoped_lock lock(hedger.mutex);
    const auto place = hedger.pending.emplace(due, std::move(call));
    is_earliest = place == hedger.pending.begin();
  }
  if (is_earliest) {
    hedger.changed.notify_one();
  }
}

/// Resolves the race: the first complete answer is used. If the first attempt
/// failed, waits for the hedge if one is in flight.
Attempt ResolveRace(HedgedCall& call, Attempt first, base::TimePoint deadline) {
  std::unique_lock lock(call.mutex);
  if (first.answer.outcome != base::Outcome::kAnswered) {
    const base::Duration left = deadline - base::BootClock::now();
    call.hedge_ended.wait_for(lock, left,
                              [&] { return !call.is_hedge_running; });
    if (call.hedge_answer) {
      first.answer = std::move(*call.hedge_answer);
    }
  }
  call.is_finished = true;
  call.resolved = nullptr;
  const bool must_cancel = call.is_hedge_running;
  lock.unlock();
  if (must_cancel) {
    Cancel(call.hedge);
  }
  return first;
}

}  // namespace

Hedger::Hedger(RequestContext& request_context) : context(request_context) {
  for (std::size_t i = 0; i < kHedgeThreads; ++i) {
    this->threads.emplace_back([this] { RunHedges(*this); });
  }
}

Hedger::~Hedger() {
  {
    const std::scoped_lock lock(this->mutex);
    this->is_stopping = true;
  }
  this->changed.notify_all();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

Attempt AttemptHedged(Hedger& hedger,
                      const std::shared_ptr<const RoutingView>& view,
                      const ResolvedRequest& resolved,
                      std::span<const base::DaemonId> tried) {
  const base::TimePoint began = base::BootClock::now();
  const bool is_entry = resolved.request.hops == 0;
  const auto delay = is_entry ? DelayFor(hedger, resolved) : std::nullopt;
  if (!delay) {
    Attempt attempt = AttemptUndivided(hedger.context, *view, resolved, tried);
    if (is_entry && attempt.answer.outcome == base::Outcome::kAnswered) {
      AddSample(hedger, resolved, base::BootClock::now() - began);
    }
    return attempt;
  }
  const auto call = std::make_shared<HedgedCall>();
  ResolvedRequest first = resolved;
  first.interrupt = &call->first;
  first.chosen_target = &call->first_target;
  call->view = view;
  call->resolved = &first;
  Schedule(hedger, began + *delay, call);
  Attempt attempt = AttemptUndivided(hedger.context, *view, first, tried);
  attempt = ResolveRace(*call, std::move(attempt), resolved.deadline);
  if (attempt.answer.outcome == base::Outcome::kAnswered) {
    AddSample(hedger, resolved, base::BootClock::now() - began);
  }
  return attempt;
}

}  // namespace eelgrassbridge::daemon
