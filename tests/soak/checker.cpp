// Checks at each run, at each change of holds, and at the end of the test.
#include "checker.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::soak {

namespace {

using base::TimePoint;
using standins::TargetRun;
using standins::TargetStandin;

// Bounds that the platform's site files set.
constexpr base::Duration kContactBound = base::seconds{4};
constexpr base::Duration kEvacuationBound = base::seconds{5};
constexpr base::Duration kDrainBound = base::milliseconds{2500};
/// A request that fails within this time may have been sent while its
/// connection was being closed.
constexpr base::Duration kCloseRaceWindow = base::milliseconds{200};
/// Two targets may hold the same keys for at most this long.
constexpr base::Duration kMaxOverlap = base::milliseconds{500};
/// A planned stop may end this long before the end of the grace period.
constexpr base::Duration kGraceMargin = base::milliseconds{600};
/// Requests that a cold target may get in one second: the rate of its service,
/// 17, times 1.5, plus 5.
constexpr std::size_t kMaxColdArrivals = 30;
/// What a link has held or delayed arrives for this long after its fault.
constexpr base::Duration kLinkSettleTime = base::milliseconds{500};
/// Longer pauses of this program are noted.
constexpr base::Duration kNotedPause = base::milliseconds{120};
constexpr std::chrono::milliseconds kPauseWatchInterval{20};
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;
constexpr int kMisdirected = 421;
constexpr int kRequestTimeout = 408;

std::string HolderId(const TargetStandin& target) {
  return fmt::format("{}/{}", target.id, target.start_time_ms);
}

bool IsHolding(const TargetStandin& target) {
  return !target.down && base::BootClock::now() < target.holds_expire_at;
}

const Vm& FindVm(const Fleet& fleet, const TargetStandin& target) {
  return **std::ranges::find_if(
      fleet.vms, [&target](const auto& vm) { return &vm->target == &target; });
}

void CheckRun(Checker& checker,
              const TargetStandin& target,
              const TargetRun& run) {
  const int count = ++checker.runs[run.request];
  const auto found = checker.requests.find(run.request);
  if (found == checker.requests.end()) {
    AddViolation(checker, "unasked",
                 "a target ran unknown request " + run.request);
    return;
  }
  const SentRequest& sent = found->second;
  if (sent.method != run.method || sent.path != run.path ||
      sent.caller_service != run.caller_service) {
    AddViolation(checker, "unasked", run.request + " was altered in transit");
  }
  if (sent.service != target.service) {
    AddViolation(checker, "route", run.request + " ran at " + target.service);
  }
  if (!sent.idempotent && count > 1) {
    AddViolation(checker, "twice", run.request);
  }
  const TimePoint now = base::BootClock::now();
  if (target.leaving_acknowledged_at != TimePoint{} &&
      now > target.leaving_acknowledged_at + kDrainBound) {
    AddViolation(checker, "drain", run.request + " at " + target.id);
  }
  const Fleet& fleet = checker.fleet;
  if (fleet.evacuated_data_centre == FindVm(fleet, target).data_centre &&
      now > fleet.evacuated_at + kEvacuationBound &&
      IsUndisturbedFor(checker, kContactBound)) {
    AddViolation(checker, "evacuation", run.request + " at " + target.id);
  }
  if (!run.key) {
    return;
  }
  for (const auto& vm : fleet.vms) {
    const TargetStandin& other = vm->target;
    if (&other != &target && other.divided && IsHolding(other) &&
        Holds(other, *run.key)) {
      AddViolation(checker, "owner",
                   fmt::format("{} ran key {}, which {} also holds", target.id,
                               *run.key, other.id));
    }
  }
}

void CheckTokens(Checker& checker, const TargetStandin& target) {
  const std::string holder_id = HolderId(target);
  for (const auto& hold : target.holds) {
    for (std::uint32_t key = hold.first; key <= hold.last; ++key) {
      Checker::Token& known = checker.tokens[key];
      const bool lower = known.holder == holder_id ? hold.token < known.token
                                                   : hold.token <= known.token;
      if (lower && !known.holder.empty()) {
        AddViolation(
            checker, "fencing",
            fmt::format("{} holds key {} with token {} after token {} of {}",
                        holder_id, key, hold.token, known.token, known.holder));
        break;
      }
      known = {hold.token, holder_id};
    }
  }
}

void NotePause(Checker& checker, TimePoint now) {
  if (now - checker.running_at > kNotedPause) {
    checker.paused_at = now;
    ++checker.pause_count;
  }
  checker.running_at = now;
}

/// Arrivals that a link or a pause of this program may have bunched are not
/// counted: the limit is one of the sends.
void CheckColdArrival(Checker& checker, const TargetStandin& target) {
  const TimePoint now = base::BootClock::now();
  NotePause(checker, now);
  const Vm& vm = FindVm(checker.fleet, target);
  auto& arrivals = checker.cold_arrivals[vm.name];
  const TimePoint bunched_until = std::max(
      vm.target_link.undisturbed_since + kLinkSettleTime, checker.paused_at);
  const TimePoint first = std::max(bunched_until, now - base::seconds{1});
  arrivals.push_back(now);
  std::erase_if(arrivals, [first](TimePoint at) { return at <= first; });
  ++checker.cold_arrival_count;
  checker.most_cold_arrivals =
      std::max(checker.most_cold_arrivals, arrivals.size());
  if (arrivals.size() > kMaxColdArrivals) {
    AddViolation(checker, "cold",
                 target.id + " got more requests in one second than a cold " +
                     "target may");
  }
}

bool HoldsOverlap(const TargetStandin& left, const TargetStandin& right) {
  return std::ranges::any_of(left.holds, [&right](const auto& hold) {
    return std::ranges::any_of(right.holds, [&hold](const auto& other) {
      return hold.first <= other.last && other.first <= hold.last;
    });
  });
}

bool GuaranteesNotRun(int status) {
  return status == kServiceUnavailable || status == kTooManyRequests ||
         status == kMisdirected || status == kRequestTimeout;
}

/// What happened to the process while it had the request.
std::string ProcessStateOf(const Vm& vm,
                           std::uint64_t generation,
                           const SentRequest& sent) {
  const ProcessEvents& events = vm.events;
  if (events.killed_at >= sent.sent_at) {
    return "killed";
  }
  if (events.stopped_generation == generation &&
      sent.ended_at >= events.stopped_at + kTerminationGrace - kGraceMargin) {
    return "grace_end";
  }
  if (events.frozen_until >= sent.sent_at) {
    return "frozen";
  }
  if (events.cut_until >= sent.sent_at) {
    return "cut";
  }
  return std::string(kAlive);
}

void CheckKept(Checker& checker,
               const std::string& id,
               const SentRequest& sent) {
  if (sent.process_state.empty()) {
    return;
  }
  if (!checker.arrivals.contains(id)) {
    ++checker.kept.crossed;
    return;
  }
  ++checker.kept.unanswered[sent.process_state];
  if (sent.process_state == kAlive) {
    AddViolation(checker, "lost",
                 id + " was passed on and its connection closed by a living " +
                     "process without an answer");
  }
}

}  // namespace

