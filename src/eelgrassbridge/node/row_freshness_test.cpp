// Tests of the decisions on how recent the operator's rows are.
#include "eelgrassbridge/node/row_freshness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <span>

namespace eelgrassbridge::node {
namespace {

constexpr base::Duration kBound = base::milliseconds{2500};

base::TimePoint At(std::int64_t milliseconds) {
  constexpr base::seconds kStart{1000};
  return base::TimePoint{kStart + base::milliseconds{milliseconds}};
}

TEST_CASE("a poll without changes confirms up to the end of its wait") {
  // Guards against a confirmation that rests on a read that was not made: the
  // answer was on its way for long, or the store has answered early.
  const base::Duration wait = base::milliseconds{1000};
  CHECK(AsOfPoll(At(0), wait, false, At(1060)) == At(1000));
  CHECK(AsOfPoll(At(0), wait, false, At(5000)) == At(1000));
  CHECK(AsOfPoll(At(0), wait, false, At(40)) == At(40));
  CHECK(AsOfPoll(At(0), wait, true, At(900)) == At(0));
}

TEST_CASE("confirmations come at a steady interval") {
  // Guards against knowledge that is older than the interval because a poll was
  // ended early by a change and the next one waits for the whole interval.
  const FreshnessOptions options = FreshnessOptionsFor(kBound);
  Freshness freshness;
  Confirm(freshness, {7, At(0)});
  CHECK(NextPollWait(freshness, At(60), options) == base::milliseconds{940});
  // A change after 900 ms: its answer confirms the start of the poll only.
  Confirm(freshness, {8, AsOfPoll(At(60), {}, true, At(960))});
  CHECK(NextPollWait(freshness, At(960), options) == base::milliseconds{100});
  CHECK(NextPollWait(freshness, At(5000), options) == base::Duration{0});
  CHECK(NextPollWait({}, At(0), options) == base::Duration{0});
  // The time of another machine may seem to lie ahead.
  CHECK(NextPollWait(freshness, At(-9000), options) ==
        options.confirm_interval);
}

TEST_CASE("an earlier statement does not replace a later one") {
  Freshness freshness;
  Confirm(freshness, {8, At(100)});
  Confirm(freshness, {7, At(50)});
  CHECK(freshness.latest.version == 8);
  CHECK(freshness.latest.as_of == At(100));
}

TEST_CASE("a relay answers a change at once, and time only in larger steps") {
  // Guards against changes that wait for the next confirmation, and against
  // requests that are answered again and again.
  const FreshnessOptions options = FreshnessOptionsFor(kBound);
  const Confirmation known{7, At(0)};
  CHECK(!IsNews({7, At(0)}, known, options));
  CHECK(!IsNews({7, At(300)}, known, options));
  CHECK(IsNews({7, At(500)}, known, options));
  CHECK(IsNews({8, At(0)}, known, options));
  CHECK(!IsNews({6, At(100)}, known, options));
}

TEST_CASE("relays are asked until some have no news, then the store is read") {
  // Guards against daemons that go on asking relays that cannot know, and
  // against reads of the store by all daemons while their rows are confirmed.
  const FreshnessOptions options = FreshnessOptionsFor(kBound);
  Freshness freshness;
  Confirm(freshness, {7, At(0)});
  RecordApplied(freshness, 7);
  for (std::size_t i = 0; i < options.relays_asked; ++i) {
    CHECK(!AreRelaysExhausted(freshness, options));
    RecordRelayWithoutNews(freshness);
  }
  CHECK(AreRelaysExhausted(freshness, options));
  CHECK(StoreReadDue(freshness, options, 0) == At(0) + options.store_limit);
  CHECK(StoreReadDue(freshness, options, 1) ==
        At(0) + options.store_limit + options.read_spread);
  // A change that has not arrived is no knowledge.
  Confirm(freshness, {8, At(200)});
  CHECK(!AreRelaysExhausted(freshness, options));
  CHECK(StoreReadDue(freshness, options, 0) == At(0) + options.store_limit);
  RecordApplied(freshness, 8);
  CHECK(StoreReadDue(freshness, options, 0) == At(200) + options.store_limit);
}

TEST_CASE("reads of the store that fail are repeated after a pause") {
  // Guards against a store that is asked without end while it is away.
  const FreshnessOptions options = FreshnessOptionsFor(kBound);
  Freshness freshness;
  Confirm(freshness, {7, At(0)});
  for (std::size_t i = 0; i < options.relays_asked; ++i) {
    RecordRelayWithoutNews(freshness);
  }
  RecordRead(freshness, false, At(300));
  CHECK(StoreReadDue(freshness, options, 0) ==
        At(300) + options.retry_interval);
  RecordRead(freshness, true, At(1900));
  CHECK(!freshness.read_failing);
}

/// A relay that the daemon of `LearnChange` asks.
struct RelayModel {
  enum class Kind : std::uint8_t { kAnswers, kRefuses, kSilent };
  Kind kind = Kind::kAnswers;
  /// From then on it refuses or is silent.
  base::TimePoint fails_at{};
};

/// When a relay ends a request: it answers at its next confirmation or at the
/// change, or refuses. The maximum if it is silent.
base::TimePoint EndOfRequest(const RelayModel& relay,
                             base::TimePoint asked_at,
                             base::TimePoint change_at,
                             const FreshnessOptions& options) {
  const base::Duration interval = options.confirm_interval;
  const auto past = (asked_at - At(0)) / interval;
  base::TimePoint answer_at = At(0) + interval * (past + 1);
  if (change_at > asked_at) {
    answer_at = std::min(answer_at, change_at);
  }
  if (relay.kind == RelayModel::Kind::kAnswers || answer_at < relay.fails_at) {
    return answer_at;
  }
  return relay.kind == RelayModel::Kind::kRefuses
             ? std::max(asked_at, relay.fails_at)
             : base::TimePoint::max();
}

/// When a daemon with these relays has a change: it asks one after the other,
/// and reads the store once that is due.
base::TimePoint LearnChange(std::span<const RelayModel> relays,
                            base::TimePoint change_at,
                            const FreshnessOptions& options) {
  constexpr base::Duration kReadTime = base::milliseconds{200};
  Freshness freshness;
  Confirm(freshness, {1, At(0)});
  RecordApplied(freshness, 1);
  base::TimePoint now = At(1);
  std::size_t next = 0;
  while (true) {
    const base::TimePoint read_at =
        std::max(now, StoreReadDue(freshness, options, 1));
    base::TimePoint ends_at = base::TimePoint::max();
    bool answers = false;
    if (next < relays.size() && !AreRelaysExhausted(freshness, options)) {
      const base::TimePoint deadline = RelayDeadline(freshness, now, options);
      ends_at = EndOfRequest(relays[next], now, change_at, options);
      answers = ends_at <= deadline &&
                (relays[next].kind == RelayModel::Kind::kAnswers ||
                 ends_at < relays[next].fails_at);
      ends_at = std::min(ends_at, deadline);
    }
    if (read_at <= ends_at) {
      if (read_at >= change_at) {
        return read_at + kReadTime;
      }
      Confirm(freshness, {1, read_at});
      RecordApplied(freshness, 1);
      now = read_at + kReadTime;
      continue;
    }
    now = std::max(ends_at, now + base::milliseconds{1});
    if (!answers) {
      RecordRelayWithoutNews(freshness);
      ++next;
    } else if (ends_at >= change_at) {
      return now;
    } else {
      Confirm(freshness, {1, ends_at});
      RecordApplied(freshness, 1);
    }
  }
}

TEST_CASE("a change arrives in time however and whenever relays fail") {
  // Guards against an order of failures and change in which the limits of the
  // relays that are asked one after the other add up to more than the bound.
  using Kind = RelayModel::Kind;
  constexpr std::int64_t kStepMs = 70;
  constexpr std::int64_t kLongestMs = 3000;
  const FreshnessOptions options = FreshnessOptionsFor(kBound);
  base::Duration longest{0};
  for (const Kind first : {Kind::kAnswers, Kind::kRefuses, Kind::kSilent}) {
    for (const Kind second : {Kind::kAnswers, Kind::kRefuses, Kind::kSilent}) {
      for (const Kind third : {Kind::kAnswers, Kind::kSilent}) {
        for (std::int64_t fails = 0; fails < kLongestMs; fails += kStepMs) {
          for (std::int64_t gap = 0; gap < kLongestMs; gap += kStepMs) {
            for (std::int64_t change = 0; change < kLongestMs;
                 change += kStepMs) {
              const RelayModel relays[] = {{first, At(fails)},
                                           {second, At(fails + gap)},
                                           {third, At(fails + gap)}};
              const auto known_at = LearnChange(relays, At(change), options);
              longest = std::max(longest, known_at - At(change));
            }
          }
        }
      }
    }
  }
  CHECK(longest <= kBound);
}

}  // namespace
}  // namespace eelgrassbridge::node
