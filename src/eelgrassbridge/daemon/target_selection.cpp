// Maintains the tables of targets by service and residency, which are built
// from the peers of the routing view.
#include "eelgrassbridge/daemon/target_selection.hpp"

#include <charconv>
#include <random>

#include "eelgrassbridge/routing/residency_check.hpp"

namespace eelgrassbridge::daemon {

namespace {

std::string TableKey(const ResolvedRequest& resolved) {
  return resolved.entry.service->name + "/" + resolved.residency;
}

routing::Locality LocalityOf(const settings::Settings& own,
                             const PeerView& peer) {
  if (peer.region != own.region) {
    return routing::Locality::kOtherRegion;
  }
  return peer.data_centre == own.data_centre ? routing::Locality::kDataCentre
                                             : routing::Locality::kRegion;
}

bool IsServedHere(const RequestContext& context,
                  const ResolvedRequest& resolved) {
  return context.settings.target.service == resolved.entry.service->name;
}

std::vector<routing::TargetMember> Members(const RequestContext& context,
                                           const RoutingView& view,
                                           const ResolvedRequest& resolved) {
  std::vector<routing::TargetMember> members;
  if (IsServedHere(context, resolved)) {
    members.push_back(
        {view.self, routing::Locality::kDataCentre, !view.draining});
  }
  if (view.peers == nullptr) {
    return members;
  }
  for (const auto& [id, peer] : *view.peers) {
    if (id != view.self && peer.service == resolved.entry.service->name &&
        routing::IsHomeRegion(*resolved.entry.home_regions, peer.region)) {
      members.push_back(
          {id, LocalityOf(context.settings, peer), peer.accepts_requests});
    }
  }
  return members;
}

/// Returns the table for the request, rebuilt if the view has changed. Must be
/// called with the mutex held.
TargetChoiceTable& CurrentTable(RequestContext& context,
                                const RoutingView& view,
                                const ResolvedRequest& resolved) {
  TargetChoiceTable& table = context.target_choice.tables[TableKey(resolved)];
  const bool is_current = !table.targets.targets.empty() &&
                          table.peers == view.peers &&
                          table.draining == view.draining;
  if (!is_current) {
    table.peers = view.peers;
    table.draining = view.draining;
    routing::SetMembers(table.targets, Members(context, view, resolved));
  }
  return table;
}

std::uint64_t RandomNumber() {
  thread_local std::mt19937_64 engine{std::random_device{}()};
  return engine();
}

std::optional<std::uint32_t> InFlightOf(const CallerAnswer& answer) {
  const std::string_view text = FindHeader(answer.headers, kInFlightHeader);
  std::uint32_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{}) {
    return std::nullopt;
  }
  return value;
}

routing::AnswerReport::Kind ReportKindOf(const CallerAnswer& answer) {
  if (!answer.error) {
    return routing::AnswerReport::Kind::kAnswered;
  }
  switch (*answer.error) {
    case base::ErrorKind::kOverloaded:
    case base::ErrorKind::kDeadlineBeforeRun:
    case base::ErrorKind::kTargetRefused:
      return routing::AnswerReport::Kind::kOverloaded;
    case base::ErrorKind::kPeerUnreachable:
    case base::ErrorKind::kPeerLost:
    case base::ErrorKind::kPeerTimeout:
    case base::ErrorKind::kTargetUnreachable:
    case base::ErrorKind::kTargetLost:
    case base::ErrorKind::kTargetTimeout:
    case base::ErrorKind::kAnswerCut:
      return routing::AnswerReport::Kind::kFailed;
    default:
      // Errors caused by the caller or the catalogue say nothing about the
      // target.
      return routing::AnswerReport::Kind::kCancelled;
  }
}

}  // namespace

std::optional<base::DaemonId> SelectTarget(
    RequestContext& context,
    const RoutingView& view,
    const ResolvedRequest& resolved,
    std::span<const base::DaemonId> exclude,
    routing::Locality farthest) {
  const std::scoped_lock lock(context.target_choice.mutex);
  const TargetChoiceTable& table = CurrentTable(context, view, resolved);
  return routing::ChooseTarget(table.targets, RandomNumber(), exclude,
                               base::BootClock::now(), farthest);
}

std::vector<base::DaemonId> EligibleDaemons(const RequestContext& context,
                                            const RoutingView& view,
                                            const ResolvedRequest& resolved) {
  std::vector<base::DaemonId> daemons;
  for (const routing::TargetMember& member : Members(context, view, resolved)) {
    if (member.may_get_work) {
      daemons.push_back(member.id);
    }
  }
  return daemons;
}

void RecordAttempt(RequestContext& context,
                   const ResolvedRequest& resolved,
                   base::DaemonId target,
                   bool is_first) {
  const std::scoped_lock lock(context.target_choice.mutex);
  routing::RecordRequestSent(
      context.target_choice.tables[TableKey(resolved)].targets, target,
      base::BootClock::now());
  if (is_first) {
    limits::NoteFirstAttempt(context.target_choice.retry_budget,
                             resolved.entry.kind->priority, target);
  }
}

void RecordAttemptEnd(RequestContext& context,
                      const ResolvedRequest& resolved,
                      base::DaemonId target,
                      const CallerAnswer& answer,
                      base::Duration latency) {
  const routing::AnswerReport report{ReportKindOf(answer), latency,
                                     InFlightOf(answer)};
  const std::scoped_lock lock(context.target_choice.mutex);
  routing::RecordAnswer(
      context.target_choice.tables[TableKey(resolved)].targets, target, report,
      base::BootClock::now());
}

bool TakeRetry(RequestContext& context,
               const ResolvedRequest& resolved,
               base::DaemonId failed_target) {
  const std::scoped_lock lock(context.target_choice.mutex);
  return limits::TakeExtraAttempt(context.target_choice.retry_budget,
                                  resolved.entry.kind->priority, failed_target);
}

}  // namespace eelgrassbridge::daemon
