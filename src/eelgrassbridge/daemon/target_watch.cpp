// Polls the local target and sends grants to it.
#include "eelgrassbridge/daemon/target_watch.hpp"

#include <pthread.h>

#include <nlohmann/json.hpp>
#include <string>

#include "eelgrassbridge/base/log.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr base::Duration kCallTimeout = base::milliseconds{300};
constexpr int kUnavailableStatus = 503;
constexpr int kServerErrorStatus = 500;
/// Maximum number of grants queued for a target that does not answer. Requests
/// carry the epoch too, so a dropped grant only delays fencing.
constexpr std::size_t kMaxUnconfirmedGrants = 1024;

base::Result<ExchangeAnswer> Call(TargetWatch& watch,
                                  const ExchangeRequest& request) {
  return Exchange(watch.target.connections, watch.target.settings.address,
                  request, base::BootClock::now() + kCallTimeout,
                  kTargetErrors);
}

TargetPoll Poll(TargetWatch& watch) {
  TargetPoll poll;
  const auto instance = FetchTargetInstance(watch.target);
  if (!instance) {
    return poll;
  }
  poll.answered = true;
  poll.new_instance = RecordTargetInstance(watch.target, instance.value());
  const auto health = Call(watch, {"GET", "/target/health", {}, {}});
  poll.draining = health && health.value().status == kUnavailableStatus;
  return poll;
}

/// Sends a grant and returns whether it need not be sent again: the target
/// accepted it, knows a higher epoch, or has no such endpoint.
bool SendGrant(TargetWatch& watch, const ownership::GroupEpoch& grant) {
  const auto answer =
      Call(watch, {"POST",
                   "/target/grant",
                   {{std::string(kGroupHeader), base::ToString(grant.group)},
                    {std::string(kEpochHeader), std::to_string(grant.epoch)}},
                   {}});
  return answer && answer.value().status < kServerErrorStatus;
}

void SendGrants(TargetWatch& watch) {
  while (auto grant = watch.grants.Pop()) {
    if (watch.unconfirmed_grants.size() >= kMaxUnconfirmedGrants) {
      watch.unconfirmed_grants.pop_front();
    }
    watch.unconfirmed_grants.push_back(std::move(*grant));
  }
  while (!watch.unconfirmed_grants.empty() &&
         SendGrant(watch, watch.unconfirmed_grants.front())) {
    watch.unconfirmed_grants.pop_front();
  }
}

void ReportChange(TargetWatch& watch, const TargetPoll& poll, bool changed) {
  if (!changed && !poll.new_instance) {
    return;
  }
  if (changed) {
    base::LogEvent(watch.health.usable ? "target_usable" : "target_unusable",
                   {{"draining", poll.draining ? "true" : "false"}});
  }
  if (poll.new_instance) {
    base::LogEvent("target_restarted");
  }
  watch.events.Push({watch.health.usable, poll.new_instance});
  base::Signal(watch.wake_control);
}

void RunWatch(TargetWatch& watch) {
  pthread_setname_np(pthread_self(), "target-watch");
  base::TimePoint next_poll{};
  while (!watch.stopping.load()) {
    if (base::BootClock::now() >= next_poll) {
      const TargetPoll poll = Poll(watch);
      const base::TimePoint now = base::BootClock::now();
      ReportChange(watch, poll,
                   UpdateHealth(watch.health, poll, watch.options, now));
      next_poll = now + watch.options.poll_interval;
    }
    if (watch.health.usable) {
      SendGrants(watch);
    }
    base::WaitFor(watch.wake, next_poll - base::BootClock::now());
  }
}

}  // namespace

bool UpdateHealth(TargetHealth& health,
                  const TargetPoll& poll,
                  const TargetWatchOptions& options,
                  base::TimePoint now) {
  const bool before = health.usable;
  if (!poll.answered) {
    if (now - health.last_answer > options.unresponsive_timeout) {
      health.usable = false;
      health.answering_since.reset();
    }
    return before != health.usable;
  }
  health.last_answer = now;
  if (!health.answering_since) {
    health.answering_since = now;
  }
  const bool has_recovered =
      !health.has_answered ||
      now - *health.answering_since >= options.recovery_time;
  health.has_answered = true;
  if (poll.draining) {
    health.usable = false;
  } else if (health.usable || has_recovered) {
    health.usable = true;
  }
  return before != health.usable;
}

TargetWatch::TargetWatch(LocalTarget& local_target,
                         base::WakeEvent& control_wake,
                         TargetWatchOptions watch_options)
    : target(local_target),
      wake_control(control_wake),
      options(watch_options) {}

TargetWatch::~TargetWatch() {
  StopTargetWatch(*this);
}

void StartTargetWatch(TargetWatch& watch) {
  watch.thread = std::thread([&watch] { RunWatch(watch); });
}

void StopTargetWatch(TargetWatch& watch) {
  watch.stopping.store(true);
  base::Signal(watch.wake);
  if (watch.thread.joinable()) {
    watch.thread.join();
  }
}

}  // namespace eelgrassbridge::daemon
