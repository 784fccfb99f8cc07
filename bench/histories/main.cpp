// Runs many random histories of the ownership core and reports the violations
// that the checker found. With --broken, it breaks one rule at a time and
// searches for the first seed whose history shows a violation.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "history_model.hpp"

namespace {

using eelgrassbridge::histories::HistoryOptions;
using eelgrassbridge::histories::HistoryResult;
using eelgrassbridge::histories::RunHistory;

struct Arguments {
  std::uint64_t histories = 1000;
  std::uint64_t seed = 1;
  bool broken = false;
  /// With --broken: only this rule; empty means all.
  std::string_view rule;
};

struct BrokenCase {
  std::string_view name;
  std::function<void(HistoryOptions&)> breaks;
};

void Print(std::string_view scenario,
           std::string_view metric,
           std::string_view unit,
           const nlohmann::json& value,
           const nlohmann::json& baseline,
           const nlohmann::json& target,
           std::string_view better,
           const nlohmann::json& met) {
  const nlohmann::ordered_json line{{"scenario", scenario}, {"metric", metric},
                                    {"unit", unit},         {"value", value},
                                    {"baseline", baseline}, {"target", target},
                                    {"better", better},     {"met", met}};
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

const std::vector<BrokenCase>& BrokenCases() {
  static const std::vector<BrokenCase> cases{
      {"no_wait_before_take_over",
       [](auto& o) { o.broken_rules.no_wait_before_take_over = true; }},
      {"promise_dated_by_arrival",
       [](auto& o) { o.broken_rules.promise_dated_by_arrival = true; }},
      {"no_not_after", [](auto& o) { o.broken_model.no_not_after = true; }},
      {"blind_repeat", [](auto& o) { o.broken_rules.blind_repeat = true; }},
      {"clock_stops_on_suspend",
       [](auto& o) { o.broken_model.clock_stops_on_suspend = true; }},
      {"no_deputy_read_bound",
       [](auto& o) { o.broken_rules.no_deputy_read_bound = true; }},
      {"third_party_waits_lease_only",
       [](auto& o) { o.broken_rules.third_party_waits_lease_only = true; }},
      {"deputy_promises_during_take_over",
       [](auto& o) { o.broken_rules.deputy_promises_during_take_over = true; }},
      {"replaced_deputy_still_used",
       [](auto& o) { o.broken_rules.replaced_deputy_still_used = true; }},
      {"late_write_resolved_by_read",
       [](auto& o) { o.broken_rules.late_write_resolved_by_read = true; }},
  };
  return cases;
}

/// Runs histories with each rule broken. Returns the number of rules whose
/// absence no history detected.
int RunBroken(const Arguments& arguments) {
  int uncaught = 0;
  for (const BrokenCase& broken : BrokenCases()) {
    if (!arguments.rule.empty() && arguments.rule != broken.name) {
      continue;
    }
    std::uint64_t caught = 0;
    std::string violation;
    for (std::uint64_t i = 0; i < arguments.histories && caught == 0; ++i) {
      HistoryOptions options;
      options.seed = arguments.seed + i;
      HistoryOptions sound = options;
      broken.breaks(options);
      const HistoryResult result = RunHistory(options);
      // The same history must have no violation with the rule in place;
      // otherwise the violation has another cause than the broken rule.
      if (!result.violation.empty() && RunHistory(sound).violation.empty()) {
        caught = options.seed;
        violation = result.violation;
      }
    }
    uncaught += caught == 0 ? 1 : 0;
    Print(std::string("broken/") + std::string(broken.name), "seed caught",
          "seed", caught == 0 ? nlohmann::json() : nlohmann::json(caught),
          nullptr, nullptr, "lower", caught != 0);
    std::fprintf(stderr, "%s: %s\n", std::string(broken.name).c_str(),
                 violation.empty() ? "not caught" : violation.c_str());
  }
  return uncaught;
}

int RunSound(const Arguments& arguments) {
  HistoryResult sum;
  std::uint64_t violations = 0;
  std::uint64_t unserved = 0;
  for (std::uint64_t i = 0; i < arguments.histories; ++i) {
    HistoryOptions options;
    options.seed = arguments.seed + i;
    const HistoryResult result = RunHistory(options);
    if (!result.violation.empty()) {
      ++violations;
      std::fprintf(stderr, "seed %llu: %s\n",
                   static_cast<unsigned long long>(options.seed),
                   result.violation.c_str());
    }
    if (result.unserved_keys > 0) {
      ++unserved;
      std::fprintf(stderr, "seed %llu: %llu keys not served at the end\n",
                   static_cast<unsigned long long>(options.seed),
                   static_cast<unsigned long long>(result.unserved_keys));
    }
    sum.requests_served += result.requests_served;
    sum.owner_changes += result.owner_changes;
    sum.take_overs += result.take_overs;
    sum.releases += result.releases;
    sum.common_releases += result.common_releases;
    sum.carve_outs += result.carve_outs;
    sum.merges += result.merges;
    sum.unknown_writes += result.unknown_writes;
    sum.faults += result.faults;
  }
  const auto count = [](std::string_view metric, std::uint64_t value) {
    Print("histories", metric, "count", value, nullptr, nullptr, "higher",
          nullptr);
  };
  Print("histories", "violations", "histories", violations, nullptr, 0, "lower",
        violations == 0);
  Print("histories", "keys unserved after healing", "histories", unserved,
        nullptr, 0, "lower", unserved == 0);
  count("histories", arguments.histories);
  count("requests checked", sum.requests_served);
  count("faults", sum.faults);
  count("owner changes", sum.owner_changes);
  count("take-overs", sum.take_overs);
  count("planned moves", sum.releases);
  count("common transactions of planned moves", sum.common_releases);
  count("carve-outs", sum.carve_outs);
  count("histories with a merge", sum.merges);
  count("writes with unknown result", sum.unknown_writes);
  return violations == 0 && unserved == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  for (int i = 1; i < argc; ++i) {
    const std::string_view name = argv[i];
    if (name == "--broken") {
      arguments.broken = true;
    } else if (i + 1 < argc && name == "--rule") {
      arguments.rule = argv[++i];
    } else if (i + 1 < argc && name == "--histories") {
      arguments.histories = std::strtoull(argv[++i], nullptr, 10);
    } else if (i + 1 < argc && name == "--seed") {
      arguments.seed = std::strtoull(argv[++i], nullptr, 10);
    } else {
      std::fprintf(stderr,
                   "usage: histories [--histories N] [--seed S] "
                   "[--broken [--rule NAME]]\n");
      return 2;
    }
  }
  return arguments.broken ? RunBroken(arguments) : RunSound(arguments);
}
