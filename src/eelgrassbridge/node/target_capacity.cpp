// Passes runs on the target to the learned capacity, and its results on.
#include "eelgrassbridge/node/target_capacity.hpp"

#include <algorithm>

namespace eelgrassbridge::node {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;
/// A target that gives up at the deadline that it was told answers about this
/// long before the request's deadline.
constexpr base::Duration kAtDeadline = base::milliseconds{20};

bool LearnsCapacity(const Node& node) {
  switch (node.settings.learned_capacity) {
    case LearnedCapacityMode::kOff:
      break;
    case LearnedCapacityMode::kOn:
      return true;
    case LearnedCapacityMode::kAuto:
      return node.routes && catalogue::NeedsAdaptiveLimits(*node.routes);
  }
  return false;
}

limits::RunKind KindOf(const RequestTerms& terms) {
  return {terms.request_class, terms.objective};
}

/// Whether the run was still going on at its deadline.
bool IsLate(const RequestTerms& terms,
            const RunResult& result,
            base::TimePoint now) {
  if (result.outcome == base::Outcome::kUnknown) {
    return result.cause == base::ErrorKind::kTargetTimeout;
  }
  return result.outcome == base::Outcome::kAnswered &&
         result.head.status == kGatewayTimeout &&
         now + kAtDeadline >= terms.deadline;
}

}  // namespace

void RefreshCapacity(Node& node) {
  const bool use = LearnsCapacity(node);
  if (use != node.admission.limiter.options.use_learned_capacity) {
    limits::UseLearnedCapacity(node.admission.limiter, use, node.random(),
                               base::BootClock::now());
  }
}

void RestartCapacity(Node& node) {
  limits::TargetLimiter& limiter = node.admission.limiter;
  limits::Restart(limiter.learned, limiter.options.slots, node.random(),
                  base::BootClock::now());
}

void RecordCapacityRun(Node& node,
                       const RequestTerms& terms,
                       const limits::RunStart& start,
                       const RunResult& result,
                       const SendRecord& send,
                       base::TimePoint sent_at) {
  limits::TargetLimiter& limiter = node.admission.limiter;
  const base::TimePoint now = base::BootClock::now();
  const bool late = IsLate(terms, result, now);
  // A failure may come much sooner than an answer would have.
  const bool answered = result.outcome == base::Outcome::kAnswered &&
                        result.head.status < kFirstServerError;
  if (!limiter.options.use_learned_capacity || (!answered && !late) ||
      send.cold_left > base::Duration{0} || IsTargetCold(node, now)) {
    return;
  }
  limits::RecordRun(limiter.learned,
                    {start, KindOf(terms), now - sent_at, late}, now);
  if (const auto change = limits::TakeChange(limiter.learned, now)) {
    Log(node.log, EventKind::kCapacityChanged,
        {{"target", node.target.id},
         {"before", std::int64_t{change->before}},
         {"after", std::int64_t{change->after}},
         {"slots", std::int64_t{limiter.options.slots}},
         {"in_flight", std::int64_t{limiter.in_flight}},
         {"queued", std::int64_t{limiter.queued}}});
  }
}

std::optional<std::uint32_t> LearnedRoom(const Node& node) {
  const limits::TargetLimiter& limiter = node.admission.limiter;
  return limiter.options.use_learned_capacity
             ? std::optional(limiter.learned.level)
             : std::nullopt;
}

std::optional<base::TimePoint> LearnedLatestStart(const Node& node,
                                                  const RequestTerms& terms,
                                                  base::TimePoint now) {
  const limits::TargetLimiter& limiter = node.admission.limiter;
  if (!limiter.options.use_learned_capacity) {
    return std::nullopt;
  }
  const auto expected =
      limits::ExpectedRunTime(limiter.learned.run_times, KindOf(terms), now);
  if (!expected) {
    return std::nullopt;
  }
  // The part of the maximum wait that is used up is the time since arrival.
  const base::Duration waited =
      MaxSlotWait(terms.objective, terms.deadline - now) - terms.max_wait;
  const base::Duration objective_left =
      terms.objective - std::max(base::Duration{0}, waited);
  return limits::LatestStart({terms.deadline, objective_left, terms.max_wait},
                             *expected, limits::CanStartNow(limiter, now), now);
}

}  // namespace eelgrassbridge::node
