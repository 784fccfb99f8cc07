// Guards the burn report: no request is counted twice, the memory of the rings
// is bounded, and missing daemons are listed.
#include "eelgrassbridge/report/burn_report.hpp"

#include <doctest/doctest.h>

#include "eelgrassbridge/catalogue/read_catalogue.hpp"
#include "source_path.hpp"

namespace eelgrassbridge::report {

namespace {

using base::milliseconds;
using base::Outcome;

constexpr std::int64_t kNow = 1'800'000'000;
BurnKey Claim() {
  return {"listing", "claim", "sur"};
}

catalogue::Catalogue Astillas() {
  return catalogue::ReadCatalogueFile(
             test::SourcePath("examples/astillas/catalogue.yaml"))
      .value();
}

void RecordOutcomes(BurnRecorder& recorder,
                    int answered,
                    int failed,
                    std::int64_t now_s) {
  for (int i = 0; i < answered; ++i) {
    RecordOutcome(recorder, Claim(), Outcome::kAnswered,
                  milliseconds{i % 10 == 0 ? 300 : 20}, milliseconds{250},
                  now_s);
  }
  for (int i = 0; i < failed; ++i) {
    RecordOutcome(recorder, Claim(),
                  i % 2 == 0 ? Outcome::kNotRun : Outcome::kUnknown, {},
                  milliseconds{250}, now_s);
  }
}

}  // namespace

TEST_CASE("burn rates follow the objective in each window") {
  BurnRecorder recorder;
  RecordOutcomes(recorder, 900, 0, kNow - 7200);
  RecordOutcomes(recorder, 98, 2, kNow);
  const auto report = MakeBurnReport(
      Astillas(), {TakeSnapshot(recorder, "1", "listing-1", kNow)},
      {"listing-1", "booking-1"}, kNow);
  REQUIRE(report.rows.size() == 1);
  const BurnRow& row = report.rows[0];
  CHECK(row.worth == 10);
  // The objective is 99.95 %, so 0.05 % may fail.
  CHECK(row.windows[0].total == 100);
  CHECK(row.windows[0].burn_rate == doctest::Approx(0.02 / 0.0005));
  CHECK(row.windows[0].latency_burn_rate == doctest::Approx(10.0 / 0.98));
  CHECK(row.windows[0].unavailable_s == doctest::Approx(0.6));
  CHECK(row.windows[0].max == milliseconds{300});
  CHECK(row.windows[2].total == 1000);
  CHECK(row.windows[2].burn_rate == doctest::Approx(0.002 / 0.0005));
  CHECK(row.budget_left == doctest::Approx(1 - 4.0));
  CHECK(report.missing == std::vector<std::string>{"booking-1"});
  CHECK(report.short_history == std::vector<std::string>{"listing-1"});
}

TEST_CASE("a second snapshot of a daemon is not counted twice") {
  BurnRecorder recorder;
  RecordOutcomes(recorder, 10, 0, kNow - 60);
  const auto early = TakeSnapshot(recorder, "1", "listing-1", kNow - 60);
  RecordOutcomes(recorder, 10, 10, kNow - 60);
  const auto late = TakeSnapshot(recorder, "1", "listing-1", kNow);
  const auto other = TakeSnapshot(recorder, "2", "listing-1", kNow);
  const auto total = [&](const std::vector<BurnSnapshot>& snapshots) {
    return MakeBurnReport(Astillas(), snapshots, {}, kNow)
        .rows[0]
        .windows[3]
        .total;
  };
  CHECK(total({early, late}) == 30);
  CHECK(total({late, early, late}) == 30);
  // A restarted daemon with the same name has a new id and separate counts.
  CHECK(total({late, other}) == 60);
}

TEST_CASE("totals are weighted by worth") {
  BurnRecorder recorder;
  RecordOutcomes(recorder, 50, 50, kNow);
  const BurnKey view{"listing", "view", "sur"};
  for (int i = 0; i < 900; ++i) {
    RecordOutcome(recorder, view, Outcome::kAnswered, milliseconds{5},
                  milliseconds{150}, kNow);
  }
  const auto report = MakeBurnReport(
      Astillas(), {TakeSnapshot(recorder, "1", "listing-1", kNow)}, {}, kNow);
  // 50 failures with a worth of 10; 100 * 10 * 0.0005 + 900 * 0.001 are
  // allowed.
  CHECK(report.weighted[0].burn_rate == doctest::Approx(500.0 / (0.5 + 0.9)));
  // 5 of the 50 answers with a worth of 10 were slow.
  CHECK(report.weighted[0].latency_burn_rate ==
        doctest::Approx(50.0 / (500 + 900) / 0.01));
  CHECK(report.weighted[0].unavailable_s == doctest::Approx(30.0 * 500 / 1900));
}

TEST_CASE("rings and keys are bounded over a long run") {
  BurnRecorder recorder;
  for (std::int64_t i = 0; i < 2000; ++i) {
    RecordOutcomes(recorder, 1, 0, kNow + i * 600);
  }
  // The buckets must remain sorted if the clock is set back.
  RecordOutcomes(recorder, 1, 0, kNow);
  for (int i = 0; i < 1000; ++i) {
    RecordOutcome(recorder, {"s", std::to_string(i), "c"}, Outcome::kAnswered,
                  {}, {}, kNow);
  }
  CHECK(recorder.rings.size() == BurnRecorder::kMaxKeys);
  CHECK(recorder.dropped == 1000 - 255);
  CHECK(recorder.rings[Claim()][0].buckets.size() == 120);
  CHECK(recorder.rings[Claim()][1].buckets.size() == 432);
  const auto snapshot = TakeSnapshot(recorder, "1", "d", kNow);
  const auto parsed = ReadSnapshotJson(WriteSnapshotJson(snapshot));
  REQUIRE_MESSAGE(parsed.has_value(), parsed.error().detail);
  CHECK(parsed.value() == snapshot);
}

TEST_CASE("snapshots with impossible buckets are rejected") {
  BurnRecorder recorder;
  RecordOutcomes(recorder, 1, 0, kNow);
  const std::string valid =
      WriteSnapshotJson(TakeSnapshot(recorder, "1", "d", kNow));
  const auto with = [&](std::string_view from, std::string_view to) {
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    return ReadSnapshotJson(text).has_value();
  };
  CHECK(ReadSnapshotJson(valid).has_value());
  CHECK_FALSE(with("1800000000,1,", "1800000001,1,"));
  CHECK_FALSE(with("1800000000,1,1,", "1800000000,1,2,"));
  CHECK_FALSE(with("1800000000,1,", "1800000000,18446744073709551615,"));
  CHECK_FALSE(with("1800000000,1,", "1800000000,"));
  CHECK_FALSE(ReadSnapshotJson("[]").has_value());
}

TEST_CASE("the page is self-contained and escapes names") {
  BurnRecorder recorder;
  RecordOutcome(recorder, {"<script>", "k", "c"}, Outcome::kUnknown, {}, {},
                kNow);
  const auto report = MakeBurnReport(
      Astillas(), {TakeSnapshot(recorder, "1", "d", kNow)}, {"gone"}, kNow);
  const std::string page = BurnReportHtml(report);
  CHECK(page.find("<script>") == std::string::npos);
  CHECK(page.find("<svg") != std::string::npos);
  CHECK(page.find("href=") == std::string::npos);
  CHECK(page.find("src=") == std::string::npos);
  CHECK(page.find("Missing: gone") != std::string::npos);
  CHECK(BurnReportText(report).find("missing: gone") != std::string::npos);
  CHECK(BurnReportJson(report).find("\"gone\"") != std::string::npos);
}

}  // namespace eelgrassbridge::report
