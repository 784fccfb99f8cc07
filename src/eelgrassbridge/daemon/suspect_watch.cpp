// Access to the quarantine under its mutex, and detection of target deaths.
#include "eelgrassbridge/daemon/suspect_watch.hpp"

#include <charconv>

namespace eelgrassbridge::daemon {

namespace {

void RecordDeath(RequestContext& context,
                 const CallerRequest& request,
                 std::uint64_t target_run) {
  const std::scoped_lock lock(context.poison.mutex);
  routing::RecordTargetDeath(context.poison.quarantine, FingerprintOf(request),
                             target_run, base::BootClock::now());
  context.poison.has_suspects = true;
  context.poison.has_unsent_deaths = true;
}

}  // namespace

routing::Fingerprint FingerprintOf(const CallerRequest& request) {
  return routing::RequestFingerprint(request.service, request.kind,
                                     request.target, request.key, request.body);
}

routing::PoisonVerdict SuspectVerdict(RequestContext& context,
                                      const CallerRequest& request) {
  if (!context.poison.has_suspects.load(std::memory_order_relaxed)) {
    return routing::PoisonVerdict::kNormal;
  }
  const routing::Fingerprint fingerprint = FingerprintOf(request);
  const std::scoped_lock lock(context.poison.mutex);
  return routing::VerdictOf(context.poison.quarantine, fingerprint,
                            base::BootClock::now());
}

bool TryStartSuspectRun(RequestContext& context, const CallerRequest& request) {
  const std::scoped_lock lock(context.poison.mutex);
  return routing::TryStartSingleRun(context.poison.quarantine,
                                    FingerprintOf(request),
                                    base::BootClock::now());
}

void EndSuspectRun(RequestContext& context,
                   const CallerRequest& request,
                   bool answered) {
  const std::scoped_lock lock(context.poison.mutex);
  routing::EndSingleRun(context.poison.quarantine, FingerprintOf(request),
                        answered);
}

bool CheckTargetDeath(RequestContext& context,
                      const RoutingView& view,
                      const CallerRequest& request,
                      std::string_view instance_before) {
  const auto instance = FetchTargetInstance(context.target);
  const bool is_same = instance && instance.value() == instance_before;
  if (is_same) {
    return false;
  }
  if (instance) {
    RecordTargetInstance(context.target, instance.value());
  } else {
    MarkTargetInstanceUncertain(context.target);
  }
  context.request_counters.target_deaths.fetch_add(1);
  RecordDeath(context, request,
              routing::TargetRunIdentity(view.self, instance_before));
  return true;
}

void RecordRemoteTargetDeath(RequestContext& context,
                             const CallerRequest& request,
                             const CallerAnswer& answer) {
  const std::string_view text = FindHeader(answer.headers, kTargetRunHeader);
  std::uint64_t target_run = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), target_run, 16);
  if (!text.empty() && error == std::errc{}) {
    RecordDeath(context, request, target_run);
  }
}

}  // namespace eelgrassbridge::daemon