void EndKept(Checker& checker,
             const Vm& vm,
             std::uint64_t generation,
             const std::string& id,
             KeptEnd end) {
  KeptCounts& counts = checker.kept;
  ++counts.requests;
  counts.answered += end == KeptEnd::kAnswered ? 1 : 0;
  counts.answers_cut += end == KeptEnd::kAnswerCut ? 1 : 0;
  counts.gave_up += end == KeptEnd::kGaveUp ? 1 : 0;
  if (end == KeptEnd::kClosed) {
    SentRequest& sent = checker.requests[id];
    sent.process_state = ProcessStateOf(vm, generation, sent);
  }
}

void AttachChecker(Checker& checker) {
  checker.tokens.resize(ranges::kLastKey + 1);
  for (const auto& vm : checker.fleet.vms) {
    vm->target.on_arrival = [&checker](std::string_view id) {
      checker.arrivals.emplace(id);
    };
    vm->target.on_run = [&checker](const TargetStandin& target,
                                   const TargetRun& run) {
      CheckRun(checker, target, run);
    };
    vm->target.on_cold_arrival = [&checker](const TargetStandin& target) {
      CheckColdArrival(checker, target);
    };
    vm->target.on_holds_changed = [&checker](const TargetStandin& target) {
      CheckTokens(checker, target);
      CheckHolds(checker);
    };
  }
}

void AddViolation(Checker& checker, std::string_view rule, std::string detail) {
  checker.violations.insert(fmt::format("{}: {}", rule, detail));
}

bool IsUndisturbedFor(const Checker& checker, base::Duration time) {
  return base::BootClock::now() > checker.disturbance.undisturbed_since + time;
}

asio::awaitable<void> WatchPauses(Checker& checker) {
  while (true) {
    co_await http::Sleep(checker.fleet.io, kPauseWatchInterval);
    NotePause(checker, base::BootClock::now());
  }
}

void CheckHolds(Checker& checker) {
  const TimePoint now = base::BootClock::now();
  const auto& vms = checker.fleet.vms;
  for (std::size_t i = 0; i < vms.size(); ++i) {
    for (std::size_t j = i + 1; j < vms.size(); ++j) {
      const TargetStandin& left = vms[i]->target;
      const TargetStandin& right = vms[j]->target;
      const std::string pair = left.id + " and " + right.id;
      if (!left.divided || !right.divided || !IsHolding(left) ||
          !IsHolding(right) || !HoldsOverlap(left, right)) {
        checker.overlaps.erase(pair);
      } else if (now - checker.overlaps.emplace(pair, now).first->second >
                 kMaxOverlap) {
        AddViolation(checker, "owner", pair + " hold the same keys");
      }
    }
  }
}

void CheckRequests(Checker& checker) {
  for (const auto& [id, sent] : checker.requests) {
    const auto found = checker.runs.find(id);
    const int runs = found == checker.runs.end() ? 0 : found->second;
    if (GuaranteesNotRun(sent.status) && !sent.idempotent && runs > 0) {
      AddViolation(checker, "refused", id + " was refused but ran");
    }
    CheckKept(checker, id, sent);
    // A request that races with the close of its connection is not read.
    const bool was_read =
        runs > 0 || sent.ended_at - sent.sent_at > kCloseRaceWindow;
    if (sent.undisturbed && sent.status == 0 && was_read) {
      AddViolation(checker, "lost",
                   id + " got no response without an unplanned disturbance");
    }
  }
}

}  // namespace eelgrassbridge::soak
