// Processing of target reports and the grants in the answers.
#include "eelgrassbridge/node/own_target.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::node {
namespace {

using base::milliseconds;
using base::TimePoint;

constexpr TimePoint kNow{base::Duration{base::seconds{100}}};
constexpr std::string_view kDaemon = "10.0.0.1:1";

TargetReport Report(std::uint64_t sequence, std::int64_t born = 100) {
  TargetReport report;
  report.target = "target";
  report.service = "s";
  report.slots = 9;
  report.sequence = sequence;
  report.born = born;
  return report;
}

ranges::RangeMap MapOf(const OwnTarget& target) {
  ranges::RangeMap map;
  const std::vector<ranges::OwnerId> owners = {OwnerIdOf(target, kDaemon)};
  ranges::DivideEvenly(map, owners);
  return map;
}

ranges::LeaseRight ValidRight() {
  ranges::LeaseRight right;
  ranges::Extend(right, kNow, {});
  return right;
}

TEST_CASE("late reports of an earlier incarnation are ignored") {
  // Guards against a report that was delayed by a network failure.
  OwnTarget target;
  CHECK(ApplyReport(target, Report(1, 200), kNow) ==
        ReportStatus::kNewIncarnation);
  TargetReport late = Report(99, 100);
  late.target = "earlier";
  late.leaving = true;
  CHECK(ApplyReport(target, late, kNow) == ReportStatus::kStale);
  CHECK(target.id == "target");
  CHECK(IsServing(target));
}

TEST_CASE("reports that are not newer than the last one are ignored") {
  // Guards against duplicate and reordered reports.
  OwnTarget target;
  ApplyReport(target, Report(5), kNow);
  CHECK(ApplyReport(target, Report(5), kNow) == ReportStatus::kStale);
  CHECK(ApplyReport(target, Report(4), kNow) == ReportStatus::kStale);
  CHECK(ApplyReport(target, Report(6), kNow) == ReportStatus::kSameIncarnation);
}

TEST_CASE("a target that is leaving serves again only after a restart") {
  // Guards against a later report that revokes the departure.
  OwnTarget target;
  TargetReport leaving = Report(1);
  leaving.leaving = true;
  ApplyReport(target, leaving, kNow);
  ApplyReport(target, Report(2), kNow);
  CHECK(!IsServing(target));
  CHECK(ApplyReport(target, Report(1, 300), kNow) ==
        ReportStatus::kNewIncarnation);
  CHECK(IsServing(target));
}

TEST_CASE("a target that restarts under the same id holds no grants") {
  // Guards against grants that outlast the incarnation they were given to.
  OwnTarget target;
  ApplyReport(target, Report(10), kNow);
  const ranges::RangeMap map = MapOf(target);
  GrantRanges(target, map, kDaemon, ValidRight(), {}, kNow);
  CHECK(IsGranted(target, 5, kNow));
  ApplyReport(target, Report(1, 300), kNow);
  CHECK(!IsGranted(target, 5, kNow));
  const ReportAnswer answer =
      GrantRanges(target, map, kDaemon, ValidRight(), {}, kNow);
  REQUIRE(answer.grants);
  CHECK(answer.grants->empty());
}

TEST_CASE("nothing is granted without a valid right") {
  // Guards against grants of a daemon that holds no lease.
  OwnTarget target;
  ApplyReport(target, Report(1), kNow);
  const ReportAnswer answer =
      GrantRanges(target, MapOf(target), kDaemon, {}, {}, kNow);
  CHECK(!answer.grants);
}

TEST_CASE("keys that move are released only once the target reports it") {
  // Guards against a next owner that starts while the current one still works
  // on the keys.
  OwnTarget target;
  ApplyReport(target, Report(1), kNow);
  ranges::RangeMap map = MapOf(target);
  GrantRanges(target, map, kDaemon, ValidRight(), {}, kNow);
  map.entries[0].next_daemon = "10.0.0.2:1";
  const ranges::KeyRange all = map.entries[0].keys;
  CHECK(!IsReleased(target, all, kNow));
  TargetReport working = Report(2);
  working.held = {{all, 1}};
  ApplyReport(target, working, kNow + milliseconds{500});
  GrantRanges(target, map, kDaemon, ValidRight(), {}, kNow + milliseconds{500});
  CHECK(!IsReleased(target, all, kNow + milliseconds{500}));
  TargetReport free = Report(3);
  free.released = {{all, "state"}};
  ApplyReport(target, free, kNow + milliseconds{600});
  CHECK(IsReleased(target, all, kNow + milliseconds{600}));
  CHECK(HandoverOf(target, all) == "state");
}

TEST_CASE("keys of a target that stops reporting are free after its hold") {
  // Guards against a next owner that starts too early, or never, after a crash
  // of the target.
  OwnTarget target;
  ApplyReport(target, Report(1), kNow);
  const ranges::RangeMap map = MapOf(target);
  const ReportAnswer answer =
      GrantRanges(target, map, kDaemon, ValidRight(), {}, kNow);
  const ranges::KeyRange keys{0, 10};
  CHECK(!IsReleased(target, keys, kNow + answer.hold));
  CHECK(IsReleased(
      target, keys,
      ranges::LatestHoldEnd(answer.hold, kNow, {}) + milliseconds{1}));
}

TEST_CASE("holds that a previous daemon process granted are respected") {
  // Guards against a restarted daemon that releases keys which its target still
  // holds.
  OwnTarget target;
  TargetReport report = Report(7);
  report.held = {{{0, 99}, 3}};
  ApplyReport(target, report, kNow);
  CHECK(!IsReleased(target, {50, 60}, kNow + base::seconds{3}));
  CHECK(IsReleased(target, {100, 200}, kNow));
}

TEST_CASE("a new grant of keys discards their earlier handover") {
  // Guards against handing outdated state to the next owner.
  OwnTarget target;
  TargetReport report = Report(1);
  ApplyReport(target, report, kNow);
  const ranges::RangeMap map = MapOf(target);
  TargetReport released = Report(2);
  released.released = {{map.entries[0].keys, "old"}};
  ApplyReport(target, released, kNow);
  GrantRanges(target, map, kDaemon, ValidRight(), {}, kNow);
  CHECK(HandoverOf(target, map.entries[0].keys).empty());
}

}  // namespace
}  // namespace eelgrassbridge::node
