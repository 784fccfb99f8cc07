// The steps before and after a request runs on the local target.
#include "eelgrassbridge/daemon/local_run.hpp"

#include <spdlog/fmt/fmt.h>

#include <thread>

#include "eelgrassbridge/daemon/suspect_watch.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Delay of the answer after a target death. Without it, a caller that resends
/// the request at once could reach another daemon before the gossip about the
/// suspect, which the control thread sends at its next tick of 50 ms.
constexpr base::Duration kSuspectGossipDelay = base::milliseconds{100};

/// @brief The group and epoch under which a request id is recorded.
struct IdScope {
  base::GroupId group;
  std::uint64_t epoch = 0;
};

IdScope IdScopeOf(const ResolvedRequest& resolved, const GroupGate* gate) {
  if (gate != nullptr) {
    return {gate->group, gate->epoch};
  }
  return {UndividedGroup(resolved.entry.service->name), 0};
}

/// Runs the request and checks whether the target died while it ran.
CallerAnswer RunAndCheckDeath(RequestContext& context,
                              const RoutingView& view,
                              const ResolvedRequest& resolved,
                              GroupGate* gate) {
  // If the target restarts between two polls, the recorded instance id is that
  // of the previous process, and two deaths would be counted as one.
  const auto instance = CurrentTargetInstance(context.target);
  if (!instance) {
    return ErrorAnswer(base::ErrorKind::kTargetUnreachable,
                       "the target has not answered since its connection was "
                       "lost");
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
    return RunAndCheckDeath(context, view, resolved, gate);
  }
  if (!TryStartSuspectRun(context, resolved.request)) {
    return ErrorAnswer(base::ErrorKind::kOverloaded,
                       "the request may have stopped a target and is already "
                       "running; such requests run one at a time");
  }
  CallerAnswer answer = RunAndCheckDeath(context, view, resolved, gate);
  EndSuspectRun(context, resolved.request,
                answer.outcome == base::Outcome::kAnswered);
  return answer;
}

CallerAnswer FromStoredAnswer(limits::StoredAnswer stored) {
  CallerAnswer answer;
  answer.status = stored.status;
  answer.outcome = base::Outcome::kAnswered;
  answer.headers = {{"Content-Type", std::move(stored.content_type)}};
  answer.body = std::move(stored.body);
  return answer;
}

IdEnd ToIdEnd(const CallerAnswer& answer) {
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
  const IdScope scope = IdScopeOf(resolved, gate);
  limits::BeginResult begun =
      BeginId(context.request_ids, scope.group, view.self, scope.epoch,
              *resolved.id, FingerprintOf(resolved.request));
  if (auto* const stored = std::get_if<limits::StoredAnswer>(&begun)) {
    return FromStoredAnswer(std::move(*stored));
  }
  if (const auto* const refused = std::get_if<limits::RefuseId>(&begun)) {
    CallerAnswer answer =
        ErrorAnswer(refused->kind, "refused by the record of request ids");
    answer.is_confirmed_by_id_record = true;
    return answer;
  }
  CallerAnswer answer =
      plan.replay_only
          ? ErrorAnswer(base::ErrorKind::kQuarantined,
                        "targets died while running this request")
          : RunWithSuspectCheck(context, view, resolved, plan.single_run, gate);
  answer.is_confirmed_by_id_record = true;
  EndId(context.request_ids, scope.group, *resolved.id, ToIdEnd(answer));
  return answer;
}

void AddNewRequestId(RequestContext& context,
                     const RoutingView& view,
                     const ResolvedRequest& resolved,
                     const GroupGate* gate,
                     CallerAnswer& answer) {
  const IdScope scope = IdScopeOf(resolved, gate);
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
  // The gate is entered before the id is looked up. A release hands the id
  // record over only after all requests have left the gate, so no request
  // begins in a record that has already been handed over.
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
                  "send the request again with the id in this response");
  AddNewRequestId(context, view, resolved, gate, answer);
  return answer;
}

}  // namespace eelgrassbridge::daemon
