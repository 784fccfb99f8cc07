// The steps around the hand-over to the local target.
#include "eelgrassbridge/daemon/local_run.hpp"

#include <spdlog/fmt/fmt.h>

#include <thread>

#include "eelgrassbridge/daemon/suspect_watch.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// A caller that sends a request again as soon as it hears of the target's
/// death would reach another daemon before the news: control tells the others
/// at its next tick of 50 ms.
constexpr base::Duration kSuspectGossipDelay = base::milliseconds{100};

/// @brief Under which group and epoch the ids of a request are recorded.
struct IdScope {
  base::GroupId group;
  std::uint64_t epoch = 0;
};

IdScope ScopeOf(const ResolvedRequest& resolved, const GroupGate* gate) {
  if (gate != nullptr) {
    return {gate->group, gate->epoch};
  }
  return {UndividedGroup(resolved.entry.service->name), 0};
}

/// Runs, and looks whether the target died of it.
CallerAnswer RunAndWatch(RequestContext& context,
                         const RoutingView& view,
                         const ResolvedRequest& resolved,
                         GroupGate* gate) {
  // A target that restarts faster than it is polled dies again under the id of
  // the run before, and two deaths would count as one.
  const auto instance = CurrentTargetInstance(context.target);
  if (!instance) {
    return ErrorAnswer(base::ErrorKind::kTargetUnreachable,
                       "the target has not answered since a run was lost");
  }
  const std::string& instance_before = instance.value();
  const RunOptions options{gate, resolved.entry.service->run_limit,
                           resolved.deadline, resolved.entry.kind->priority,
                           resolved.interrupt};
  CallerAnswer answer = RunOnTarget(context.target, resolved.request, options);
  if (answer.error == base::ErrorKind::kTargetLost) {
    if (CheckTargetDeath(context, view, resolved.request, instance_before)) {
      std::this_thread::sleep_for(kSuspectGossipDelay);
    }
    answer.headers.push_back(
        {std::string(kTargetRunHeader),
         fmt::format("{:x}",
                     routing::TargetRunIdentity(view.self, instance_before))});
  }
  return answer;
}

CallerAnswer RunWithSuspectCheck(RequestContext& context,
                                 const RoutingView& view,
                                 const ResolvedRequest& resolved,
                                 bool is_single_run,
                                 GroupGate* gate) {
  if (!is_single_run) {
    return RunAndWatch(context, view, resolved, gate);
  }
  if (!TryStartSuspectRun(context, resolved.request)) {
    return ErrorAnswer(base::ErrorKind::kOverloaded,
                       "a request that may have stopped a target runs one at "
                       "a time");
  }
  CallerAnswer answer = RunAndWatch(context, view, resolved, gate);
  EndSuspectRun(context, resolved.request,
                answer.outcome == base::Outcome::kAnswered);
  return answer;
}

CallerAnswer FromStoredAnswer(limits::StoredAnswer kept) {
  CallerAnswer answer;
  answer.status = kept.status;
  answer.outcome = base::Outcome::kAnswered;
  answer.headers = {{"Content-Type", std::move(kept.content_type)}};
  answer.body = std::move(kept.body);
  return answer;
}

IdEnd EndOf(const CallerAnswer& answer) {
  if (answer.outcome == base::Outcome::kAnswered) {
    return IdEndAnswered{
        {answer.status, std::string(FindHeader(answer.headers, "Content-Type")),
         answer.body}};
  }
  if (answer.outcome == base::Outcome::kNotRun) {
    return IdEndNotRun{};
  }
  return IdEndUnknown{answer.error.value_or(base::ErrorKind::kInternal)};
}

CallerAnswer RunWithId(RequestContext& context,
                       const RoutingView& view,
                       const ResolvedRequest& resolved,
                       const routing::ServeHere& plan,
                       GroupGate* gate) {
  const IdScope scope = ScopeOf(resolved, gate);
  limits::BeginResult begun =
      BeginId(context.request_ids, scope.group, view.self, scope.epoch,
              *resolved.id, FingerprintOf(resolved.request));
  if (auto* const kept = std::get_if<limits::StoredAnswer>(&begun)) {
    return FromStoredAnswer(std::move(*kept));
  }
  if (const auto* const refused = std::get_if<limits::RefuseId>(&begun)) {
    CallerAnswer answer =
        ErrorAnswer(refused->kind, "the request id decides the answer");
    answer.is_confirmed_by_id_record = true;
    return answer;
  }
  CallerAnswer answer =
      plan.replay_only
          ? ErrorAnswer(base::ErrorKind::kQuarantined,
                        "targets died while they ran this request")
          : RunWithSuspectCheck(context, view, resolved, plan.single_run, gate);
  answer.is_confirmed_by_id_record = true;
  EndId(context.request_ids, scope.group, *resolved.id, EndOf(answer));
  return answer;
}

void AddNewRequestId(RequestContext& context,
                     const RoutingView& view,
                     const ResolvedRequest& resolved,
                     const GroupGate* gate,
                     CallerAnswer& answer) {
  const IdScope scope = ScopeOf(resolved, gate);
  answer.headers.push_back(
      {std::string(kRequestIdHeader),
       IssueId(context.request_ids, scope.group, view.self, scope.epoch)});
}

}  // namespace

CallerAnswer ServeLocally(RequestContext& context,
                          const RoutingView& view,
                          const ResolvedRequest& resolved,
                          const routing::ServeHere& plan,
                          GroupGate* gate) {
  // The gate is entered before the id is looked up: a release waits for the
  // gate to be empty before it hands the record over, so no id is begun in a
  // record that has left.
  if (gate != nullptr && !TryEnter(*gate, base::BootClock::now())) {
    return ErrorAnswer(base::ErrorKind::kNoOwner,
                       "this daemon may not serve the group now");
  }
  if (gate != nullptr) {
    CountKey(*gate, resolved.request.key);
  }
  const bool has_id = !resolved.entry.kind->idempotent;
  CallerAnswer answer = has_id ? RunWithId(context, view, resolved, plan, gate)
                               : RunWithSuspectCheck(context, view, resolved,
                                                     plan.single_run, gate);
  if (has_id && answer.outcome == base::Outcome::kAnswered) {
    AddNewRequestId(context, view, resolved, gate, answer);
  }
  if (gate != nullptr) {
    Leave(*gate);
  }
  answer.headers.push_back({std::string(kInFlightHeader),
                            std::to_string(context.target.in_flight.load())});
  return answer;
}

CallerAnswer MakeIdRequiredAnswer(RequestContext& context,
                                  const RoutingView& view,
                                  const ResolvedRequest& resolved,
                                  const GroupGate* gate) {
  CallerAnswer answer =
      ErrorAnswer(base::ErrorKind::kIdRequired,
                  "send the request again with the id of this answer");
  AddNewRequestId(context, view, resolved, gate, answer);
  return answer;
}

}  // namespace eelgrassbridge::daemon
