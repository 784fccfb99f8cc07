// Simulates the requests, attempts and targets of the fleet.
#include "bench/requests/fleet_model.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "bench/requests/events.hpp"
#include "eelgrassbridge/limits/retry_budget.hpp"
#include "eelgrassbridge/limits/target_limiter.hpp"
#include "eelgrassbridge/routing/hedging.hpp"
#include "eelgrassbridge/routing/target_choice.hpp"

namespace eelgrassbridge::bench {

namespace {

using base::Duration;
using base::TimePoint;
using Kind = routing::AnswerReport::Kind;

struct Request;

/// One attempt to run a request on one target.
struct Attempt {
  std::shared_ptr<Request> request;
  std::uint32_t target = 0;
  TimePoint sent_at;
  bool is_first = false;
  bool cancelled = false;
  bool running = false;
  bool ended = false;
  limits::Ticket ticket = 0;
  std::uint64_t generation = 0;
  TimePoint started_at;
};

struct Request {
  std::uint32_t entry = 0;
  std::uint32_t account = 0;
  TimePoint offered_at;
  TimePoint deadline;
  bool answered = false;
  std::uint32_t waiting = 0;
  std::uint32_t retries = 0;
  std::vector<base::DaemonId> tried;
  std::vector<std::shared_ptr<Attempt>> attempts;
};

/// A daemon with its target, and its state as the entry of requests.
struct Daemon {
  limits::TargetLimiter limiter;
  std::map<limits::Ticket, std::shared_ptr<Attempt>> queued;
  std::deque<std::shared_ptr<Attempt>> fifo_queue;
  std::uint32_t running = 0;
  routing::TargetTable table;
  limits::RetryBudget budget;
  routing::HedgeTracker hedging;
  std::uint32_t next_robin = 0;
};

struct Fleet {
  Policy policy;
  FleetOptions options;
  Events events;
  std::mt19937_64 random;
  /// Arrivals use a separate random generator, so that all policies get the
  /// same offered load.
  std::mt19937_64 arrivals;
  TimePoint started_at;
  std::vector<Daemon> daemons;
  catalogue::Service service;
  catalogue::RequestKind kind;
  FleetResult result;
};

base::DaemonId IdOf(std::uint32_t target) {
  return base::DaemonId{target + 1};
}

Condition ConditionOf(const Fleet& fleet, std::uint32_t target) {
  return fleet.options.condition
             ? fleet.options.condition(target,
                                       fleet.events.now - fleet.started_at)
             : Condition::kHealthy;
}

Duration ServiceTime(Fleet& fleet, std::uint32_t target) {
  std::exponential_distribution<double> tail(1.0);
  double time = static_cast<double>(fleet.options.service_time.count()) *
                (0.5 + 0.5 * tail(fleet.random));
  if (ConditionOf(fleet, target) == Condition::kSlow) {
    time *= fleet.options.slow_factor;
  }
  return Duration{static_cast<std::int64_t>(time)};
}

void SendAttempt(Fleet& fleet,
                 const std::shared_ptr<Request>& request,
                 std::uint32_t target,
                 bool is_first);
void Dispatch(Fleet& fleet, std::uint32_t target);

std::optional<std::uint32_t> Choose(Fleet& fleet, const Request& request) {
  Daemon& entry = fleet.daemons[request.entry];
  if (!fleet.policy.chooses) {
    return entry.next_robin++ % fleet.options.daemons;
  }
  const auto chosen = routing::ChooseTarget(entry.table, fleet.random(),
                                            request.tried, fleet.events.now);
  if (!chosen) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(chosen->value - 1);
}

/// Sends one more attempt if the budget, the deadline and the targets allow it.
bool SendExtra(Fleet& fleet, const std::shared_ptr<Request>& request) {
  if (fleet.events.now >= request->deadline) {
    return false;
  }
  const auto target = Choose(fleet, *request);
  if (!target) {
    return false;
  }
  if (fleet.policy.has_budget) {
    if (!limits::TakeExtraAttempt(fleet.daemons[request->entry].budget,
                                  fleet.kind.priority, IdOf(*target))) {
      return false;
    }
  } else if (request->retries >= fleet.policy.fixed_retries) {
    return false;
  }
  ++request->retries;
  SendAttempt(fleet, request, *target, false);
  return true;
}

void Cancel(Fleet& fleet, const std::shared_ptr<Attempt>& attempt) {
  Daemon& daemon = fleet.daemons[attempt->target];
  attempt->cancelled = true;
  if (attempt->ended) {
    return;
  }
  if (attempt->running) {
    attempt->ended = true;
    --daemon.running;
    limits::Finish(daemon.limiter, limits::RunEnd::kCancelled, {},
                   attempt->generation);
    Dispatch(fleet, attempt->target);
  } else if (attempt->ticket != 0 &&
             limits::Withdraw(daemon.limiter, attempt->ticket)) {
    daemon.queued.erase(attempt->ticket);
    attempt->ended = true;
  }
}

/// Handles an answer that arrives at the entry.
void Receive(Fleet& fleet,
             const std::shared_ptr<Attempt>& attempt,
             Kind kind,
             std::uint32_t peer_in_flight) {
  Request& request = *attempt->request;
  Daemon& entry = fleet.daemons[request.entry];
  const TimePoint now = fleet.events.now;
  routing::RecordAnswer(entry.table, IdOf(attempt->target),
                        {kind, now - attempt->sent_at, peer_in_flight}, now);
  --request.waiting;
  if (request.answered) {
    return;
  }
  if (kind != Kind::kAnswered) {
    SendExtra(fleet, attempt->request);
    return;
  }
  request.answered = true;
  routing::AddHedgeSample(entry.hedging, now - request.offered_at);
  if (now <= request.deadline) {
    ++fleet.result.good;
    ++fleet.result.good_by_account[request.account];
  }
  fleet.result.latencies_ms.push_back(
      static_cast<double>((now - request.offered_at).count()) / 1000);
  for (const auto& other : request.attempts) {
    if (other != attempt && !other->cancelled) {
      // The entry stops waiting at once; the cancellation reaches the target
      // after the network delay.
      routing::RecordAnswer(
          entry.table, IdOf(other->target),
          {Kind::kCancelled, now - other->sent_at, std::nullopt}, now);
      other->cancelled = true;
      After(fleet.events, fleet.options.one_way,
            [&fleet, other] { Cancel(fleet, other); });
    }
  }
}

void Answer(Fleet& fleet, const std::shared_ptr<Attempt>& attempt, Kind kind) {
  attempt->ended = true;
  const std::uint32_t in_flight = fleet.daemons[attempt->target].running;
  After(fleet.events, fleet.options.one_way,
        [&fleet, attempt, kind, in_flight] {
          if (!attempt->cancelled) {
            attempt->cancelled = true;
            Receive(fleet, attempt, kind, in_flight);
          }
        });
}

void Start(Fleet& fleet, const std::shared_ptr<Attempt>& attempt) {
  Daemon& daemon = fleet.daemons[attempt->target];
  ++daemon.running;
  attempt->running = true;
  attempt->started_at = fleet.events.now;
  After(fleet.events, ServiceTime(fleet, attempt->target), [&fleet, attempt] {
    if (attempt->ended) {
      return;
    }
    Daemon& at = fleet.daemons[attempt->target];
    --at.running;
    Answer(fleet, attempt, Kind::kAnswered);
    limits::Finish(at.limiter, limits::RunEnd::kAnswered,
                   fleet.events.now - attempt->started_at, attempt->generation);
    Dispatch(fleet, attempt->target);
  });
}

/// Starts or refuses the queued attempts that a daemon dispatches.
void Dispatch(Fleet& fleet, std::uint32_t target) {
  Daemon& daemon = fleet.daemons[target];
  while (!daemon.fifo_queue.empty() && daemon.running < fleet.options.slots) {
    const auto attempt = daemon.fifo_queue.front();
    daemon.fifo_queue.pop_front();
    Start(fleet, attempt);
  }
  while (const auto next =
             limits::NextDispatch(daemon.limiter, fleet.events.now)) {
    const auto found = daemon.queued.find(next->ticket);
    const auto attempt = found->second;
    daemon.queued.erase(found);
    attempt->generation = next->generation;
    if (next->refusal) {
      Answer(fleet, attempt, Kind::kOverloaded);
    } else {
      Start(fleet, attempt);
    }
  }
}

/// Handles an attempt that arrives at the daemon beside the target.
void Arrive(Fleet& fleet, const std::shared_ptr<Attempt>& attempt) {
  Daemon& daemon = fleet.daemons[attempt->target];
  const Request& request = *attempt->request;
  ++fleet.result.attempts;
  if (attempt->cancelled) {
    return;
  }
  if (ConditionOf(fleet, attempt->target) == Condition::kFailing) {
    Answer(fleet, attempt, Kind::kFailed);
    return;
  }
  if (!fleet.policy.limits) {
    daemon.fifo_queue.push_back(attempt);
    Dispatch(fleet, attempt->target);
    return;
  }
  const std::string account = std::to_string(request.account);
  const limits::Admission admission = limits::Admit(
      daemon.limiter, {fleet.kind.priority, account, request.deadline},
      fleet.events.now);
  attempt->ticket = admission.ticket;
  attempt->generation = admission.generation;
  switch (admission.state) {
    case limits::Admission::State::kRun:
      Start(fleet, attempt);
      break;
    case limits::Admission::State::kQueued:
      daemon.queued.emplace(admission.ticket, attempt);
      Dispatch(fleet, attempt->target);
      break;
    case limits::Admission::State::kRefused:
      Answer(fleet, attempt, Kind::kOverloaded);
      break;
  }
}

void SendAttempt(Fleet& fleet,
                 const std::shared_ptr<Request>& request,
                 std::uint32_t target,
                 bool is_first) {
  Daemon& entry = fleet.daemons[request->entry];
  auto attempt = std::make_shared<Attempt>();
  attempt->request = request;
  attempt->target = target;
  attempt->sent_at = fleet.events.now;
  attempt->is_first = is_first;
  request->attempts.push_back(attempt);
  request->tried.push_back(IdOf(target));
  ++request->waiting;
  if (is_first) {
    limits::NoteFirstAttempt(entry.budget, fleet.kind.priority, IdOf(target));
  }
  routing::RecordRequestSent(entry.table, IdOf(target), fleet.events.now);
  After(fleet.events, fleet.options.one_way,
        [&fleet, attempt] { Arrive(fleet, attempt); });
}

void PlanHedge(Fleet& fleet, const std::shared_ptr<Request>& request) {
  const auto delay = routing::HedgeDelay(fleet.daemons[request->entry].hedging,
                                         fleet.service, fleet.kind);
  if (!fleet.policy.hedges || !delay) {
    return;
  }
  After(fleet.events, *delay, [&fleet, request] {
    if (!request->answered && request->waiting == 1 &&
        SendExtra(fleet, request)) {
      ++fleet.result.hedges;
    }
  });
}

void OfferRequest(Fleet& fleet) {
  auto request = std::make_shared<Request>();
  request->entry =
      static_cast<std::uint32_t>(fleet.arrivals() % fleet.options.daemons);
  std::discrete_distribution<std::uint32_t> account(
      fleet.options.accounts.begin(), fleet.options.accounts.end());
  request->account = account(fleet.arrivals);
  request->offered_at = fleet.events.now;
  request->deadline = fleet.events.now + fleet.options.deadline;
  ++fleet.result.offered;
  ++fleet.result.offered_by_account[request->account];
  if (const auto target = Choose(fleet, *request)) {
    SendAttempt(fleet, request, *target, true);
    PlanHedge(fleet, request);
  }
  std::exponential_distribution<double> gap(fleet.options.rate);
  After(fleet.events,
        Duration{static_cast<std::int64_t>(gap(fleet.arrivals) * 1e6)},
        [&fleet] {
          if (fleet.events.now - fleet.started_at < fleet.options.length) {
            OfferRequest(fleet);
          }
        });
}

}  // namespace

FleetResult RunFleet(const Policy& policy, const FleetOptions& options) {
  Fleet fleet;
  fleet.policy = policy;
  fleet.options = options;
  fleet.random.seed(options.seed);
  fleet.arrivals.seed(options.seed + 1);
  fleet.started_at = fleet.events.now;
  fleet.kind.deadline = options.deadline;
  fleet.result.good_by_account.resize(options.accounts.size());
  fleet.result.offered_by_account.resize(options.accounts.size());
  std::vector<routing::TargetMember> members;
  for (std::uint32_t i = 0; i < options.daemons; ++i) {
    members.push_back({IdOf(i), routing::Locality::kDataCentre, true});
  }
  for (std::uint32_t i = 0; i < options.daemons; ++i) {
    Daemon& daemon = fleet.daemons.emplace_back();
    daemon.limiter = limits::MakeTargetLimiter(
        {options.slots, options.slots * 10, options.slots * 8, {}});
    daemon.limiter.ramp.level = options.slots;
    routing::SetMembers(daemon.table, members);
  }
  OfferRequest(fleet);
  RunUntil(fleet.events,
           fleet.started_at + options.length + options.deadline * 4);
  return std::move(fleet.result);
}

}  // namespace eelgrassbridge::bench
