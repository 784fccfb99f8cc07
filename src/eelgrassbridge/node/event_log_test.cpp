// Names of events, format and rate limit of lines, and a reader that stops
// reading.
#include "eelgrassbridge/node/event_log.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace eelgrassbridge::node {
namespace {

TEST_CASE("each event has a unique name") {
  // Guards against an event without an entry in the table of names.
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kEventKindCount; ++i) {
    names.insert(EventName(static_cast<EventKind>(i)));
  }
  CHECK(names.size() == kEventKindCount);
  CHECK(!names.contains(""));
}

TEST_CASE("a line is one JSON object with its fields") {
  // Guards against values with quotes or line breaks that break the format.
  EventLog log;
  log.name = "vm-1";
  Log(log, EventKind::kRequestRefused,
      {{"request", "a\"b\n"}, {"status", std::int64_t{503}}, {"took_ms", 1.5}});
  const auto line = nlohmann::json::parse(log.buffer);
  CHECK(line["event"] == "request_refused");
  CHECK(line["daemon"] == "vm-1");
  CHECK(line["request"] == "a\"b\n");
  CHECK(line["status"] == 503);
  CHECK(line["took_ms"] == 1.5);
  CHECK(std::ranges::count(log.buffer, '\n') == 1);
}

TEST_CASE("lines over the rate limit of their event are counted") {
  // Guards against a very frequent event that crowds out lines of other events.
  EventLog log;
  log.options.lines_per_second = 5;
  log.options.buffer_bytes = 1 << 20;
  for (int i = 0; i < 100; ++i) {
    Log(log, EventKind::kRequestAnswered, {});
  }
  const auto lines = std::ranges::count(log.buffer, '\n');
  CHECK(lines >= 10);
  CHECK(lines <= 12);
  CHECK(log.dropped_total >= 88);
  Log(log, EventKind::kStopping, {});
  CHECK(log.buffer.find("\"stopping\"") != std::string::npos);
}

TEST_CASE("a reader that stops reading does not block the log") {
  // Guards against a node that blocks on writing to a full pipe.
  int ends[2];
  REQUIRE(::pipe(ends) == 0);
  EventLog log;
  log.options.descriptor = ends[1];
  log.options.lines_per_second = 1e6;
  const auto begin = base::BootClock::now();
  for (int i = 0; i < 20000; ++i) {
    Log(log, EventKind::kRequestAnswered, {{"request", "0123456789abcdef"}});
    Flush(log);
  }
  CHECK(base::BootClock::now() - begin < base::seconds{5});
  CHECK(log.buffer.size() <= log.options.buffer_bytes);
  CHECK(log.dropped_total > 0);
  ::close(ends[0]);
  ::close(ends[1]);
}

}  // namespace
}  // namespace eelgrassbridge::node
