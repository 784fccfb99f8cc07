// Tests of the decisions on how recent the operator's rows are.
#include "eelgrassbridge/node/row_freshness.hpp"

#include <doctest/doctest.h>

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

TEST_CASE("a daemon reads the store once its relays have no news") {
  // Guards against daemons that go on asking relays that cannot know, and
  // against reads of the store by all daemons while a relay answers.
  const FreshnessOptions options = FreshnessOptionsFor(kBound);
  Freshness freshness;
  Confirm(freshness, {7, At(0)});
  for (std::size_t i = 0; i < options.relays_asked; ++i) {
    CHECK(!AreRelaysExhausted(freshness, options));
    CHECK(StoreReadDue(freshness, options) > At(100));
    RecordRelayWithoutNews(freshness);
  }
  CHECK(AreRelaysExhausted(freshness, options));
  CHECK(StoreReadDue(freshness, options) <= At(100));
  Confirm(freshness, {7, At(200)});
  CHECK(!AreRelaysExhausted(freshness, options));
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
  CHECK(StoreReadDue(freshness, options) == At(300) + options.retry_interval);
  RecordRead(freshness, true, At(1900));
  CHECK(!freshness.read_failing);
}

}  // namespace
}  // namespace eelgrassbridge::node
