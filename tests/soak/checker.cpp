// Checks at each run, at each change of holds, and at the end.
#include "checker.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::soak {

namespace {

using base::TimePoint;
using standins::TargetRun;
using standins::TargetStandin;

// Bounds of the platform's site files.
constexpr base::Duration kContact = base::seconds{4};
constexpr base::Duration kEvacuation = base::seconds{5};
constexpr base::Duration kDrain = base::milliseconds{2500};
constexpr base::Duration kLossSlack = base::milliseconds{200};
/// Two targets may hold the same keys for at most this long.
constexpr base::Duration kMostOverlap = base::milliseconds{500};
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;
constexpr int kMisdirected = 421;
constexpr int kRequestTimeout = 408;

std::string LifeOf(const TargetStandin& target) {
  return fmt::format("{}/{}", target.id, target.born);
}

bool IsHolding(const TargetStandin& target) {
  return !target.down && base::BootClock::now() < target.held_until;
}

const Place& PlaceOf(const Fleet& fleet, const TargetStandin& target) {
  return **std::ranges::find_if(fleet.places, [&target](const auto& place) {
    return &place->target == &target;
  });
}

void CheckRun(Checker& checker,
              const TargetStandin& target,
              const TargetRun& run) {
  const int count = ++checker.runs[run.request];
  const auto found = checker.requests.find(run.request);
  if (found == checker.requests.end()) {
    Violate(checker, "unasked", "a target runs " + run.request);
    return;
  }
  const SentRequest& sent = found->second;
  if (sent.method != run.method || sent.path != run.path ||
      sent.caller_service != run.caller_service) {
    Violate(checker, "unasked", run.request + " was changed on its way");
  }
  if (sent.service != target.service) {
    Violate(checker, "route", run.request + " runs at " + target.service);
  }
  if (!sent.idempotent && count > 1) {
    Violate(checker, "twice", run.request);
  }
  const TimePoint now = base::BootClock::now();
  if (target.leaving_acknowledged_at != TimePoint{} &&
      now > target.leaving_acknowledged_at + kDrain) {
    Violate(checker, "drain", run.request + " at " + target.id);
  }
  const Fleet& fleet = checker.fleet;
  if (fleet.data_centre_out == PlaceOf(fleet, target).data_centre &&
      now > fleet.out_since + kEvacuation && IsCalm(checker, kContact)) {
    Violate(checker, "evacuation", run.request + " at " + target.id);
  }
  if (!run.key) {
    return;
  }
  for (const auto& place : fleet.places) {
    const TargetStandin& other = place->target;
    if (&other != &target && other.divided && IsHolding(other) &&
        Holds(other, *run.key)) {
      Violate(checker, "owner",
              fmt::format("{} runs key {} that {} holds, too", target.id,
                          *run.key, other.id));
    }
  }
}

void CheckTokens(Checker& checker, const TargetStandin& target) {
  const std::string life = LifeOf(target);
  for (const auto& hold : target.holds) {
    for (std::uint32_t key = hold.first; key <= hold.last; ++key) {
      Checker::Token& known = checker.tokens[key];
      const bool lower = known.holder == life ? hold.token < known.token
                                              : hold.token <= known.token;
      if (lower && !known.holder.empty()) {
        Violate(checker, "fencing",
                fmt::format("{} takes key {} with token {} after {} of {}",
                            life, key, hold.token, known.token, known.holder));
        break;
      }
      known = {hold.token, life};
    }
  }
}

bool Overlap(const TargetStandin& left, const TargetStandin& right) {
  return std::ranges::any_of(left.holds, [&right](const auto& hold) {
    return std::ranges::any_of(right.holds, [&hold](const auto& other) {
      return hold.first <= other.last && other.first <= hold.last;
    });
  });
}

bool PromisesNotRun(int status) {
  return status == kServiceUnavailable || status == kTooManyRequests ||
         status == kMisdirected || status == kRequestTimeout;
}

}  // namespace

void Watch(Checker& checker) {
  checker.tokens.resize(ranges::kLastKey + 1);
  for (const auto& place : checker.fleet.places) {
    place->target.on_run = [&checker](const TargetStandin& target,
                                      const TargetRun& run) {
      CheckRun(checker, target, run);
    };
    place->target.on_holds = [&checker](const TargetStandin& target) {
      CheckTokens(checker, target);
      CheckHolds(checker);
    };
  }
}

void Violate(Checker& checker, std::string_view rule, std::string detail) {
  checker.violations.insert(fmt::format("{}: {}", rule, detail));
}

bool IsCalm(const Checker& checker, base::Duration time) {
  return base::BootClock::now() > checker.calm.undisturbed_since + time;
}

void CheckHolds(Checker& checker) {
  const TimePoint now = base::BootClock::now();
  const auto& places = checker.fleet.places;
  for (std::size_t i = 0; i < places.size(); ++i) {
    for (std::size_t j = i + 1; j < places.size(); ++j) {
      const TargetStandin& left = places[i]->target;
      const TargetStandin& right = places[j]->target;
      const std::string pair = left.id + " and " + right.id;
      if (!left.divided || !right.divided || !IsHolding(left) ||
          !IsHolding(right) || !Overlap(left, right)) {
        checker.overlaps.erase(pair);
      } else if (now - checker.overlaps.emplace(pair, now).first->second >
                 kMostOverlap) {
        Violate(checker, "owner", pair + " hold the same keys");
      }
    }
  }
}

void CheckRequests(Checker& checker) {
  for (const auto& [id, sent] : checker.requests) {
    const auto found = checker.runs.find(id);
    const int runs = found == checker.runs.end() ? 0 : found->second;
    if (PromisesNotRun(sent.status) && !sent.idempotent && runs > 0) {
      Violate(checker, "refused", id + " was refused and has run");
    }
    // A request that crosses the close of its connection was not read.
    const bool was_read = runs > 0 || sent.ended_at - sent.sent_at > kLossSlack;
    if (sent.calm && sent.status == 0 && was_read) {
      Violate(checker, "lost", id + " had no answer beside planned work only");
    }
  }
}

}  // namespace eelgrassbridge::soak
