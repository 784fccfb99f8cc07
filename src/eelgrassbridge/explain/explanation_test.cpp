// Guards against explanations with steps out of causal order, local state of an
// earlier process run, or missing lines that are not reported.
#include "eelgrassbridge/explain/explanation.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace eelgrassbridge::explain {
namespace {

constexpr std::string_view kEntry =
    R"({"time_ms":100,"up_ms":0,"event":"started","daemon":"vm-1","address":"10.0.0.1:1"}
{"time_ms":200,"up_ms":100,"event":"routes_in_force","daemon":"vm-1","version":7}
{"time_ms":300,"up_ms":200,"event":"ranges_changed","daemon":"vm-1","service":"keys","version":41,"entries":3}
{"time_ms":310,"up_ms":210,"event":"ranges_changed","daemon":"vm-1","service":"other","version":42,"entries":3}
{"time_ms":400,"up_ms":300,"event":"member_changed","daemon":"vm-1","address":"10.0.0.2:1","target":"t2","serving":1,"row_version":12}
{"time_ms":900,"up_ms":800,"event":"request_retried","daemon":"vm-1","request":"a","service":"keys","cause":"overloaded","last_daemon":"10.0.0.2:1","attempts":1}
{"time_ms":950,"up_ms":850,"event":"request_refused","daemon":"vm-1","request":"b","service":"keys","cause":"no_owner","attempts":0,"last_daemon":""}
{"time_ms":990,"up_ms":890,"event":"request_refused","daemon":"vm-1","request":"a","service":"keys","cause":"not_owner","last_daemon":"10.0.0.2:1","attempts":2}
)";

/// The clock of this VM is one hour ahead of the entry's.
constexpr std::string_view kOwner =
    R"({"time_ms":3600100,"up_ms":0,"event":"started","daemon":"vm-2","address":"10.0.0.2:1"}
{"time_ms":3600200,"up_ms":100,"event":"lease_acquired","daemon":"vm-2","version":5}
{"time_ms":3600850,"up_ms":750,"event":"request_turned_away","daemon":"vm-2","request":"a","service":"keys","cause":"overloaded","in_flight":9,"slots":9}
{"time_ms":3600900,"up_ms":800,"event":"lease_lost","daemon":"vm-2","cause":"it could not be renewed in time"}
{"time_ms":3600980,"up_ms":880,"event":"request_turned_away","daemon":"vm-2","request":"a","service":"keys","cause":"not_owner","in_flight":0,"slots":9}
)";

LogSet Read(std::initializer_list<std::string_view> logs,
            std::string_view request) {
  LogSet set;
  for (const std::string_view log : logs) {
    std::istringstream stream{std::string(log)};
    ReadLog(stream, request, set);
  }
  return set;
}

std::vector<std::string> Events(const Explanation& explanation) {
  std::vector<std::string> events;
  for (const Step& step : explanation.steps) {
    events.push_back(step.daemon + " " + step.line.event);
  }
  return events;
}

const StateItem* FindItem(const Step& step, std::string_view subject) {
  const auto found =
      std::ranges::find(step.local_state, subject, &StateItem::subject);
  return found == step.local_state.end() ? nullptr : &*found;
}

bool ReportsMissing(const Explanation& explanation, std::string_view text) {
  return std::ranges::any_of(explanation.missing, [text](const auto& line) {
    return line.find(text) != std::string::npos;
  });
}

TEST_CASE("steps are in causal order although clocks differ") {
  const LogSet logs = Read({kOwner, kEntry}, "a");
  const Explanation explanation = Explain(logs, "a");
  CHECK(Events(explanation) ==
        std::vector<std::string>{
            "vm-2 request_turned_away", "vm-1 request_retried",
            "vm-2 request_turned_away", "vm-1 request_refused"});
  CHECK(explanation.missing.empty());
  CHECK(explanation.conclusion.find("could not let its target hold the key") !=
        std::string::npos);
}

TEST_CASE("each step has the local state of its daemon and its age") {
  const Explanation explanation = Explain(Read({kEntry, kOwner}, "a"), "a");
  const Step& last = explanation.steps.back();
  REQUIRE(FindItem(last, "ranges keys") != nullptr);
  CHECK(FindItem(last, "ranges keys")->value == "version 41, entries 3");
  CHECK(FindItem(last, "ranges keys")->age_ms == 690);
  CHECK(FindItem(last, "ranges other") == nullptr);
  REQUIRE(FindItem(last, "member 10.0.0.2:1") != nullptr);
  CHECK(FindItem(last, "routes")->age_ms == 790);
  CHECK(FindItem(explanation.steps[0], "lease")->value == "held, version 5");
  CHECK(FindItem(explanation.steps[2], "lease")->value ==
        "lost, cause it could not be renewed in time");
  CHECK(FindItem(explanation.steps[2], "lease")->age_ms == 80);
}

TEST_CASE("local state is not carried over a process restart") {
  std::string log(kOwner);
  log += R"({"time_ms":1,"up_ms":0,"event":"started","daemon":"vm-2"}
{"time_ms":9,"up_ms":8,"event":"request_run","daemon":"vm-2","request":"c","outcome":"answered"}
)";
  const Explanation explanation = Explain(Read({log}, "c"), "c");
  REQUIRE(explanation.steps.size() == 1);
  CHECK(FindItem(explanation.steps[0], "lease") == nullptr);
}

TEST_CASE("missing lines are reported") {
  CHECK(ReportsMissing(Explain(Read({kEntry}, "a"), "a"),
                       "no log of the daemon at 10.0.0.2:1"));
  CHECK(ReportsMissing(Explain(Read({kOwner}, "a"), "a"),
                       "the end of the request"));
  CHECK(ReportsMissing(Explain(Read({kEntry, kOwner}, "z"), "z"),
                       "no line names the request"));
  CHECK(Explain(Read({kEntry}, "z"), "z").conclusion ==
        "Nothing is known of the request.");
  std::string without_request(
      kOwner.substr(0, kOwner.find("{\"time_ms\":3600850")));
  CHECK(ReportsMissing(Explain(Read({kEntry, without_request}, "a"), "a"),
                       "did not arrive, or its process ended"));
  without_request +=
      R"({"time_ms":2,"up_ms":900,"event":"lines_dropped","daemon":"vm-2","of":"request_turned_away","count":12}
{"time_ms":3,"up_ms":9)";
  const Explanation dropped =
      Explain(Read({kEntry, without_request}, "a"), "a");
  CHECK(ReportsMissing(dropped, "left out 12 lines"));
  CHECK(ReportsMissing(dropped, "1 lines cannot be read"));
}

TEST_CASE("a request sent to a target is not reported as run") {
  const std::string log =
      R"({"event":"request_run","daemon":"vm-1","request":"d","outcome":"unknown"}
{"event":"request_failed","daemon":"vm-1","request":"d","cause":"answer_cut","attempts":0}
)";
  CHECK(Explain(Read({log}, "d"), "d")
            .conclusion.ends_with("It was sent to a target."));
}

TEST_CASE("text before a log line and invalid lines are ignored") {
  const std::string log =
      "  0.5802 vm-1 " + std::string(kEntry) + "[1,2]\n{}\n";
  const LogSet logs = Read({log}, "b");
  CHECK(logs.unreadable_lines == 2);
  const Explanation explanation = Explain(logs, "b");
  REQUIRE(explanation.steps.size() == 1);
  CHECK(explanation.conclusion.find("had no owner") != std::string::npos);
}

TEST_CASE("text and JSON contain steps, local state and conclusion") {
  const Explanation explanation = Explain(Read({kEntry, kOwner}, "a"), "a");
  const std::string text = ToText(explanation);
  CHECK(text.find("1. request_turned_away at vm-2") != std::string::npos);
  CHECK(text.find(
            "local state: ranges keys: version 41, entries 3 (690 ms old)") !=
        std::string::npos);
  const auto json = ToJson(explanation);
  CHECK(json["steps"].size() == 4);
  CHECK(json["steps"][3]["beliefs"].size() == 3);
  CHECK(json["conclusion"] == explanation.conclusion);
}

}  // namespace
}  // namespace eelgrassbridge::explain
